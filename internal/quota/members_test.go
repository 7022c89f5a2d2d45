package quota

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

const (
	// handshakeDelay is the longest time until a daemon that another one has connected to
	// takes it for a member.
	handshakeDelay = 100 * ms
	// tableRetry is the time after which a call that the store has not answered is
	// repeated, and tablePoll that between two reads of the member table.
	tableRetry = 300 * ms
	tablePoll  = 1200 * ms
)

// memberTable is the member table of the store in a replay. Without one, all daemons know
// each other at any time.
type memberTable struct {
	entries map[int]bool
	// away is set while the store answers nobody.
	away bool
}

// withTable gives the mesh a store whose member table has the entries of all daemons.
func (m *mesh) withTable() {
	m.table = &memberTable{entries: map[int]bool{}}
	for _, n := range m.nodes {
		m.table.entries[n.index] = true
		n.known = map[int]bool{}
		for _, other := range m.nodes {
			n.known[other.index] = true
		}
	}
}

// join makes a process that has just started learn of the others: it reads the member
// table, writes its entry unless that is there, and reads again until it is.
func (m *mesh) join(n *node) {
	n.known, n.membersUnread = map[int]bool{n.index: true}, true
	m.view(n)
	life := n.life
	var read, write func()
	call := func(f func()) {
		m.after(m.between(ms, 10*ms), func() {
			switch {
			case !n.alive || n.life != life:
			case m.table.away:
				m.after(tableRetry, f)
			default:
				m.on(n, f)
			}
		})
	}
	read = func() {
		if m.table.away {
			call(read)
			return
		}
		for index := range m.table.entries {
			m.meet(n, m.nodes[index])
		}
		if m.table.entries[n.index] {
			n.membersUnread = false
			m.view(n)
			m.tell(n)
			return
		}
		call(write)
	}
	write = func() {
		if m.table.away {
			call(write)
			return
		}
		m.table.entries[n.index] = true
		if m.slowTable {
			m.after(tablePoll, func() { call(read) })
			return
		}
		call(read)
	}
	call(read)
}

// meet makes a daemon know another one and connect to it, which makes that one know it.
func (m *mesh) meet(n, to *node) {
	if n == to || n.known[to.index] {
		return
	}
	n.known[to.index] = true
	m.view(n)
	m.after(m.between(2*ms, 20*ms), func() {
		if !n.alive || !to.alive || m.lost(n, to) || !n.known[to.index] {
			return
		}
		m.connect(n, to)
	})
}

// tell makes the others know a new state of a daemon.
func (m *mesh) tell(n *node) {
	for _, other := range m.nodes {
		if other != n && other.alive && other.known[n.index] {
			m.after(m.delay(n, other), func() { m.on(other, func() { m.view(other) }) })
		}
	}
}

// outage makes the store answer nobody for a time.
func (m *mesh) outage(from, duration time.Duration) {
	m.at(from, func() { m.table.away = true })
	m.at(from+duration, func() { m.table.away = false })
}

// soakMesh returns the data centres of the soak test, in which customers send more than
// their limits all the time.
func soakMesh(seed uint64) *mesh {
	m := newMesh(seed, 2, 3, map[string]Limit{"flood": {Rate: 20, Burst: 30}, "large": {Rate: 200, Burst: 100}})
	m.withTable()
	m.driveAll([]float64{1, 1}, func(_ string, limit Limit) float64 { return 7 * limit.Rate })
	return m
}

// firstStart makes all daemons start for the first time, at about the same time.
func (m *mesh) firstStart() {
	m.at(begin, func() {
		clear(m.table.entries)
		for _, n := range m.nodes {
			m.kill(n)
			m.after(m.between(0, 40*ms), func() { m.start(n) })
		}
	})
}

// TestFirstStartWithoutStore guards against daemons that each take themselves for the only
// one of their data centre: they start together, and the store stops answering at any
// moment of that, before they have read each other's entries.
func TestFirstStartWithoutStore(t *testing.T) {
	t.Parallel()
	const seeds = 60
	unread := 0
	for seed := range uint64(seeds) {
		m := soakMesh(seed)
		m.slowTable = seed%2 == 0
		m.firstStart()
		m.outage(begin+m.between(0, 100*ms), 7*time.Second)
		m.at(begin+6*time.Second, func() {
			for _, n := range m.nodes {
				if n.membersUnread {
					unread++
				}
			}
		})
		m.run(end + time.Second)
		m.checkBound(t, seed, m.limits, 0, end)
		for name, s := range m.stats {
			if got, least := s.ranIn(end-10*time.Second, end), m.limits[name].Rate*10*0.8; float64(got) < least {
				t.Errorf("seed %d: %d requests of %s ran in the last 10 s, want %.0f", seed, got, name, least)
			}
		}
	}
	if unread < seeds || unread == seeds*6 {
		t.Errorf("%d of %d daemons had not read their entry: the replay does not show what it is for", unread, seeds*6)
	}
}

// ranIn returns the number of requests that ran and were sent in [from, to).
func (s *stats) ranIn(from, to time.Duration) int {
	n := 0
	for _, at := range s.ran {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// TestDaemonsServeWithoutStore guards against daemons that know each other and refuse
// customers because the store is away, and against a restarted one that refuses although
// it reaches them. One daemon of each data centre is stopped as planned, which removes its
// entry, or killed; the last one goes on alone.
func TestDaemonsServeWithoutStore(t *testing.T) {
	t.Parallel()
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprint("removed ", removed), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				m := soakMesh(seed)
				m.outage(15*time.Second, time.Minute)
				for i := range 4 {
					n := m.nodes[i]
					m.at(16*time.Second+time.Duration(i)*time.Second, func() {
						m.leave(n)
						m.after(300*ms, func() {
							m.kill(n)
							if removed {
								delete(m.table.entries, n.index)
							}
						})
						m.after(500*ms, func() { m.start(n) })
					})
				}
				m.run(end + time.Second)
				m.checkBound(t, seed, m.limits, 0, end)
				for name, s := range m.stats {
					if got, least := s.ranIn(22*time.Second, end), m.limits[name].Rate*10*0.8; float64(got) < least {
						t.Errorf("seed %d: %d requests of %s ran in 10 s, want %.0f", seed, got, name, least)
					}
				}
				for _, n := range m.nodes {
					if n.membersUnread != (n.index < 4) {
						t.Errorf("seed %d: %s has not read its entry: %t", seed, n.name, n.membersUnread)
					}
				}
			}
		})
	}
}

// TestDaemonWithoutItsEntryGrantsNothing guards against tokens of a daemon that has not
// read its entry of the member table, in each way in which it may be asked for them.
func TestDaemonWithoutItsEntryGrantsNothing(t *testing.T) {
	view := View{Daemons: 2, MembersUnread: true, Members: []Member{{Instance: "b", Reachable: true, MembersUnread: true}}}
	l := New(Config{Instance: "a", Params: testParams})
	l.SetLimits(0, map[string]Limit{"c": {Rate: 1000, Burst: 1000}})
	l.SetView(0, view)
	for i := range 100 {
		now := time.Duration(i) * 10 * ms
		l.Tick(now)
		if d := l.Take(now, "c", false); d.Action != Refuse || !d.NoOwner || d.Wait <= 0 {
			t.Fatalf("%v: decided %+v", now, d)
		}
		if d := l.TakeOwn(now, "c"); d.Action != Refuse {
			t.Fatalf("%v: its own share admits: %+v", now, d)
		}
		for _, r := range []Request{{Tokens: 1}, {Tokens: 1, Takeover: true}, {Tokens: 1, Relayed: true}, {Pull: true, Need: 0.1}} {
			r.Customer = "c"
			if reply, forward := l.Handle(now, "b", r); reply.Tokens > 0 || reply.Given > 0 || forward != nil {
				t.Fatalf("%v: answered %+v with %+v, %+v", now, r, reply, forward)
			}
		}
	}
	view.Members[0].MembersUnread = false
	l.SetView(time.Second, view)
	if d := l.Take(time.Second, "c", false); d.Action != Ask || d.Message.To != "b" {
		t.Errorf("decided %+v although another daemon grants tokens", d)
	}
	view.MembersUnread, view.Members[0].MembersUnread = false, true
	l.SetView(time.Second, view)
	if d := l.Take(time.Second, "c", true); d.Action != Admit {
		t.Errorf("decided %+v with its entry read", d)
	}
}

// TestBucketStaysUntilTheNewOwnerIsKnown guards against two buckets: a daemon that has just
// read its entry asks for the bucket before the others have heard of that. They still ask
// here.
func TestBucketStaysUntilTheNewOwnerIsKnown(t *testing.T) {
	owner, other := ranked()
	view := View{Daemons: 2, Members: []Member{{Instance: owner, Reachable: true, MembersUnread: true}}}
	l := New(Config{Instance: other, Params: testParams})
	l.SetLimits(0, map[string]Limit{"c": {Rate: 1, Burst: 100}})
	l.SetView(0, view)
	for now := time.Duration(0); now < time.Minute; now += 100 * ms {
		l.Tick(now)
		l.Take(now, "c", false)
	}
	request := Request{Customer: "c", Takeover: true, Tokens: 1}
	if reply, _ := l.Handle(time.Minute, owner, request); !reply.Kept {
		t.Errorf("the bucket was handed over: %+v", reply)
	}
	view.Members[0].MembersUnread = false
	l.SetView(time.Minute, view)
	if reply, _ := l.Handle(time.Minute, owner, request); reply.Kept {
		t.Errorf("the bucket was kept: %+v", reply)
	}
	if d := l.Take(time.Minute, "c", false); d.Action == Admit {
		t.Errorf("a second bucket: %+v", d)
	}
}

// knownTo reports whether a daemon knows another one.
func (m *mesh) knownTo(n, other *node) bool { return m.table == nil || n.known[other.index] }

// knownDaemons returns the number of daemons that a daemon knows, itself included.
func (m *mesh) knownDaemons(n *node) int {
	if m.table == nil {
		return len(m.nodes)
	}
	known := maps.Clone(n.known)
	known[n.index] = true
	return len(known)
}

// TestTokensBeginWhenTheEntryIsRead guards against a first bucket that is full of what has
// accrued while the daemon granted nothing. Others granted it.
func TestTokensBeginWhenTheEntryIsRead(t *testing.T) {
	l := New(Config{Instance: "a", Params: testParams})
	l.SetLimits(0, map[string]Limit{"c": {Rate: 10, Burst: 100}})
	view := View{Daemons: 1, MembersUnread: true}
	l.SetView(0, view)
	for now := time.Duration(0); now < time.Minute; now += 100 * ms {
		l.Tick(now)
	}
	view.MembersUnread = false
	l.SetView(time.Minute, view)
	admitted := 0
	for range 50 {
		if l.Take(time.Minute, "c", false).Action == Admit {
			admitted++
		}
	}
	if start := int(startSlack * testParams.Slack); admitted != start {
		t.Errorf("%d requests admitted at once, want %d", admitted, start)
	}
}
