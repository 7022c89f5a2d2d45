package control

import (
	"time"

	"godwitmount/internal/claim"
	"godwitmount/internal/membership"
	"godwitmount/internal/platformstandin"
	"godwitmount/internal/quarantine"
)

const (
	// claimHorizon is for how long keys are remembered; longer than a flow.
	claimHorizon = 40 * time.Second
	// detectionMargin is added to it where an instance is lost.
	detectionMargin = 3 * time.Second
	// startTime is enough for a mesh to start and to put version 1 in force.
	startTime = 8 * time.Second
	// flowTime is the part of a flow whose messages meet faults.
	flowTime = time.Second
	// healTime is allowed once all faults are over.
	healTime = 15 * time.Second
	// outTime is how long an instance that drains or leaves may get new work
	// once all faults are over.
	outTime = 5 * time.Second
	// leaveTime is how long a planned stop takes; it is asked for every second,
	// so that one that a restart interrupts goes on.
	leaveTime = 20 * time.Second
	// outageTime is how long the platform is away in a flow.
	outageTime = 10 * time.Second
	// restartTime is how long an instance stays away in a restart.
	restartTime = 50 * time.Millisecond
)

// flow is one thing that happens to a mesh.
type flow struct {
	name string
	// tenured lets the claim holders hold their keys for long first.
	tenured bool
	// remembers is set when its end rests on memory that no process keeps and
	// the platform does not hold.
	remembers bool
	// stale is set when the platform's reads are stale while it runs.
	stale bool
	// begin starts it; what follows later is scheduled there.
	begin func(n *network)
	// limit is by when done must hold, after the flow and its fault are over.
	limit time.Duration
	done  func(n *network) bool
	// after must still hold a while later.
	after func(n *network) bool
}

// crasher is the fingerprint of the request that crashes upstreams.
var crasher = claim.FingerprintOf("POST", "/crash", "", nil)

var flows = []flow{
	{
		name: "publish",
		begin: func(n *network) {
			n.accept(2)
			n.After(400*time.Millisecond, func() { n.accept(3) })
		},
		limit: healTime,
		done:  func(n *network) bool { return n.newest.Version == 3 && n.all((*process).current) },
	},
	{
		name:  "announce",
		begin: func(n *network) { n.processes["k-3"].announce("desk") },
		limit: healTime,
		done:  func(n *network) bool { return n.all(func(p *process) bool { return p.offers("k-3") }) },
	},
	{
		name:  "drain",
		begin: func(n *network) { n.processes["k-1"].drain() },
		limit: outTime,
		done:  nobodyOffers("k-1"),
		after: nobodyOffers("k-1"),
	},
	{
		name: "leave",
		begin: func(n *network) {
			p := n.processes["p-1"]
			for at := time.Duration(0); at < leaveTime; at += time.Second {
				n.After(at, func() { p.WhenAwake(func() { p.step(LeaveRequested{}) }) })
			}
			n.After(leaveTime, p.leave)
		},
		limit: outTime,
		done:  nobodyOffers("p-1"),
		after: nobodyOffers("p-1"),
	},
	{
		name:      "claim",
		tenured:   true,
		remembers: true,
		begin:     sendAndRepeat,
		limit:     healTime,
		done:      claimSettled,
	},
	{
		name:      "claim without platform",
		tenured:   true,
		remembers: true,
		begin: func(n *network) {
			n.setFaults(platformstandin.Faults{Outage: platformstandin.OutageRefuse})
			n.After(outageTime, func() { n.setFaults(platformstandin.Faults{}) })
			sendAndRepeat(n)
		},
		limit: outageTime + healTime,
		done:  claimSettled,
	},
	{
		name:      "crash",
		remembers: true,
		begin: func(n *network) {
			n.processes["k-1"].crash()
			n.After(200*time.Millisecond, n.processes["p-1"].crash)
		},
		limit: healTime,
		done:  everyoneRefuses,
		after: everyoneRefuses,
	},
	{
		name: "restart",
		begin: func(n *network) {
			n.accept(2)
			n.After(200*time.Millisecond, n.processes["k-2"].restart)
			n.After(300*time.Millisecond, n.processes["p-3"].restart)
		},
		limit: healTime,
		done: func(n *network) bool {
			return n.all((*process).current) && n.all(func(p *process) bool { return p.offers("k-2") })
		},
	},
	{
		name:  "restart alone ahead",
		stale: true,
		begin: applyAloneAndRestart,
		limit: healTime,
		done:  func(n *network) bool { return n.all((*process).current) },
	},
}

// sendAndRepeat lets a caller send a request under one key again and again.
func sendAndRepeat(n *network) {
	for i, executor := range []string{"k-1", "k-2", "p-1", "k-1", "p-2", "k-2"} {
		n.After(time.Duration(i)*130*time.Millisecond, func() { n.claims.attempt(executor) })
	}
}

// claimSettled lets the caller repeat once more.
func claimSettled(n *network) bool {
	n.claims.attempt("k-3")
	return n.claims.settled()
}

// applyAloneAndRestart lets one process take version 2 while all that the
// others hear of it is its floor, and restarts it while the platform answers
// from old data.
func applyAloneAndRestart(n *network) {
	var first *process
	for _, name := range n.names {
		if p := n.processes[name]; first == nil && p.core.sync.Polling() {
			first = p
		}
	}
	n.blocked = func(m message) bool {
		if m.from == platformName || m.to == platformName {
			return m.from != first.name && m.to != first.name
		}
		return m.kind != "floor" && m.kind != "floor answer" && m.kind != "exchange" && m.kind != "exchange answer"
	}
	n.accept(2)
	n.After(850*time.Millisecond, func() {
		n.platformFault(platformstandin.Faults{StaleRevisions: 1})
		first.restart()
		n.blocked = nil
	})
}

func nobodyOffers(instance string) func(*network) bool {
	return func(n *network) bool {
		return n.all(func(p *process) bool { return p.snapshot != nil && !p.offers(instance) })
	}
}

func everyoneRefuses(n *network) bool {
	return n.all(func(p *process) bool { return p.refuses(crasher) })
}

// crash lets the local upstream crash with the crashing request in flight; its
// next announcement brings it back.
func (p *process) crash() {
	p.WhenAwake(func() {
		p.step(UpstreamLost{})
		p.step(quarantine.Crashed{Fingerprint: crasher, Crash: 1})
	})
}

// leave ends a planned stop.
func (p *process) leave() {
	p.WhenAwake(func() {
		p.step(membership.LeaveFinished{})
		p.Down = true
	})
}

// restart kills the process and starts it again soon.
func (p *process) restart() {
	p.Down = true
	p.n.After(restartTime, p.start)
}
