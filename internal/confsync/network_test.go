package confsync

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/step"
	"godwitmount/internal/steptest"
)

const (
	ownDelay   = time.Millisecond
	farDelay   = 5 * time.Millisecond
	tickPeriod = 50 * time.Millisecond
	gossipTick = time.Second
)

// delivery is one event on its way to a node, or work of the test itself.
type delivery struct {
	at time.Duration
	to string
	ev step.Event
	do func()
}

// node is one instance across its restarts.
type node struct {
	name, dc string
	core     *Core
	// highest is what the instance ever applied.
	highest manifest.ID
	applies int
	// restarted is set until the first version is applied after a restart.
	restarted   bool
	frozenUntil time.Duration
	frozen      []delivery
	// cut drops what goes to and comes from the node; noPlatform fails its
	// reads.
	cut        bool
	noPlatform bool
}

// network runs several cores against a fake platform, in simulated time.
type network struct {
	steptest.Clock
	t       testing.TB
	random  uint64
	nodes   map[string]*node
	order   []string
	head    manifest.ID
	heads   []manifest.ID
	bodies  map[manifest.Digest][]byte
	sizes   map[manifest.Digest]int
	records []membership.Record
	// intercept sees each message between processes before it is queued and
	// reports whether it took it over.
	intercept func(d delivery) bool
	// quiet stops gossip.
	quiet bool
	// far is the delay between data centres.
	far time.Duration
	// staleReads makes every second head read answer an older head.
	staleReads bool
	// tune changes the settings of cores that start from now on.
	tune func(*Config)
	// counts of what crossed.
	headReads, objectReads, remoteBodies, localBodies, notices int
	// bytes counts what messages carry, without the headers of transports.
	bytes struct{ notices, floors, own, link, platform int }
}

func newNetwork(t testing.TB, names ...string) *network {
	n := &network{t: t, far: farDelay, nodes: map[string]*node{}, bodies: map[manifest.Digest][]byte{}, sizes: map[manifest.Digest]int{}}
	n.add(names...)
	return n
}

// add starts nodes; a name begins with its data centre.
func (n *network) add(names ...string) {
	for _, name := range names {
		dc := strings.Split(name, "-")[0]
		n.order = append(n.order, name)
		n.nodes[name] = &node{name: name, dc: dc}
		n.records = append(n.records, membership.Record{Instance: name, Address: name, DataCentre: dc, Liveness: membership.Alive})
	}
	for _, name := range names {
		n.start(name)
		n.tickLater(name, tickPeriod)
		n.gossipLater(name, gossipTick)
	}
}

func (n *network) start(name string) {
	node := n.nodes[name]
	cfg := testConfig(name, node.dc)
	if n.tune != nil {
		n.tune(&cfg)
	}
	node.core = New(cfg, n.moment())
	node.restarted = true
	n.At(n.Now, func() { n.step(node, MembersChanged{Members: n.records}) })
}

func (n *network) moment() step.Moment {
	n.random += 0x9e3779b97f4a7c15
	return step.Moment{Now: n.Now, Random: n.random}
}

func (n *network) push(d delivery) { n.At(d.at, func() { n.deliver(d) }) }

// sendFrom carries one message between processes, or from the platform.
func (n *network) sendFrom(from *node, to string, ev step.Event) {
	if from.cut {
		return
	}
	d := delivery{at: n.Now + n.delay(from, to), to: to, ev: ev}
	if n.intercept == nil || !n.intercept(d) {
		n.push(d)
	}
}

func (n *network) tickLater(name string, after time.Duration) {
	n.At(n.Now+after, func() {
		if node := n.nodes[name]; n.Now >= node.frozenUntil {
			n.step(node, step.Tick{})
		}
		n.tickLater(name, tickPeriod)
	})
}

// gossipLater makes a node exchange with one peer after the other what both
// have applied, as probes do inside a data centre and the polling daemons do
// between them.
func (n *network) gossipLater(name string, after time.Duration) {
	n.At(n.Now+after, func() {
		node := n.nodes[name]
		n.gossip(node, n.names(func(dc string) bool { return dc == node.dc }))
		if node.core.Polling() {
			n.gossip(node, n.names(func(dc string) bool { return dc != node.dc }))
		}
		n.gossipLater(name, gossipTick)
	})
}

func (n *network) gossip(node *node, among []string) {
	if n.quiet || len(among) == 0 || n.Now < node.frozenUntil {
		return
	}
	peer := n.nodes[among[int(n.moment().Random>>32)%len(among)]]
	if peer == node || n.Now < peer.frozenUntil {
		return
	}
	n.sendFrom(node, peer.name, PeerApplied{Instance: node.name, Address: node.name, ID: node.core.Applied()})
	n.sendFrom(peer, node.name, PeerApplied{Instance: peer.name, Address: peer.name, ID: peer.core.Applied()})
}

// names returns the nodes of the data centres that match.
func (n *network) names(match func(dc string) bool) []string {
	var list []string
	for _, name := range n.order {
		if match(n.nodes[name].dc) {
			list = append(list, name)
		}
	}
	return list
}

// run lets simulated time pass until done, or at most the given time.
func (n *network) run(atMost time.Duration, done func() bool) bool {
	end := n.Now + atMost
	for n.RunNext(end) {
		if done != nil && done() {
			return true
		}
	}
	n.Now = end
	return done != nil && done()
}

func (n *network) deliver(d delivery) {
	if d.do != nil {
		d.do()
		return
	}
	node := n.nodes[d.to]
	if node.cut {
		return
	}
	if n.Now < node.frozenUntil {
		node.frozen = append(node.frozen, d)
		return
	}
	n.step(node, d.ev)
}

func (n *network) freeze(name string, gap time.Duration) {
	node := n.nodes[name]
	node.frozenUntil = n.Now + gap
	n.At(node.frozenUntil, func() {
		n.step(node, step.Paused{Gap: gap})
		waiting := node.frozen
		node.frozen = nil
		for _, d := range waiting {
			n.step(node, d.ev)
		}
	})
}

func (n *network) step(node *node, ev step.Event) {
	for _, effect := range node.core.Step(n.moment(), ev) {
		n.perform(node, effect)
	}
}

func (n *network) perform(node *node, effect step.Effect) {
	switch e := effect.(type) {
	case Applied:
		n.checkApplied(node, e)
	case ReadHead:
		n.headReads++
		ev := HeadRead{Attempt: e.Attempt, ID: n.headNow()}
		if node.noPlatform {
			ev = HeadRead{Attempt: e.Attempt, Err: errors.New("away")}
		}
		n.sendFrom(node, node.name, ev)
	case FetchObject:
		n.objectReads++
		ev := ObjectFetched{Attempt: e.Attempt, ID: e.ID, Body: n.bodies[e.ID.Digest]}
		n.bytes.platform += n.objectSize(ev.Body)
		if node.noPlatform || ev.Body == nil {
			ev = ObjectFetched{Attempt: e.Attempt, ID: e.ID, Err: errors.New("away")}
		}
		n.sendFrom(node, node.name, ev)
	case SendNotice:
		n.notices += len(e.Addresses)
		n.bytes.notices += len(e.Addresses) * proto.Size(e.Notice)
		for _, address := range e.Addresses {
			n.sendFrom(node, address, NoticeReceived{From: node.name, Address: node.name, ID: idFromProto(e.Notice.Id), Remaining: e.Notice.Remaining})
		}
	case FetchFromPeer:
		n.call(node, e.Address, FetchRequested{Request: e.Request}, func(reply step.Reply) step.Event {
			resp := reply.Message.(*peerv1.FetchConfigResponse)
			n.countBody(resp, node.dc, n.nodes[e.Address].dc)
			return PeerFetched{Attempt: e.Attempt, Address: e.Address, Response: resp}
		})
	case AskFloor:
		n.call(node, e.Address, FloorRequested{Request: e.Request}, func(reply step.Reply) step.Event {
			n.bytes.floors += proto.Size(e.Request) + proto.Size(reply.Message)
			return FloorRemembered{Attempt: e.Attempt, Address: e.Address, Response: reply.Message.(*peerv1.RememberFloorResponse)}
		})
	}
}

// objectSize returns the size of a body as the platform holds it.
func (n *network) objectSize(body []byte) int {
	digest := manifest.DigestOf(body)
	if n.sizes[digest] == 0 && len(body) > 0 {
		n.sizes[digest] = len(manifest.MakeDelta(nil, body))
	}
	return n.sizes[digest]
}

func (n *network) countBody(resp *peerv1.FetchConfigResponse, from, to string) {
	switch {
	case len(resp.Body) == 0:
	case from == to:
		n.localBodies++
		n.bytes.own += proto.Size(resp)
	default:
		n.remoteBodies++
		n.bytes.link += proto.Size(resp)
	}
}

func (n *network) delay(from *node, to string) time.Duration {
	if from.dc == n.nodes[to].dc {
		return ownDelay
	}
	return n.far
}

func (n *network) call(from *node, to string, ev step.Event, answer func(step.Reply) step.Event) {
	server := n.nodes[to]
	if from.cut {
		return
	}
	d := delivery{at: n.Now + n.delay(from, to), to: to, ev: ev}
	d.do = func() {
		if server.cut || n.Now < server.frozenUntil {
			return
		}
		for _, effect := range server.core.Step(n.moment(), ev) {
			if reply, ok := effect.(step.Reply); ok {
				n.sendFrom(server, from.name, answer(reply))
				continue
			}
			n.perform(server, effect)
		}
	}
	if n.intercept == nil || !n.intercept(d) {
		n.push(d)
	}
}

// checkApplied holds what must always be true of a version put in force.
func (n *network) checkApplied(node *node, e Applied) {
	n.t.Helper()
	again := e.ID == node.highest && node.restarted
	if e.ID.Version <= node.highest.Version && !again {
		n.t.Fatalf("%s at %v applied %s after %s", node.name, n.Now, e.ID, node.highest)
	}
	if e.Table == nil || manifest.DigestOf(e.Body) != e.ID.Digest {
		n.t.Fatalf("%s applied %s in part", node.name, e.ID)
	}
	node.highest = e.ID
	node.restarted = false
	node.applies++
}

// headNow is what a read of the head answers.
func (n *network) headNow() manifest.ID {
	if n.staleReads && len(n.heads) > 2 && n.headReads%2 == 0 {
		return n.heads[len(n.heads)-3]
	}
	return n.head
}

// accept publishes a body as the next version.
func (n *network) accept(body string) manifest.ID {
	n.head = idOf(n.head.Version+1, body)
	n.heads = append(n.heads, n.head)
	n.bodies[n.head.Digest] = []byte(body)
	return n.head
}

func (n *network) allAt(id manifest.ID) func() bool {
	return func() bool {
		for _, name := range n.order {
			if n.nodes[name].core.Applied() != id {
				return false
			}
		}
		return true
	}
}

func (n *network) applied() string {
	var b strings.Builder
	for _, name := range n.order {
		fmt.Fprintf(&b, "%s=%s ", name, n.nodes[name].core.Applied())
	}
	return b.String()
}
