package claim

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/platform"
	"godwitmount/internal/step"
	"godwitmount/internal/steptest"
)

// world is a few holders, a table and callers that repeat, joined by messages
// that may be lost, repeated or late.
type world struct {
	steptest.Clock
	nodes map[string]*node
	// holders are the names of the nodes that hold claims, in order.
	holders []string
	table   *fakeTable
	sites   map[string]int
	fault   func(kind string, n int) faultKind
	sent    map[string]int
	runs    map[Hash][]string
	grants  int
	// outcomes counts what callers were told.
	outcomes map[peerv1.ClaimOutcome]int
}

// faultKind is what happens to one message.
type faultKind string

const (
	noFault    faultKind = ""
	lost       faultKind = "lost"
	repeated   faultKind = "repeated"
	crossed    faultKind = "crossed"
	late       faultKind = "late"
	repeatLate faultKind = "repeated late"
)

const (
	worldHorizon   = 60 * time.Second
	worldTick      = 400 * time.Millisecond
	messageDelay   = time.Millisecond
	crossDelay     = 300 * time.Millisecond
	lateDelay      = 7 * time.Second
	suspectAfter   = time.Second
	deadAfter      = 4 * time.Second
	executorWait   = 3 * time.Second
	detectionSkew  = 700 * time.Millisecond
	pauseThreshold = time.Second
)

// node is a daemon: a holder, or an executor, which only watches.
type node struct {
	steptest.Process
	w           *world
	name        string
	core        *Core
	incarnation uint64
	skew        time.Duration
	left        bool
	heard       map[string]time.Duration
	view        []Member
}

func newWorld(names ...string) *world {
	w := &world{
		nodes: map[string]*node{}, sites: map[string]int{}, sent: map[string]int{},
		runs: map[Hash][]string{}, outcomes: map[peerv1.ClaimOutcome]int{},
		table: &fakeTable{rows: map[string]platform.Row{}, away: map[string]bool{}},
		fault: func(string, int) faultKind { return noFault },
	}
	for _, name := range names {
		w.join(name)
	}
	for _, name := range []string{"x", "y"} {
		w.add(name).core = nil
	}
	return w
}

// join adds a holder.
func (w *world) join(name string) {
	w.holders = append(w.holders, name)
	w.add(name)
}

func (w *world) add(name string) *node {
	n := &node{w: w, name: name, skew: time.Duration(len(w.nodes)%3) * detectionSkew}
	w.nodes[name] = n
	n.start()
	w.After(worldTick, n.tick)
	return n
}

func (n *node) start() {
	n.incarnation++
	n.Restart(&n.w.Clock)
	n.view, n.left = nil, false
	n.heard = map[string]time.Duration{}
	cfg := DefaultConfig(testMesh, "near")
	cfg.Horizon = worldHorizon
	cfg.DetectionMargin = 5 * time.Second
	cfg.MaxWait = 5 * time.Second
	n.core = New(cfg, n.w.moment())
}

func (w *world) moment() step.Moment {
	return step.Moment{Now: w.Now, Wall: time.UnixMilli(1_000_000).Add(w.Now)}
}

// send carries one message, with the fault that the scenario has for it.
func (w *world) send(kind string, deliver func()) {
	w.sent[kind]++
	switch w.fault(kind, w.sent[kind]) {
	case lost:
		return
	case repeated:
		w.After(messageDelay, deliver)
	case crossed:
		w.After(crossDelay, deliver)
		return
	case late:
		w.After(lateDelay, deliver)
		return
	case repeatLate:
		w.After(lateDelay, deliver)
	}
	w.After(messageDelay, deliver)
}

func (w *world) reachable(a, b string) bool { return w.sites[a] == w.sites[b] }

// tick is the failure detector and the holder's clock.
func (n *node) tick() {
	n.w.After(worldTick, n.tick)
	if n.Down || n.Frozen() {
		return
	}
	var view []Member
	var left []string
	for _, name := range n.w.holders {
		other := n.w.nodes[name]
		if other.left {
			left = append(left, name)
			continue
		}
		running := !other.Down && !other.Frozen()
		if running && n.w.reachable(n.name, name) {
			n.heard[name] = n.w.Now
		}
		heard, known := n.heard[name]
		silent := n.w.Now - heard
		if known && silent < deadAfter+n.skew {
			view = append(view, Member{Instance: name, Incarnation: other.incarnation, Suspect: silent >= suspectAfter})
		}
	}
	if !slices.Equal(view, n.view) {
		n.view = view
		n.step(ViewChanged{Version: 1, DataCentres: []string{"near"}, Self: n.name, Live: view, Left: left})
	}
	n.step(step.Tick{})
}

func (n *node) freeze(d time.Duration) {
	n.Freeze(d, func() bool {
		if d >= pauseThreshold {
			n.step(step.Paused{Gap: d})
		}
		for name := range n.heard {
			n.heard[name] = n.w.Now
		}
		return true
	})
}

func (n *node) step(ev step.Event) {
	if n.core == nil || n.Down {
		return
	}
	for _, effect := range n.core.Step(n.w.moment(), ev) {
		n.perform(effect)
	}
}

func (n *node) perform(effect step.Effect) {
	w, incarnation := n.w, n.incarnation
	back := func(kind string, ev step.Event) {
		w.send(kind, func() {
			n.WhenAwake(func() {
				if n.incarnation == incarnation {
					n.step(ev)
				}
			})
		})
	}
	switch e := effect.(type) {
	case step.Reply:
		if !n.Answer(e) {
			panic(fmt.Sprintf("%s: call %d answered twice", n.name, e.Call))
		}
	case WriteClaims:
		w.send("write", func() {
			result, err := w.table.transact(n.name, e.Transaction)
			back("write answer", TableWritten{Batch: e.Batch, Result: result, Err: err})
		})
	case ReadClaim:
		w.send("read", func() {
			row, err := w.table.read(n.name, e.Key)
			back("read answer", TableRead{Key: e.Key, Row: row, Err: err})
		})
	case HandOver:
		w.call("hand-over", n.name, e.To.Instance,
			func(call step.CallID) step.Event { return HandOverRequested{Call: call, Request: e.Request} },
			func(m proto.Message) {
				n.WhenAwake(func() {
					if n.incarnation == incarnation {
						n.step(HandedOver{ID: e.ID, Response: m.(*peerv1.HandOverClaimsResponse)})
					}
				})
			})
	}
}

// call carries a request to a holder and its reply back.
func (w *world) call(kind, from, to string, request func(step.CallID) step.Event, answer func(proto.Message)) {
	w.send(kind, func() {
		n := w.nodes[to]
		if !w.reachable(from, to) {
			return
		}
		n.WhenAwake(func() {
			n.step(request(n.Call(func(m proto.Message) {
				w.send(kind+" answer", func() {
					if w.reachable(from, to) {
						answer(m)
					}
				})
			})))
		})
	})
}

// attempt has an executor try a key once. An attempt that is granted in time
// runs, unless it is fenced, and is then reported.
func (w *world) attempt(executor string, key Hash, id string) {
	x := w.nodes[executor]
	var instances []string
	for _, m := range x.view {
		instances = append(instances, m.Instance)
	}
	holder, _ := ranked(key, instances)
	if holder == "" {
		return
	}
	fingerprint := fingerprintFor("same")
	req := &peerv1.AcquireClaimRequest{Mesh: testMesh, Key: key[:], Fingerprint: fingerprint[:], Attempt: id, Executor: executor, WaitMs: 500}
	over := false
	w.After(executorWait, func() {
		if !over {
			over = true
			w.finish(executor, holder, key, id, true)
		}
	})
	w.call("acquire", executor, holder,
		func(call step.CallID) step.Event {
			return AcquireRequested{Call: call, Request: proto.Clone(req).(*peerv1.AcquireClaimRequest)}
		},
		func(m proto.Message) {
			if over {
				return
			}
			over = true
			outcome := m.(*peerv1.AcquireClaimResponse).GetOutcome()
			w.outcomes[outcome]++
			if outcome == peerv1.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
				w.granted(executor, holder, key, id)
			}
		})
}

func (w *world) granted(executor, holder string, key Hash, id string) {
	w.grants++
	const fates = 5
	switch fingerprintFor(id)[0] % fates {
	case 0:
		w.finish(executor, holder, key, id, true)
	case 1:
		// The executor dies in the middle.
		w.runs[key] = append(w.runs[key], id)
	default:
		w.runs[key] = append(w.runs[key], id)
		w.After(100*time.Millisecond, func() { w.finish(executor, holder, key, id, false) })
	}
}

func (w *world) finish(executor, holder string, key Hash, id string, released bool) {
	req := &peerv1.FinishClaimRequest{Mesh: testMesh, Key: key[:], Attempt: id, Released: released}
	w.call("finish", executor, holder,
		func(call step.CallID) step.Event { return FinishRequested{Call: call, Request: req} },
		func(proto.Message) {})
}
