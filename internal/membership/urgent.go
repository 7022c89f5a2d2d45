package membership

import (
	"slices"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
)

const (
	// urgentInterval is the time between two pushes of the same update.
	urgentInterval = 200 * time.Millisecond
	// urgentPerPacket bounds the updates in one urgent packet.
	urgentPerPacket = 8
	// ownUrgentRepeats is how often an instance pushes its own change.
	ownUrgentRepeats = 3
	// delegateUrgentRepeats is how often a delegate pushes to others.
	delegateUrgentRepeats = 2
)

// push is an urgent update still to be sent.
type push struct {
	remaining int
	due       time.Duration
}

// urgent holds the updates that do not wait for a probe.
type urgent struct {
	pushes map[string]*push
	// tokens bound the packets sent for others.
	tokens   float64
	rate     float64
	refilled time.Duration
}

func (u *urgent) init(cfg Config) {
	u.pushes = map[string]*push{}
	u.rate = cfg.UrgentRate
	u.tokens = u.burst()
}

func (u *urgent) burst() float64 { return 10 * u.rate }

func (u *urgent) add(instance string, repeats int, now time.Duration) {
	u.pushes[instance] = &push{remaining: repeats, due: now}
}

func (u *urgent) refill(now time.Duration) {
	u.tokens = min(u.burst(), u.tokens+u.rate*(now-u.refilled).Seconds())
	u.refilled = now
}

// pushIfUrgent queues a push when a record stops taking calls.
func (c *Core) pushIfUrgent(before, after Record) {
	if after.TakesCalls() || !c.stops(before, after) {
		return
	}
	switch {
	case after.Instance == c.cfg.Instance:
		c.urgent.add(after.Instance, ownUrgentRepeats, c.now())
	case after.Liveness == Dead:
		// Deaths are told by gossip and by comparing tables.
	case c.isDelegate() && c.isLocal(after):
		c.urgent.add(after.Instance, delegateUrgentRepeats, c.now())
	default:
		c.urgent.add(after.Instance, 1, c.now())
	}
}

// stops reports whether the change takes an instance or upstream away.
func (c *Core) stops(before, after Record) bool {
	if before.TakesCalls() {
		return true
	}
	return after.Leaving && !before.Leaving || after.Liveness == Left && before.Liveness != Left
}

// urgentTick sends the pushes that are due.
func (c *Core) urgentTick() {
	c.urgent.refill(c.now())
	due := c.takeDue()
	if len(due) == 0 {
		return
	}
	own := slices.Contains(due, c.cfg.Instance)
	for _, address := range c.urgentAddresses(due) {
		if !own && c.urgent.tokens < 1 {
			return
		}
		c.urgent.tokens = max(0, c.urgent.tokens-1)
		packet := c.header()
		packet.Body = &peerv1.Packet_Urgent{Urgent: &peerv1.Urgent{}}
		for _, instance := range due {
			packet.Updates = append(packet.Updates, MemberOf(c.table.entries[instance].Record))
		}
		c.send(address, packet)
	}
}

// takeDue returns the instances whose push is due, the own one first, and
// counts the push.
func (c *Core) takeDue() []string {
	var due []string
	for instance, p := range c.urgent.pushes {
		if c.table.entries[instance] == nil {
			delete(c.urgent.pushes, instance)
			continue
		}
		if c.now() >= p.due {
			due = append(due, instance)
		}
	}
	slices.SortFunc(due, c.ownFirst)
	due = due[:min(len(due), urgentPerPacket)]
	for _, instance := range due {
		p := c.urgent.pushes[instance]
		p.remaining--
		p.due = c.now() + urgentInterval
		if p.remaining <= 0 {
			delete(c.urgent.pushes, instance)
		}
	}
	return due
}

func (c *Core) ownFirst(a, b string) int {
	switch {
	case a == b:
		return 0
	case a == c.cfg.Instance:
		return -1
	case b == c.cfg.Instance:
		return 1
	case a < b:
		return -1
	}
	return 1
}

// urgentAddresses are some peers, the data centre's delegates for an own
// change, and, from a delegate, one delegate of each other data centre.
func (c *Core) urgentAddresses(due []string) []string {
	peers := c.peers()
	targets := peers[:min(len(peers), c.cfg.UrgentFanout)]
	if due[0] == c.cfg.Instance {
		targets = append(slices.Clone(targets), c.delegatesOf(c.cfg.DataCentre)...)
	}
	if c.speaksFor(peers) && c.anyLocal(due) {
		targets = append(slices.Clone(targets), c.remoteDelegates()...)
	}
	addresses := make([]string, 0, len(targets))
	for _, instance := range targets {
		address := c.addressOf(instance)
		if instance != c.cfg.Instance && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// speaksFor reports whether this daemon tells other data centres: as their
// delegate, or as the last one to go.
func (c *Core) speaksFor(peers []string) bool {
	return c.isDelegate() || len(peers) == 0
}

func (c *Core) anyLocal(instances []string) bool {
	return slices.ContainsFunc(instances, func(instance string) bool {
		return c.isLocal(c.table.entries[instance].Record)
	})
}
