package membership

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/platform"
	"godwitmount/internal/step"
	"godwitmount/internal/steptest"
)

const (
	testMesh = "test"
	testTick = 100 * time.Millisecond
)

var errCut = errors.New("cut")

// node is one core of a test network.
type node struct {
	cfg    Config
	core   *Core
	down   bool
	frozen bool
	// late holds what arrived while frozen.
	late          []step.Event
	nextTick      time.Duration
	sentBytes     int
	sentPackets   int
	exchangeBytes int
	notices       int
	counts        map[string]int
}

// delivery is an event on its way to an address.
type delivery struct {
	to    string
	from  string
	event step.Event
	call  func(*node)
}

// network steps cores on a virtual clock and carries what they send.
type network struct {
	steptest.Clock
	t      testing.TB
	random *rand.Rand
	nodes  []*node
	byAddr map[string]*node
	// loss is the share of datagrams lost.
	loss float64
	// cut reports whether two nodes cannot reach each other.
	cut func(a, b *node) bool
	// packets may change a datagram's fate: how many copies and delays.
	packets func(from *node, send SendPacket) []time.Duration
	// calls does the same for exchanges.
	calls func(from *node, start StartExchange) []time.Duration
	// trace, when set, is told of every effect.
	trace func(from *node, effect step.Effect)
	rows  map[string]platform.Row
	// outage makes reads of the platform fail.
	outage bool
	// silence makes the platform never answer.
	silence bool
	reads   int
	writes  int
	// stepTime sums the processor time of events, for benchmarks.
	stepTime time.Duration
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{
		t:      t,
		random: rand.New(rand.NewPCG(seed, seed)),
		byAddr: map[string]*node{},
		rows:   map[string]platform.Row{},
	}
}

func (n *network) moment() step.Moment {
	return step.Moment{Now: n.Now, Wall: time.Unix(1_700_000_000, 0).Add(n.Now), Random: n.random.Uint64()}
}

// add starts a core; index names its instance and address.
func (n *network) add(dataCentre string, index int, change func(*Config)) *node {
	cfg := Config{
		Mesh:        testMesh,
		Instance:    fmt.Sprintf("%s-%03d", dataCentre, index),
		Incarnation: uint64(1_700_000_000_000 + n.Now.Milliseconds()),
		DataCentre:  dataCentre,
		Address:     fmt.Sprintf("10.%d.%d.%d:7000", dataCentre[len(dataCentre)-1], index/200, index%200+1),
	}
	if change != nil {
		change(&cfg)
	}
	v := &node{cfg: cfg, counts: map[string]int{}}
	n.nodes = append(n.nodes, v)
	n.byAddr[cfg.Address] = v
	n.boot(v)
	return v
}

// boot starts a node's process anew.
func (n *network) boot(v *node) {
	v.cfg.Incarnation = uint64(1_700_000_000_000 + n.Now.Milliseconds())
	v.core = New(v.cfg, n.moment())
	v.down, v.frozen, v.late = false, false, nil
	v.nextTick = n.Now + time.Duration(n.random.Int64N(int64(testTick)))
}

// dataCentres starts data centres of a size; the first instance of each is
// the seed of all.
func (n *network) dataCentres(size int, names ...string) {
	var seeds []string
	for _, name := range names {
		seeds = append(seeds, fmt.Sprintf("10.%d.0.1:7000", name[len(name)-1]))
	}
	for i := range size {
		for _, name := range names {
			n.add(name, i, func(cfg *Config) { cfg.Peers = seeds })
		}
	}
}

func (n *network) step(v *node, event step.Event) {
	if v.down {
		return
	}
	if v.frozen {
		v.late = append(v.late, event)
		return
	}
	moment := n.moment()
	begin := time.Now()
	effects := v.core.Step(moment, event)
	n.stepTime += time.Since(begin)
	for _, effect := range effects {
		n.carry(v, effect)
	}
}

func (n *network) push(after time.Duration, d delivery) {
	n.After(after, func() { n.deliver(d) })
}

func (n *network) carry(v *node, effect step.Effect) {
	if n.trace != nil {
		n.trace(v, effect)
	}
	switch e := effect.(type) {
	case SendPacket:
		n.carryPacket(v, e)
	case StartExchange:
		n.carryExchange(v, e)
	case ReadContacts:
		n.reads++
		if n.silence {
			return
		}
		var rows []platform.Row
		for _, key := range slices.Sorted(maps.Keys(n.rows)) {
			rows = append(rows, n.rows[key])
		}
		read := ContactsRead{Rows: rows}
		if n.outage {
			read = ContactsRead{Err: platform.ErrUnavailable}
		}
		n.push(time.Millisecond, delivery{to: v.cfg.Address, from: v.cfg.Address, event: read})
	case WriteContact:
		n.writes++
		row := n.rows[e.Write.Key]
		err := error(nil)
		if row.Revision != e.Precondition.Revision {
			err = &platform.ConflictError{Key: e.Write.Key, Current: row}
		} else {
			n.rows[e.Write.Key] = platform.Row{Key: e.Write.Key, Value: e.Write.Value, Revision: uint64(n.writes)}
		}
		n.push(time.Millisecond, delivery{to: v.cfg.Address, from: v.cfg.Address, event: ContactWritten{Key: e.Write.Key, Err: err}})
	case NoticeArrived:
		v.notices++
	case step.Log:
		v.counts[e.Event.String()]++
	default:
		v.counts[effect.EffectName()]++
	}
}

func (n *network) apart(a, b *node) bool {
	return a == nil || b == nil || a.down || b.down || n.cut != nil && n.cut(a, b)
}

func (n *network) carryPacket(v *node, send SendPacket) {
	datagram, err := Encode(send.Packet)
	if err != nil {
		n.t.Errorf("%s sent a packet that does not encode: %v", v.cfg.Instance, err)
		return
	}
	v.sentBytes += len(datagram)
	v.sentPackets++
	delays := []time.Duration{n.latency()}
	if n.packets != nil {
		delays = n.packets(v, send)
	} else if n.random.Float64() < n.loss {
		delays = nil
	}
	for _, delay := range delays {
		packet, err := Decode(datagram, testMesh)
		if err != nil {
			n.t.Errorf("%s sent a packet that does not decode: %v", v.cfg.Instance, err)
			return
		}
		n.push(delay, delivery{to: send.Address, from: v.cfg.Address, event: PacketReceived{From: v.cfg.Address, Packet: packet}})
	}
}

func (n *network) latency() time.Duration {
	return time.Millisecond + time.Duration(n.random.Int64N(int64(4*time.Millisecond)))
}

// carryExchange runs a call: request, response, each with a delay.
func (n *network) carryExchange(v *node, start StartExchange) {
	to := n.byAddr[start.Address]
	fail := func(after time.Duration) {
		n.push(after, delivery{to: v.cfg.Address, from: v.cfg.Address, event: ExchangeAnswered{Address: start.Address, Err: errCut}})
	}
	if n.apart(v, to) || to.frozen {
		fail(2 * time.Second)
		return
	}
	v.exchangeBytes += proto.Size(start.Request)
	delays := []time.Duration{n.latency()}
	if n.calls != nil {
		delays = n.calls(v, start)
	}
	if len(delays) == 0 {
		fail(2 * time.Second)
	}
	for _, delay := range delays {
		n.serveExchange(v, start, delay, fail)
	}
}

func (n *network) serveExchange(v *node, start StartExchange, delay time.Duration, fail func(time.Duration)) {
	n.push(delay, delivery{to: start.Address, from: v.cfg.Address, call: func(server *node) {
		if server.frozen || n.apart(v, server) {
			fail(2 * time.Second)
			return
		}
		for _, effect := range server.core.Step(n.moment(), ExchangeRequested{Call: 1, Request: start.Request}) {
			reply, ok := effect.(step.Reply)
			if !ok {
				n.carry(server, effect)
				continue
			}
			response := reply.Message.(*peerv1.ExchangeMembersResponse)
			server.exchangeBytes += proto.Size(response)
			n.push(n.latency(), delivery{to: v.cfg.Address, from: server.cfg.Address, event: ExchangeAnswered{Address: start.Address, Response: response}})
		}
	}})
}

// run moves the clock on.
func (n *network) run(d time.Duration) {
	for end := n.Now + d; n.Now < end; {
		next := end
		for _, v := range n.nodes {
			next = min(next, v.nextTick)
		}
		n.RunTo(next)
		for _, v := range n.nodes {
			if v.nextTick <= n.Now {
				v.nextTick = n.Now + testTick
				if !v.frozen {
					n.step(v, step.Tick{})
				}
			}
		}
	}
}

func (n *network) deliver(d delivery) {
	from, to := n.byAddr[d.from], n.byAddr[d.to]
	if to == nil || to.down || n.cut != nil && n.cut(from, to) {
		return
	}
	if d.call != nil {
		d.call(to)
		return
	}
	n.step(to, d.event)
}

// wake ends a freeze: the process is told, then gets what waited.
func (n *network) wake(v *node, gap time.Duration) {
	v.frozen = false
	n.step(v, step.Paused{Gap: gap})
	late := v.late
	v.late = nil
	for _, event := range late {
		n.step(v, event)
	}
}

// until runs until a condition holds and returns how long that took.
func (n *network) until(limit time.Duration, what string, holds func() bool) time.Duration {
	n.t.Helper()
	start := n.Now
	for !holds() {
		if n.Now-start >= limit {
			n.t.Fatalf("%s: not within %v", what, limit)
		}
		n.run(testTick)
	}
	return n.Now - start
}

// up returns the nodes that run.
func (n *network) up() []*node {
	var running []*node
	for _, v := range n.nodes {
		if !v.down {
			running = append(running, v)
		}
	}
	return running
}

// sees reports whether a holds b for a liveness.
func (v *node) sees(other *node, want ...Liveness) bool {
	r, _ := v.core.Lookup(other.cfg.Instance)
	for _, l := range want {
		if r.Liveness == l {
			return true
		}
	}
	return false
}

// whole reports whether all that run see each other as they are.
func (n *network) whole() bool {
	for _, a := range n.up() {
		for _, b := range n.up() {
			r, known := a.core.Lookup(b.cfg.Instance)
			if !known || r != b.core.Self() {
				return false
			}
		}
	}
	return true
}
