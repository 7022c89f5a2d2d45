package membership

import (
	"maps"
	"slices"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
)

const (
	// maxLocalHealth bounds the local health score. Each point lengthens
	// this daemon's own timeouts by one base timeout.
	maxLocalHealth = 8
	// maxRelays bounds the probes made for others at a time.
	maxRelays = 64
	// maxVerify bounds the instances waiting to be asked whether they live.
	maxVerify = 4096
	// verifyPerTick is how many of them are asked at each tick.
	verifyPerTick = 2
	// maxPingRepeats is how often one probe's ping is sent again.
	maxPingRepeats = 2
)

// prober checks one instance of the data centre after the other.
type prober struct {
	seq   uint64
	order []string
	next  time.Duration
	// health counts how far this daemon itself is in doubt, 0 is healthy.
	health   int
	probe    *probe
	relays   map[uint64]relay
	verifies []string
	nextDead time.Duration
	// heard is when a packet of another instance last came in.
	heard time.Duration
}

// probe is the one in flight.
type probe struct {
	target   string
	seqs     []uint64
	started  time.Duration
	repeats  int
	indirect bool
	asked    int
	nacks    int
}

// relay is a probe made on behalf of another instance.
type relay struct {
	target  string
	address string
	seq     uint64
	expires time.Duration
}

func (p *prober) init() {
	p.relays = map[uint64]relay{}
}

// forget drops what was in flight, after a pause.
func (p *prober) forget(next time.Duration) {
	p.probe = nil
	p.relays = map[uint64]relay{}
	p.next = next
}

// worse lowers the trust in this daemon's own timing; negative raises it.
func (p *prober) worse(points int) {
	p.health = min(max(p.health+points, 0), maxLocalHealth)
}

// verify asks an instance soon whether it lives, and probes it next.
func (p *prober) verify(instance string) {
	if len(p.verifies) >= maxVerify || slices.Contains(p.verifies, instance) {
		return
	}
	p.verifies = append(p.verifies, instance)
	p.order = slices.DeleteFunc(p.order, func(other string) bool { return other == instance })
	p.order = slices.Insert(p.order, 0, instance)
}

// LocalHealth returns this daemon's distrust of its own timing, from 0 for
// healthy to 8.
func (c *Core) LocalHealth() int { return c.prober.health }

func (c *Core) scaled(base time.Duration) time.Duration {
	return base * time.Duration(1+c.prober.health)
}

func (c *Core) probeTick() {
	c.expireRelays()
	c.sendVerifies()
	c.retryDead()
	c.advanceProbe()
	if c.now() >= c.prober.next {
		c.finishProbe()
		c.startProbe()
	}
}

// startProbe pings the next instance in a shuffled round.
func (c *Core) startProbe() {
	c.prober.next = c.now() + c.scaled(c.cfg.ProbeInterval)
	target := c.nextTarget()
	if target == "" {
		return
	}
	c.prober.probe = &probe{target: target, started: c.now()}
	c.sendProbePing()
}

func (c *Core) nextTarget() string {
	for range 2 {
		for len(c.prober.order) > 0 {
			target := c.prober.order[0]
			c.prober.order = c.prober.order[1:]
			e := c.table.entries[target]
			if e != nil && e.living() {
				return target
			}
		}
		c.prober.order = c.peers()
	}
	return ""
}

func (c *Core) sendProbePing() {
	p := c.prober.probe
	p.seqs = append(p.seqs, c.ping(p.target, p.repeats == 0))
}

// ping sends one ping and returns its sequence number. A target in doubt is
// told so, so that it can refute. Updates go only where an answer is likely,
// as each is passed on a limited number of times.
func (c *Core) ping(target string, first bool) uint64 {
	e := c.table.entries[target]
	packet := c.header()
	packet.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{Target: target}}
	if e.Liveness != Alive {
		packet.Updates = append(packet.Updates, MemberOf(e.Record))
		packet.Address = c.cfg.Address
		packet.DataCentre = c.cfg.DataCentre
	} else if first {
		c.fill(packet)
	}
	c.send(e.Address, packet)
	return packet.GetSeq()
}

// advanceProbe repeats an unanswered ping, then asks others to try.
func (c *Core) advanceProbe() {
	p := c.prober.probe
	if p == nil || p.indirect || c.table.entries[p.target] == nil {
		return
	}
	age := c.now() - p.started
	if age >= c.scaled(c.cfg.ProbeTimeout) {
		c.probeIndirectly(p)
		return
	}
	if p.repeats < maxPingRepeats && age >= c.scaled(c.cfg.ProbeRepeat)*time.Duration(p.repeats+1) {
		p.repeats++
		c.sendProbePing()
	}
}

func (c *Core) probeIndirectly(p *probe) {
	p.indirect = true
	for _, helper := range c.peers() {
		if p.asked == c.cfg.IndirectProbes {
			return
		}
		if helper == p.target {
			continue
		}
		p.asked++
		packet := c.header()
		packet.Body = &peerv1.Packet_PingRequest{PingRequest: &peerv1.PingRequest{
			Target:  p.target,
			Address: c.addressOf(p.target),
		}}
		p.seqs = append(p.seqs, packet.GetSeq())
		c.send(c.addressOf(helper), packet)
	}
}

// finishProbe suspects the target of a probe that had no ack.
func (c *Core) finishProbe() {
	p := c.prober.probe
	c.prober.probe = nil
	if p == nil {
		return
	}
	e := c.table.entries[p.target]
	if e == nil || !e.living() {
		return
	}
	if p.asked == 0 || p.nacks < p.asked {
		c.prober.worse(1)
	}
	if e.Liveness == Alive {
		c.suspect(e.Record)
	}
}

// acked ends the probe in flight, or passes a relayed ack on.
func (c *Core) acked(from string, packet *peerv1.Packet) bool {
	if r, ok := c.prober.relays[packet.GetSeq()]; ok && r.target == from {
		delete(c.prober.relays, packet.GetSeq())
		c.answerRelay(r, true)
		return true
	}
	if c.reportAcked(from, packet.GetSeq()) {
		return true
	}
	p := c.prober.probe
	if p == nil || !p.expects(packet.GetSeq()) {
		return false
	}
	if from != p.target && !p.indirect {
		return true
	}
	c.prober.probe = nil
	c.prober.worse(-1)
	return true
}

func (p *probe) expects(seq uint64) bool {
	return slices.Contains(p.seqs, seq)
}

func (c *Core) nacked(packet *peerv1.Packet) {
	p := c.prober.probe
	if p != nil && p.expects(packet.GetSeq()) && p.nacks < p.asked {
		p.nacks++
	}
}

// relayPing probes a target for another instance.
func (c *Core) relayPing(from string, packet *peerv1.Packet) {
	request := packet.GetPingRequest()
	e := c.table.entries[request.GetTarget()]
	if e == nil || e.Instance == c.cfg.Instance || len(c.prober.relays) >= maxRelays {
		return
	}
	seq := c.ping(request.GetTarget(), false)
	c.prober.relays[seq] = relay{
		target:  request.GetTarget(),
		address: from,
		seq:     packet.GetSeq(),
		expires: c.now() + c.cfg.ProbeTimeout*4/5,
	}
}

// expireRelays tells those who asked that the target did not answer in time,
// which proves at least that this daemon is well and reachable.
func (c *Core) expireRelays() {
	for _, seq := range slices.Sorted(maps.Keys(c.prober.relays)) {
		r := c.prober.relays[seq]
		if c.now() >= r.expires {
			delete(c.prober.relays, seq)
			c.answerRelay(r, false)
		}
	}
}

func (c *Core) answerRelay(r relay, reached bool) {
	packet := c.header()
	packet.Seq = r.seq
	packet.Body = &peerv1.Packet_Nack{Nack: &peerv1.Nack{}}
	if reached {
		packet.Body = &peerv1.Packet_Ack{Ack: &peerv1.Ack{}}
	}
	c.send(r.address, packet)
}

// sendVerifies asks instances that an old table calls dead.
func (c *Core) sendVerifies() {
	for range min(verifyPerTick, len(c.prober.verifies)) {
		target := c.prober.verifies[0]
		c.prober.verifies = c.prober.verifies[1:]
		if e := c.table.entries[target]; e != nil {
			c.pingAsDead(e.Record)
		}
	}
}

// retryDead pings one instance held for dead, now and then, so that the two
// sides of a healed cut find each other.
func (c *Core) retryDead() {
	if c.now() < c.prober.nextDead {
		return
	}
	c.prober.nextDead = c.now() + c.around(c.cfg.DeadRetry)
	var dead []Record
	for _, r := range c.table.records() {
		if r.Liveness == Dead && c.isLocal(r) && c.table.at(r.Address) == nil {
			dead = append(dead, r)
		}
	}
	if len(dead) > 0 {
		c.pingAsDead(dead[c.random.IntN(len(dead))])
	}
}

// pingAsDead tells an instance that it is held for dead; if it lives it
// answers with a newer record.
func (c *Core) pingAsDead(r Record) {
	r.Liveness = Dead
	packet := c.header()
	packet.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{Target: r.Instance}}
	packet.Address = c.cfg.Address
	packet.DataCentre = c.cfg.DataCentre
	packet.Updates = []*peerv1.Member{MemberOf(r), MemberOf(c.Self())}
	c.send(r.Address, packet)
}
