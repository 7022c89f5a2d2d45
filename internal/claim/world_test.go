package claim

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/platform"
	"godwitmount/internal/step"
)

// world is a few holders, a table and callers that repeat, joined by messages
// that may be lost, repeated or late.
type world struct {
	now   time.Duration
	queue agenda
	order int
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

type task struct {
	at    time.Duration
	order int
	run   func()
}

type agenda []task

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(task)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// node is a daemon: a holder, or an executor, which only watches.
type node struct {
	w           *world
	name        string
	core        *Core
	incarnation uint64
	skew        time.Duration
	down        bool
	left        bool
	frozen      time.Duration
	held        []func()
	heard       map[string]time.Duration
	view        []Member
	calls       map[step.CallID]func(proto.Message)
	nextCall    step.CallID
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
	w.after(worldTick, n.tick)
	return n
}

func (n *node) start() {
	n.incarnation++
	n.down, n.left = false, false
	n.view, n.held = nil, nil
	n.heard = map[string]time.Duration{}
	n.calls = map[step.CallID]func(proto.Message){}
	cfg := DefaultConfig(testMesh, "near")
	cfg.Horizon = worldHorizon
	cfg.DetectionMargin = 5 * time.Second
	cfg.MaxWait = 5 * time.Second
	n.core = New(cfg, n.w.moment())
}

func (w *world) moment() step.Moment {
	return step.Moment{Now: w.now, Wall: time.UnixMilli(1_000_000).Add(w.now)}
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, task{at: w.now + d, order: w.order, run: run})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(task)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// send carries one message, with the fault that the scenario has for it.
func (w *world) send(kind string, deliver func()) {
	w.sent[kind]++
	switch w.fault(kind, w.sent[kind]) {
	case lost:
		return
	case repeated:
		w.after(messageDelay, deliver)
	case crossed:
		w.after(crossDelay, deliver)
		return
	case late:
		w.after(lateDelay, deliver)
		return
	case repeatLate:
		w.after(lateDelay, deliver)
	}
	w.after(messageDelay, deliver)
}

func (w *world) reachable(a, b string) bool { return w.sites[a] == w.sites[b] }

// tick is the failure detector and the holder's clock.
func (n *node) tick() {
	n.w.after(worldTick, n.tick)
	if n.down || n.frozen > n.w.now {
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
		running := !other.down && other.frozen <= n.w.now
		if running && n.w.reachable(n.name, name) {
			n.heard[name] = n.w.now
		}
		heard, known := n.heard[name]
		silent := n.w.now - heard
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

// deliver runs a message's arrival at the node, once it is awake.
func (n *node) deliver(run func()) {
	switch {
	case n.down:
	case n.frozen > n.w.now:
		n.held = append(n.held, run)
	default:
		run()
	}
}

func (n *node) freeze(d time.Duration) {
	n.frozen = n.w.now + d
	n.w.after(d, func() {
		if d >= pauseThreshold {
			n.step(step.Paused{Gap: d})
		}
		for name := range n.heard {
			n.heard[name] = n.w.now
		}
		held := n.held
		n.held = nil
		for _, run := range held {
			run()
		}
	})
}

func (n *node) step(ev step.Event) {
	if n.core == nil || n.down {
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
			n.deliver(func() {
				if n.incarnation == incarnation {
					n.step(ev)
				}
			})
		})
	}
	switch e := effect.(type) {
	case step.Reply:
		answer := n.calls[e.Call]
		delete(n.calls, e.Call)
		if answer == nil {
			panic(fmt.Sprintf("%s: call %d answered twice", n.name, e.Call))
		}
		answer(e.Message)
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
				n.deliver(func() {
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
		n.deliver(func() {
			n.nextCall++
			n.calls[n.nextCall] = func(m proto.Message) {
				w.send(kind+" answer", func() {
					if w.reachable(from, to) {
						answer(m)
					}
				})
			}
			n.step(request(n.nextCall))
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
	w.after(executorWait, func() {
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
		w.after(100*time.Millisecond, func() { w.finish(executor, holder, key, id, false) })
	}
}

func (w *world) finish(executor, holder string, key Hash, id string, released bool) {
	req := &peerv1.FinishClaimRequest{Mesh: testMesh, Key: key[:], Attempt: id, Released: released}
	w.call("finish", executor, holder,
		func(call step.CallID) step.Event { return FinishRequested{Call: call, Request: req} },
		func(proto.Message) {})
}
