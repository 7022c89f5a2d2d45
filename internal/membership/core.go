package membership

import (
	"math/rand/v2"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

const (
	// pauseGap is the time between two ticks from which the process counts as
	// having stood still.
	pauseGap = 3 * time.Second
	// tickGap is the longest time between two ticks that counts in full
	// against others; what is more is this daemon's own lateness.
	tickGap = 250 * time.Millisecond
)

// Core is the reducer of the member table. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	moment  step.Moment
	random  *rand.Rand
	source  *rand.PCG
	effects []step.Effect

	table    *table
	lastTick time.Duration
	// announced is the table version that TableChanged was last sent for.
	announced uint64
	leaving   bool
	left      bool

	upstream  upstream
	prober    prober
	suspects  map[string]*suspicion
	gossip    gossip
	urgent    urgent
	delegates delegates
	exchanges exchanges
	contacts  contacts
	reports   reports
	drops     drops
}

// New returns a Core that knows only its own instance.
func New(cfg Config, moment step.Moment) *Core {
	source := rand.NewPCG(moment.Random, cfg.Incarnation)
	c := &Core{
		cfg:      cfg.withDefaults(),
		moment:   moment,
		source:   source,
		random:   rand.New(source),
		table:    newTable(),
		lastTick: moment.Now,
		suspects: map[string]*suspicion{},
	}
	c.prober.init()
	c.gossip.init()
	c.urgent.init(c.cfg)
	c.exchanges.init(c.cfg)
	c.contacts.init(c)
	c.reports.init()
	c.drops.init()
	c.putSelf(Record{
		Instance:    cfg.Instance,
		Incarnation: cfg.Incarnation,
		Sequence:    1,
		DataCentre:  cfg.DataCentre,
		Address:     cfg.Address,
		Liveness:    Alive,
	})
	c.scheduleStart()
	return c
}

// scheduleStart spreads the periodic work of daemons that start together.
func (c *Core) scheduleStart() {
	now := c.now()
	c.prober.next = now + c.jitter(c.cfg.ProbeInterval)
	c.exchanges.nextLocal = now + c.around(firstLocalExchange)
	c.exchanges.nextRemote = now + c.jitter(c.cfg.ExchangeInterval)
	c.prober.nextDead = now + c.jitter(c.cfg.DeadRetry)
	c.reports.nextRefresh = now + c.jitter(c.cfg.ReportRefresh)
}

// Step takes one event and returns the effects to be carried out, in order.
func (c *Core) Step(moment step.Moment, event step.Event) []step.Effect {
	c.moment = moment
	c.source.Seed(moment.Random, c.cfg.Incarnation)
	c.effects = nil
	c.handle(event)
	if c.announced != c.table.version {
		c.announced = c.table.version
		c.emit(TableChanged{})
	}
	return c.effects
}

func (c *Core) handle(event step.Event) {
	switch e := event.(type) {
	case step.Tick:
		c.tick()
	case step.Paused:
		c.paused()
	case PacketReceived:
		c.receive(e)
	case PacketRefused:
		c.drop(e.From, e.Err)
	case UpstreamAnnounced:
		c.upstreamAnnounced(e)
	case AppliedChanged:
		c.appliedChanged(e.Config)
	case RefusedChanged:
		c.refusedChanged(e.Refusal)
	case SpreadFingerprints:
		c.spreadFingerprints(e)
	case LeaveRequested:
		c.leaveRequested()
	case LeaveFinished:
		c.leaveFinished()
	case ReportsWanted:
		c.reportsWanted()
	case ExchangeRequested:
		c.serveExchange(e)
	case ExchangeAnswered:
		c.exchangeAnswered(e)
	case ContactsRead:
		c.contactsRead(e)
	case ContactWritten:
		c.contactWritten(e)
	}
}

func (c *Core) tick() {
	gap := c.now() - c.lastTick
	c.lastTick = c.now()
	if gap > pauseGap {
		c.paused()
	} else if gap > tickGap {
		c.excuse(gap - tickGap)
	}
	if c.left {
		return
	}
	c.upstreamTick()
	c.probeTick()
	c.suspicionTick()
	c.exchangeTick()
	c.contactTick()
	c.reportTick()
	c.urgentTick()
	c.retentionTick()
}

// excuse gives others the time that this daemon was late itself: answers may
// wait in its own queue.
func (c *Core) excuse(late time.Duration) {
	c.prober.next += late
	if c.prober.probe != nil {
		c.prober.probe.started += late
	}
	for _, s := range c.suspects {
		s.deadline += late
	}
}

// paused drops every belief that rests on time having been observed.
func (c *Core) paused() {
	c.lastTick = c.now()
	c.prober.forget(c.now() + c.jitter(c.cfg.ProbeInterval))
	c.dropSuspicions()
	c.upstreamPaused()
	c.exchanges.afterPause(c.now())
}

// Self returns this instance's own record.
func (c *Core) Self() Record {
	return c.table.entries[c.cfg.Instance].Record
}

// Records returns all records, this instance's own included, in order of
// instance id. The slice is shared and must not be changed.
func (c *Core) Records() []Record {
	return c.table.records()
}

// Lookup returns the record of an instance.
func (c *Core) Lookup(instance string) (Record, bool) {
	e := c.table.entries[instance]
	if e == nil {
		return Record{}, false
	}
	return e.Record, true
}

// Packet returns a packet with this daemon's header and waiting updates; the
// caller sets its body and sends it with SendPacket.
func (c *Core) Packet() *peerv1.Packet {
	packet := c.header()
	c.fill(packet)
	return packet
}

func (c *Core) header() *peerv1.Packet {
	c.prober.seq++
	return &peerv1.Packet{
		Mesh:        c.cfg.Mesh,
		From:        c.cfg.Instance,
		Incarnation: c.Self().Incarnation,
		Applied:     ConfigIDOf(c.reports.applied),
		Refused:     c.reports.refused,
		Seq:         c.prober.seq,
	}
}

func (c *Core) now() time.Duration { return c.moment.Now }

// jitter draws a duration between 0 and bound.
func (c *Core) jitter(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(bound)))
}

// around draws a duration between half and one and a half of mean.
func (c *Core) around(mean time.Duration) time.Duration {
	return mean/2 + c.jitter(mean)
}

func (c *Core) emit(effect step.Effect) {
	c.effects = append(c.effects, effect)
}

func (c *Core) send(address string, packet *peerv1.Packet) {
	c.emit(SendPacket{Address: address, Packet: packet})
}

// peers returns the other living instances of this data centre, shuffled.
func (c *Core) peers() []string {
	living := c.table.alive(c.cfg.DataCentre)
	others := make([]string, 0, len(living))
	for _, instance := range living {
		if instance != c.cfg.Instance {
			others = append(others, instance)
		}
	}
	c.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

func (c *Core) addressOf(instance string) string {
	return c.table.entries[instance].Address
}

// ahead reports a configuration that this daemon does not have in force.
func (c *Core) ahead(instance, address string, id manifest.ID) {
	own := c.reports.applied
	if id.Version > own.Version || id.Version == own.Version && id != own {
		c.emit(PeerAhead{Instance: instance, Address: address, Config: id})
	}
}
