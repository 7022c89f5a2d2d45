package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/platform"
	"godwitmount/internal/step"
	"godwitmount/internal/steptest"
)

const testMesh = "test"

// keyFor finds a key by name: its first two letters are the holder and backup
// that it has among a, b and c.
func keyFor(name string) Hash {
	for i := uint64(0); ; i++ {
		key := KeyOf(name, fmt.Sprint(i))
		holder, backup := ranked(key, []string{"a", "b", "c"})
		if holder == name[:1] && backup == name[1:2] && HomeOf(key, []string{"near", "far"}) == "near" {
			return key
		}
	}
}

func fingerprintFor(name string) Hash { return FingerprintOf("POST", name, "", nil) }

// transcript drives one holder and prints what it asks for.
type transcript struct {
	core  *Core
	now   step.Moment
	names map[Hash]string
	// batch is the last transaction asked for.
	batch WriteClaims
}

func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tr := &transcript{}
		datadriven.RunTest(t, path, tr.run)
	})
}

func testConfig() Config {
	cfg := DefaultConfig(testMesh, "near")
	cfg.Horizon = 10 * time.Minute
	cfg.DetectionMargin = 30 * time.Second
	return cfg
}

func (tr *transcript) run(t *testing.T, d *datadriven.TestData) string {
	ev := tr.event(t, d)
	if ev == nil {
		return "ok\n"
	}
	return tr.print(tr.core.Step(tr.now, ev))
}

func (tr *transcript) event(t *testing.T, d *datadriven.TestData) step.Event {
	call := step.CallID(steptest.Number[int](t, d, "call"))
	switch d.Cmd {
	case "new":
		*tr = transcript{now: step.Moment{Wall: time.UnixMilli(1_000_000)}, names: map[Hash]string{}}
		cfg := testConfig()
		d.MaybeScanArgs(t, "queue", &cfg.MaxQueue)
		d.MaybeScanArgs(t, "claims", &cfg.MaxClaims)
		d.MaybeScanArgs(t, "part", &cfg.MaxHandOver)
		d.MaybeScanArgs(t, "answers", &cfg.MaxAnswers)
		tr.core = New(cfg, tr.now)
		return nil
	case "view":
		return viewOf(t, d)
	case "acquire":
		return AcquireRequested{Call: call, Request: tr.acquire(t, d)}
	case "finish":
		req := &peerv1.FinishClaimRequest{Mesh: testMesh, Key: tr.key(t, d), Attempt: steptest.Text(t, d, "attempt"), Released: d.HasArg("released")}
		if d.HasArg("answer") {
			req.Answer = &peerv1.StoredAnswer{Status: 201, Body: []byte(steptest.Text(t, d, "answer"))}
		}
		return FinishRequested{Call: call, Request: req}
	case "written":
		return tr.written(t, d)
	case "read":
		return tr.read(t, d)
	case "advance":
		tr.advance(steptest.Duration(t, d, "by"))
		return step.Tick{}
	case "pause":
		gap := steptest.Duration(t, d, "gap")
		tr.advance(gap)
		return step.Paused{Gap: gap}
	case "handover":
		return HandOverRequested{Call: call, Request: tr.handOver(t, d)}
	case "handed-over":
		response := &peerv1.HandOverClaimsResponse{Refused: d.HasArg("refused")}
		return HandedOver{ID: steptest.Number[uint64](t, d, "id"), Response: response, Err: errArg(t, d)}
	case "leave":
		return LeaveRequested{}
	}
	t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	return nil
}

func (tr *transcript) advance(by time.Duration) {
	tr.now.Now += by
	tr.now.Wall = tr.now.Wall.Add(by)
}

func (tr *transcript) key(t *testing.T, d *datadriven.TestData) []byte {
	name := steptest.Text(t, d, "key")
	key := keyFor(name)
	tr.names[key] = name
	return key[:]
}

func (tr *transcript) acquire(t *testing.T, d *datadriven.TestData) *peerv1.AcquireClaimRequest {
	fingerprint := fingerprintFor("same")
	if d.HasArg("print") {
		fingerprint = fingerprintFor(steptest.Text(t, d, "print"))
	}
	return &peerv1.AcquireClaimRequest{
		Mesh: testMesh, Key: tr.key(t, d), Fingerprint: fingerprint[:],
		Attempt: steptest.Text(t, d, "attempt"), Executor: "x",
		WaitMs: uint32(steptest.Duration(t, d, "wait").Milliseconds()),
	}
}

func (tr *transcript) handOver(t *testing.T, d *datadriven.TestData) *peerv1.HandOverClaimsRequest {
	req := &peerv1.HandOverClaimsRequest{
		Mesh: testMesh, From: steptest.Text(t, d, "from"), Incarnation: 1, ToIncarnation: 1,
		Replica: d.HasArg("replica"), Complete: d.HasArg("complete"),
		TenureMs: uint64(steptest.Duration(t, d, "tenure").Milliseconds()),
	}
	if d.HasArg("key") {
		fingerprint := fingerprintFor("same")
		req.Claims = append(req.Claims, &peerv1.HeldClaim{
			Key: tr.key(t, d), Fingerprint: fingerprint[:], Attempt: steptest.Text(t, d, "attempt"), Executor: "x",
			ClaimedAt: tr.now.Wall.UnixMilli(), Done: d.HasArg("done"), Written: d.HasArg("in-table"),
		})
	}
	return req
}

// written answers the last transaction; a row found belongs to the attempt
// named.
func (tr *transcript) written(t *testing.T, d *datadriven.TestData) step.Event {
	ev := TableWritten{Batch: tr.batch.Batch, Err: errArg(t, d)}
	ev.Result.Revision = steptest.Number[uint64](t, d, "revision")
	if d.HasArg("batch") {
		ev.Batch = steptest.Number[uint64](t, d, "batch")
	}
	if d.HasArg("found") {
		tr.key(t, d)
		ev.Result.Existing = []platform.Row{tr.row(t, d, steptest.Text(t, d, "found"))}
	}
	if d.HasArg("marker") {
		ev.Err = &platform.ConflictError{Key: tr.core.markerKey(), Current: platform.Row{Revision: 1}}
	}
	if d.HasArg("conflict") {
		ev.Err = &platform.ConflictError{Key: rowKey(keyFor(steptest.Text(t, d, "conflict")))}
	}
	return ev
}

func (tr *transcript) read(t *testing.T, d *datadriven.TestData) step.Event {
	key, _ := HashFrom(tr.key(t, d))
	if d.HasArg("found") {
		return TableRead{Key: rowKey(key), Row: tr.row(t, d, steptest.Text(t, d, "found"))}
	}
	if err := errArg(t, d); err != nil {
		return TableRead{Key: rowKey(key), Err: err}
	}
	return TableRead{Key: rowKey(key), Err: platform.ErrNotFound}
}

func (tr *transcript) row(t *testing.T, d *datadriven.TestData, attempt string) platform.Row {
	fingerprint := fingerprintFor("same")
	if d.HasArg("print") {
		fingerprint = fingerprintFor(steptest.Text(t, d, "print"))
	}
	key, _ := HashFrom(tr.key(t, d))
	e := entry{key: key, fingerprint: fingerprint, attempt: attempt, executor: "y", claimedAt: tr.now.Wall.UnixMilli()}
	return platform.Row{Key: rowKey(key), Value: e.rowValue(), Revision: 7}
}

func viewOf(t *testing.T, d *datadriven.TestData) ViewChanged {
	ev := ViewChanged{Version: 1, DataCentres: []string{"near", "far"}, Self: "a"}
	for _, arg := range d.CmdArgs {
		switch arg.Key {
		case "live":
			for _, name := range arg.Vals {
				ev.Live = append(ev.Live, memberOf(name))
			}
		case "left":
			ev.Left = arg.Vals
		case "homes":
			ev.DataCentres = arg.Vals
		}
	}
	return ev
}

// memberOf reads "b", "b?" for a suspect or "b2" for its second incarnation.
func memberOf(name string) Member {
	m := Member{Instance: name[:1], Incarnation: 1, Address: name[:1] + ":1"}
	m.Suspect = strings.HasSuffix(name, "?")
	if strings.HasSuffix(name, "2") {
		m.Incarnation = 2
	}
	return m
}

func (tr *transcript) print(effects []step.Effect) string {
	var b strings.Builder
	for _, effect := range effects {
		tr.printEffect(&b, effect)
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}

func (tr *transcript) printEffect(b *strings.Builder, effect step.Effect) {
	switch e := effect.(type) {
	case step.Reply:
		fmt.Fprintf(b, "reply call=%d %s\n", e.Call, replyText(e))
	case WriteClaims:
		tr.batch = e
		fmt.Fprintf(b, "write batch=%d%s\n", e.Batch, tr.transactionText(e.Transaction))
	case ReadClaim:
		fmt.Fprintf(b, "read %s\n", tr.rowName(e.Key))
	case HandOver:
		fmt.Fprintf(b, "hand-over id=%d to=%s%s\n", e.ID, e.To.Instance, tr.handOverText(e.Request))
	case step.Log:
		fmt.Fprintf(b, "log %s", e.Event)
		for _, field := range e.Fields {
			if field.Key == "why" || field.Key == "from_memory" || field.Key == "conflict" {
				fmt.Fprintf(b, " %s=%s", field.Key, field.Value)
			}
		}
		b.WriteString("\n")
	}
}

func replyText(reply step.Reply) string {
	switch m := reply.Message.(type) {
	case *peerv1.AcquireClaimResponse:
		text := strings.ToLower(strings.TrimPrefix(m.GetOutcome().String(), "CLAIM_OUTCOME_"))
		if m.GetCode() != 0 {
			text += " " + code.Code(m.GetCode()).String()
		}
		if m.GetAnswer() != nil {
			text += fmt.Sprintf(" answer=%s", m.GetAnswer().GetBody())
		}
		return text
	case *peerv1.FinishClaimResponse:
		return fmt.Sprintf("accepted=%t", m.GetAccepted())
	case *peerv1.HandOverClaimsResponse:
		return fmt.Sprintf("accepted=%d refused=%t", m.GetAccepted(), m.GetRefused())
	}
	return "?"
}

func (tr *transcript) transactionText(tx platform.Transaction) string {
	var text string
	for _, p := range tx.Preconditions {
		text += fmt.Sprintf(" if(%s absent=%t revision=%d)", tr.rowName(p.Key), p.Absent, p.Revision)
	}
	for _, w := range tx.Writes {
		verb := "put"
		if w.Delete {
			verb = "delete"
		}
		if w.IfAbsent {
			verb = "insert"
		}
		text += fmt.Sprintf(" %s(%s)", verb, tr.rowName(w.Key))
	}
	return text
}

func (tr *transcript) rowName(row string) string {
	if key, ok := keyOfRow(row); ok {
		return tr.names[key]
	}
	return row
}

func (tr *transcript) handOverText(req *peerv1.HandOverClaimsRequest) string {
	text := fmt.Sprintf(" tenure=%s", time.Duration(req.GetTenureMs())*time.Millisecond)
	if req.GetReplica() {
		text += " replica"
	}
	if req.GetComplete() {
		text += " complete"
	}
	for _, held := range req.GetClaims() {
		key, _ := HashFrom(held.GetKey())
		text += fmt.Sprintf(" %s:%s", tr.names[key], held.GetAttempt())
		if held.GetDone() {
			text += ":done"
		}
	}
	return text
}

func errArg(t *testing.T, d *datadriven.TestData) error {
	switch steptest.Text(t, d, "err") {
	case "":
		return nil
	case "unavailable":
		return platform.ErrUnavailable
	default:
		return platform.ErrUnknown
	}
}
