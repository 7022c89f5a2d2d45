package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"godwitmount/internal/claim"
	"godwitmount/internal/code"
)

// holder is a claim holder in memory that writes down what it is asked.
type holder struct {
	mu     sync.Mutex
	home   string
	refuse code.Code
	claims map[claim.Hash]*held
	log    []string
}

type held struct {
	fingerprint claim.Hash
	attempt     string
	done        chan struct{}
	finished    bool
	answer      *claim.Answer
}

func newHolder() *holder { return &holder{claims: map[claim.Hash]*held{}} }

func (h *holder) note(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf(format, args...))
}

func (h *holder) said() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.log, " ")
}

func (h *holder) wantSaid(t testing.TB, want string) {
	t.Helper()
	if said := h.said(); said != want {
		t.Errorf("holder said %q, want %q", said, want)
	}
}

func (h *holder) Acquire(ctx context.Context, req claim.Request) claim.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.decide(req)
	if d.Outcome == claim.Running && req.Wait > 0 {
		done := h.claims[req.Key].done
		h.mu.Unlock()
		select {
		case <-done:
		case <-time.After(req.Wait):
		case <-ctx.Done():
		}
		h.mu.Lock()
		d = h.decide(req)
	}
	h.note("%s", d.Outcome)
	return d
}

func (h *holder) decide(req claim.Request) claim.Decision {
	if h.refuse != code.OK {
		return claim.Decision{Outcome: claim.Refused, Code: h.refuse}
	}
	c, known := h.claims[req.Key]
	switch {
	case !known:
		h.claims[req.Key] = &held{fingerprint: req.Fingerprint, attempt: req.Attempt, done: make(chan struct{})}
		return claim.Decision{Outcome: claim.Granted, Holder: "h"}
	case c.fingerprint != req.Fingerprint:
		return claim.Decision{Outcome: claim.Mismatch}
	case c.finished:
		return claim.Decision{Outcome: claim.Done, Answer: c.answer}
	default:
		return claim.Decision{Outcome: claim.Running}
	}
}

func (h *holder) Finish(req claim.Request, _ string, answer *claim.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := "kept"
	if answer == nil {
		kept = "not-kept"
	}
	h.note("finish-%s", kept)
	c := h.claims[req.Key]
	c.finished, c.answer = true, answer
	close(c.done)
}

func (h *holder) Release(_ context.Context, req claim.Request, _ string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note("release")
	close(h.claims[req.Key].done)
	delete(h.claims, req.Key)
	return true
}

func (h *holder) HomeOf(claim.Hash) string { return h.home }

// keyed makes a call with an Idempotency-Key.
func keyed(t testing.TB, n *node, body string) told {
	return do(t, n, "POST", "/orders", body, HeaderIdempotencyKey, "k1", HeaderDeadline, "20000")
}

func claimMesh(t testing.TB, h *holder, handle http.HandlerFunc) (*node, *upstream) {
	m := newMesh(t)
	m.claims = h
	up := newUpstream(t, handle)
	entry, _ := m.addPair(up.address(), 1)
	return entry, up
}

func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	h := newHolder()
	entry, up := claimMesh(t, h, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Order", "17")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte("ordered"))
	})
	for range 3 {
		got := keyed(t, entry, "two pallets")
		if got.status != http.StatusCreated || got.body != "ordered" || got.header.Get("X-Order") != "17" {
			t.Errorf("got %+v", got)
		}
	}
	if got := keyed(t, entry, "three pallets"); got.code != fmt.Sprint(int(code.ClaimKeyReused)) {
		t.Errorf("other request under the key: %+v", got)
	}
	up.wantRuns(t, 1)
	h.wantSaid(t, "granted finish-kept done done mismatch")
}

func TestLongAnswerIsNotKept(t *testing.T) {
	h := newHolder()
	long := strings.Repeat("g", 300<<10)
	entry, up := claimMesh(t, h, say(long))
	if got := keyed(t, entry, ""); got.body != long {
		t.Errorf("got %d bytes", len(got.body))
	}
	if got := keyed(t, entry, ""); got.code != fmt.Sprint(int(code.ClaimRunAnswerNotKept)) || got.outcome != code.Unknown {
		t.Errorf("repeat: %+v", got)
	}
	up.wantRuns(t, 1)
}

// TestRepeatWaitsWithoutASlot: the repeat of a running request must not keep
// the only slot from others, and gets the first answer.
func TestRepeatWaitsWithoutASlot(t *testing.T) {
	h := newHolder()
	started, letGo := make(chan struct{}, 10), make(chan struct{})
	m := newMesh(t)
	m.claims = h
	m.config = func(c *Config) { c.ClaimWait = time.Minute }
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderIdempotencyKey) != "" {
			started <- struct{}{}
			<-letGo
		}
		_, _ = w.Write([]byte("first"))
	})
	entry, exec := m.addPair(up.address(), 2)
	answers := make(chan told, 2)
	go func() { answers <- keyed(t, entry, "") }()
	<-started
	go func() { answers <- keyed(t, entry, "") }()
	eventually(t, "the repeat was told to wait", func() bool { return h.said() == "granted running" })
	eventually(t, "the repeat has no slot", func() bool { return exec.proxy.gate.Running() == 1 })
	if got := do(t, entry, "GET", "/stock", ""); got.body != "first" {
		t.Errorf("other call: %+v", got)
	}
	close(letGo)
	for range 2 {
		if got := <-answers; got.body != "first" {
			t.Errorf("got %+v", got)
		}
	}
	h.wantSaid(t, "granted running finish-kept done")
}

// TestReleasedBeforeTheCallerIsTold: once told not-run, coming back works.
func TestReleasedBeforeTheCallerIsTold(t *testing.T) {
	h := newHolder()
	first := true
	entry, up := claimMesh(t, h, func(w http.ResponseWriter, _ *http.Request) {
		if first {
			first = false
			w.Header().Set(HeaderUpstreamRefused, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ordered"))
	})
	if got := keyed(t, entry, ""); got.outcome != code.NotRun {
		t.Errorf("got %+v, want not-run", got)
	}
	h.wantSaid(t, "granted release")
	if got := keyed(t, entry, ""); got.body != "ordered" {
		t.Errorf("came back: %+v", got)
	}
	up.wantRuns(t, 2)
}

func TestLostUpstreamKeepsTheKeyTaken(t *testing.T) {
	h := newHolder()
	entry, up := claimMesh(t, h, func(w http.ResponseWriter, _ *http.Request) { cut(w) })
	for range 2 {
		if got := keyed(t, entry, ""); got.outcome != code.Unknown {
			t.Errorf("got %+v, want unknown", got)
		}
	}
	up.wantRuns(t, 1)
	h.wantSaid(t, "granted finish-not-kept done")
}

func TestRefusedClaimIsNotRun(t *testing.T) {
	h := newHolder()
	entry, up := claimMesh(t, h, say("x"))
	for _, c := range []code.Code{code.ClaimHomeUnreachable, code.ClaimHolderNoTenure, code.ClaimTableUnavailable, code.ClaimOverloaded} {
		h.refuse = c
		got := keyed(t, entry, "")
		if got.code != fmt.Sprint(int(c)) || got.outcome != code.NotRun || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: got %+v", c, got)
		}
	}
	up.wantRuns(t, 0)
}

// TestShedCallsCostNoClaim: admission comes first.
func TestShedCallsCostNoClaim(t *testing.T) {
	h := newHolder()
	m := newMesh(t)
	m.claims = h
	m.config = func(c *Config) { c.QueuePerSlot = 1 }
	up := newGated(t)
	entry, exec := m.addPair(up.address(), 1)
	one := background(t, entry, "POST", "/orders", "1")
	<-up.started
	two := background(t, entry, "POST", "/orders", "2")
	eventually(t, "a request waits for a slot", func() bool { return exec.proxy.gate.Waiting() == 1 })
	if got := keyed(t, entry, ""); got.code != fmt.Sprint(int(code.CallShed)) {
		t.Errorf("got %+v, want shed", got)
	}
	h.wantSaid(t, "")
	close(up.letGo)
	<-one
	<-two
}

func TestKeyedCallsPreferTheHome(t *testing.T) {
	h := newHolder()
	h.home = "b"
	m := newMesh(t)
	m.claims = h
	near, home := newUpstream(t, say("near")), newUpstream(t, say("home"))
	entry := m.add("a1", "a", near.address(), 4)
	m.add("b1", "b", home.address(), 4)
	if got := keyed(t, entry, ""); got.body != "home" {
		t.Errorf("keyed call: %+v", got)
	}
	if got := do(t, entry, "POST", "/orders", ""); got.body != "near" {
		t.Errorf("call without key: %+v", got)
	}
}

func TestMalformedKeysAreRefused(t *testing.T) {
	entry, up := claimMesh(t, newHolder(), say("x"))
	for _, headers := range [][]string{
		{HeaderIdempotencyKey, ""},
		{HeaderIdempotencyKey, strings.Repeat("k", 256)},
		{HeaderIdempotencyKey, "a", HeaderIdempotencyKey, "b"},
		{HeaderIdempotencyKey, "caf\xc3\xa9"},
	} {
		if got := do(t, entry, "POST", "/orders", "", headers...); got.code != fmt.Sprint(int(code.ClaimKeyInvalid)) {
			t.Errorf("%q: got %+v", headers, got)
		}
	}
	up.wantRuns(t, 0)
}

// slowHolder grants only when it is let go.
type slowHolder struct {
	*holder
	asked chan struct{}
	letGo chan struct{}
}

func (h *slowHolder) Acquire(ctx context.Context, req claim.Request) claim.Decision {
	h.asked <- struct{}{}
	<-h.letGo
	return h.holder.Acquire(ctx, req)
}

// TestSlowClaimsLeaveSlotsToOthers: requests that wait for a claim hold half of
// the slots at most.
func TestSlowClaimsLeaveSlotsToOthers(t *testing.T) {
	h := &slowHolder{holder: newHolder(), asked: make(chan struct{}, 10), letGo: make(chan struct{})}
	m := newMesh(t)
	m.claims = h
	up := newUpstream(t, say("ok"))
	entry, _ := m.addPair(up.address(), 4)
	answers := make(chan told, 2)
	for i := range 2 {
		go func() {
			answers <- do(t, entry, "POST", "/orders", "", HeaderIdempotencyKey, fmt.Sprint("k", i), HeaderDeadline, "60000")
		}()
		<-h.asked
	}
	got := do(t, entry, "POST", "/orders", "", HeaderIdempotencyKey, "k9")
	if got.code != fmt.Sprint(int(code.ClaimOverloaded)) || got.outcome != code.NotRun {
		t.Errorf("third keyed call: %+v, want claim-overloaded", got)
	}
	for range 3 {
		if got := do(t, entry, "POST", "/orders", ""); got.body != "ok" {
			t.Errorf("call without key: %+v", got)
		}
	}
	close(h.letGo)
	for range 2 {
		if got := <-answers; got.body != "ok" {
			t.Errorf("keyed call: %+v", got)
		}
	}
}
