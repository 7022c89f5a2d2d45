package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitmount/internal/manifest"
	"godwitmount/internal/platformstandin"
	"godwitmount/internal/publish"
	"godwitmount/internal/step"
	"godwitmount/internal/steptest"
)

const (
	testMesh  = "test"
	testTick  = 100 * time.Millisecond
	linkDelay = 2 * time.Millisecond
	// callTimeout ends a call between processes, platformTimeout one to the
	// platform.
	callTimeout     = 3 * time.Second
	platformTimeout = 5 * time.Second
	// announceInterval and announceTTL are the upstreams'.
	announceInterval = time.Second
	announceTTL      = 5 * time.Second
	// platformName stands for the platform where messages name their ends.
	platformName = "platform"
	// epoch is the wall clock at the start, in Unix seconds.
	epoch = 1_700_000_000
)

// message is one message between two processes, or a process and the platform.
type message struct {
	kind     string
	from, to string
	deliver  func()
}

// network runs a few cores and a platform on a virtual clock.
type network struct {
	steptest.Clock
	t         testing.TB
	random    uint64
	processes map[string]*process
	names     []string
	store     *platformstandin.Store
	publisher *publish.Publisher
	// cut drops what passes between the data centres.
	cut bool
	// blocked, when set, drops the messages it holds for.
	blocked func(m message) bool
	// intercept may take a message over before it is sent.
	intercept func(m message) bool
	newest    manifest.ID
	// bodies are the accepted versions.
	bodies   map[manifest.ID][]byte
	claims   *claimants
	failures []string
}

// newNetwork starts two data centres of three daemons that know version 1.
func newNetwork(t testing.TB) *network {
	n := &network{t: t, processes: map[string]*process{}, bodies: map[manifest.ID][]byte{}}
	n.store = platformstandin.NewStore(platformstandin.Config{Now: n.wall})
	n.publisher = publish.New(n.store, publish.Config{RetryInterval: time.Millisecond, Now: n.wall})
	n.claims = newClaimants(n)
	n.accept(1)
	for i, name := range []string{"k-1", "k-2", "k-3", "p-1", "p-2", "p-3"} {
		p := &process{n: n, name: name, dataCentre: name[:1], address: fmt.Sprintf("192.0.2.%d:7000", i+1)}
		n.processes[name] = p
		n.names = append(n.names, name)
	}
	for _, name := range n.names {
		p := n.processes[name]
		p.start()
		n.After(testTick, p.tick)
	}
	for _, name := range []string{"k-1", "k-2", "p-1", "p-2"} {
		n.processes[name].announce("desk")
	}
	return n
}

func (n *network) wall() time.Time { return time.Unix(epoch, 0).Add(n.Now) }

// draw returns the next number of a fixed sequence.
func (n *network) draw() uint64 {
	n.random += 0x9e3779b97f4a7c15
	z := n.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// until moves the clock on until holds, and reports whether it came to hold.
func (n *network) until(limit time.Duration, holds func() bool) bool {
	for end := n.Now + limit; n.Now < end; n.RunFor(testTick) {
		if holds() {
			return true
		}
	}
	return holds()
}

// failf notes a broken promise.
func (n *network) failf(format string, args ...any) {
	n.failures = append(n.failures, fmt.Sprintf("at %v: ", n.Now)+fmt.Sprintf(format, args...))
}

// send carries one message.
func (n *network) send(m message) {
	if n.blocked != nil && n.blocked(m) {
		return
	}
	if n.intercept == nil || !n.intercept(m) {
		n.carry(m, linkDelay)
	}
}

// carry delivers a message after a delay, unless a cut is in its way by then.
func (n *network) carry(m message, delay time.Duration) {
	n.After(delay, func() {
		if !n.apart(m.from, m.to) {
			m.deliver()
		}
	})
}

func (n *network) apart(a, b string) bool {
	return n.cut && a != platformName && b != platformName && a[0] != b[0]
}

// byAddress returns the process with an address, or nil.
func (n *network) byAddress(address string) *process {
	for _, p := range n.processes {
		if p.address == address {
			return p
		}
	}
	return nil
}

// call carries a request from one process to another and its answer back. The
// answer is nil when the time is over first; one that comes later is handed on
// all the same.
func (n *network) call(from *process, address, kind string, build func(step.CallID) step.Event, answer func(proto.Message)) {
	to := n.byAddress(address)
	if to == nil {
		return
	}
	answered := false
	n.send(message{kind: kind, from: from.name, to: to.name, deliver: func() {
		to.WhenAwake(func() {
			to.step(build(to.Call(func(reply proto.Message) {
				n.send(message{kind: kind + " answer", from: to.name, to: from.name, deliver: func() {
					answered = true
					answer(reply)
				}})
			})))
		})
	}})
	n.After(callTimeout, func() {
		if !answered {
			answer(nil)
		}
	})
}

// platformCall carries a request to the platform: ask runs there, and the event
// it makes comes back. lost is what the process is told when its time is over.
func (n *network) platformCall(from *process, kind string, ask func(context.Context) step.Event, lost step.Event) {
	answered := false
	tell := from.thisLife()
	n.send(message{kind: kind, from: from.name, to: platformName, deliver: func() {
		answer := ask(context.Background())
		n.send(message{kind: kind + " answer", from: platformName, to: from.name, deliver: func() {
			answered = true
			tell(answer)
		}})
	}})
	n.After(platformTimeout, func() {
		if !answered {
			tell(lost)
		}
	})
}

// accept publishes the manifest of a generation as the next version. The
// operator's own faults are not part of this test.
func (n *network) accept(generation int) {
	faults := n.store.Faults()
	n.setFaults(platformstandin.Faults{})
	defer func() { n.setFaults(faults) }()
	body := testManifest(n.t, generation)
	digest, err := n.publisher.Propose(context.Background(), body)
	if err != nil {
		n.t.Fatal(err)
	}
	n.newest, err = n.publisher.Accept(context.Background(), publish.Acceptance{
		ID: fmt.Sprint("acceptance-", generation), Digest: digest, Base: n.newest, Operator: "test",
	})
	if err != nil {
		n.t.Fatal(err)
	}
	n.bodies[n.newest] = body
}

func (n *network) setFaults(f platformstandin.Faults) {
	if err := n.store.SetFaults(f); err != nil {
		n.t.Fatal(err)
	}
}

// testManifest returns the canonical body of a generation; each adds a route.
func testManifest(t testing.TB, generation int) []byte {
	routes := ""
	for i := range generation {
		routes += fmt.Sprintf(`{"name": "route-%d", "match": {"path": "/%d"}, "service": "desk"},`, i, i)
	}
	source := fmt.Sprintf(`{"mesh": %q, "data_centres": ["k", "p"],
		"services": [{"name": "desk"}, {"name": "idle"}],
		"routes": [%s {"name": "rest", "match": {"path_prefix": "/rest"}, "service": "idle"}]}`, testMesh, routes)
	m, problems := manifest.Parse("test", []byte(source))
	if problems != nil {
		t.Fatal(problems)
	}
	return m.Canonical()
}

// all reports whether something holds of each running process.
func (n *network) all(holds func(*process) bool) bool {
	for _, name := range n.names {
		if p := n.processes[name]; !p.Down && !holds(p) {
			return false
		}
	}
	return true
}
