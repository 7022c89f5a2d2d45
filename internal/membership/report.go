package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/manifest"
	"godwitmount/internal/rendezvous"
)

const (
	// PollersPerDataCentre is how many instances poll the platform and gather
	// the reports of their data centre.
	PollersPerDataCentre = 2
	// reportRepeat is the first wait before a report is sent again; it
	// doubles.
	reportRepeat = 300 * time.Millisecond
	// maxReportSends bounds how often one report is sent to one poller.
	maxReportSends = 6
	// reportsWantedInterval is the least time between two rounds of asking
	// for reports.
	reportsWantedInterval = 500 * time.Millisecond
	// maxBehind bounds the instances a report names as behind.
	maxBehind = 16
)

// PollersOf returns which of the living instances of a data centre poll the
// platform for it.
func PollersOf(dataCentre string, instances []string) []string {
	return rendezvous.Top("pollers/"+dataCentre, instances, PollersPerDataCentre)
}

// heardConfig is what an instance was last heard to have in force.
type heardConfig struct {
	Applied
	refusal *peerv1.Refusal
	at      time.Duration
}

// reportSend is a report on its way to one poller.
type reportSend struct {
	seq   uint64
	sends int
	due   time.Duration
}

// reports holds what is known of the versions in force.
type reports struct {
	applied manifest.ID
	refused *peerv1.Refusal
	heard   map[string]*heardConfig
	// floors is the newest version heard of from each address.
	floors map[string]manifest.ID
	// others are the newest reports of the other data centres, or of this one
	// while another instance gathers it.
	others map[string]*peerv1.DataCentreReport

	sends       map[string]*reportSend
	pollers     []string
	nextRefresh time.Duration
	nextWanted  time.Duration
}

func (r *reports) init() {
	r.heard = map[string]*heardConfig{}
	r.floors = map[string]manifest.ID{}
	r.others = map[string]*peerv1.DataCentreReport{}
	r.sends = map[string]*reportSend{}
}

// Pollers returns which living instances of this data centre poll the
// platform. The slice is shared and must not be changed.
func (c *Core) Pollers() []string {
	return c.ranked().pollers
}

func (c *Core) isPoller() bool {
	return slices.Contains(c.Pollers(), c.cfg.Instance)
}

// AppliedOf returns the newest configuration an instance was heard to have in
// force, in this or an earlier incarnation; the zero value when unknown.
func (c *Core) AppliedOf(instance string) Applied {
	if heard := c.reports.heard[instance]; heard != nil {
		return heard.Applied
	}
	return Applied{Instance: instance}
}

// FloorAt returns the newest configuration heard of from any instance at an
// address.
func (c *Core) FloorAt(address string) manifest.ID {
	return c.reports.floors[address]
}

// heardApplied remembers what a sender has in force; it never goes back.
func (c *Core) heardApplied(instance string, incarnation uint64, applied *peerv1.ConfigID, refusal *peerv1.Refusal) {
	e := c.table.entries[instance]
	if e == nil {
		return
	}
	heard := c.reports.heard[instance]
	if heard == nil {
		heard = &heardConfig{Applied: Applied{Instance: instance}}
		c.reports.heard[instance] = heard
	}
	heard.at = c.now()
	heard.refusal = refusal
	heard.Incarnation = incarnation
	id := IDOf(applied)
	if id.Version > heard.Config.Version {
		heard.Config = id
	}
	if id.Version > c.reports.floors[e.Address].Version {
		c.reports.floors[e.Address] = id
	}
}

// forgetApplied drops what was remembered of a forgotten instance.
func (c *Core) forgetApplied(instance, address string) {
	delete(c.reports.heard, instance)
	if c.table.at(address) == nil {
		delete(c.reports.floors, address)
	}
}

func (c *Core) appliedChanged(id manifest.ID) {
	if id == c.reports.applied {
		return
	}
	c.reports.applied = id
	c.reportAnew()
}

func (c *Core) refusedChanged(refusal *peerv1.Refusal) {
	if refusal != nil && len(refusal.GetDetail()) > maxDetailBytes {
		refusal = proto.Clone(refusal).(*peerv1.Refusal)
		refusal.Detail = strings.ToValidUTF8(refusal.GetDetail()[:maxDetailBytes], "")
	}
	c.reports.refused = refusal
	c.reportAnew()
}

// reportAnew tells the pollers what this daemon has in force.
func (c *Core) reportAnew() {
	c.reports.nextRefresh = c.now() + c.around(c.cfg.ReportRefresh)
	c.reports.sends = map[string]*reportSend{}
	for _, poller := range c.reports.pollers {
		if poller != c.cfg.Instance {
			c.reports.sends[poller] = &reportSend{due: c.now()}
		}
	}
}

func (c *Core) reportTick() {
	r := &c.reports
	if pollers := c.Pollers(); !slices.Equal(pollers, r.pollers) {
		r.pollers = pollers
		c.reportAnew()
	}
	if c.now() >= r.nextRefresh {
		c.reportAnew()
	}
	for _, poller := range slices.Sorted(maps.Keys(r.sends)) {
		c.sendReport(poller, r.sends[poller])
	}
}

func (c *Core) sendReport(poller string, s *reportSend) {
	if c.now() < s.due {
		return
	}
	e := c.table.entries[poller]
	if s.sends == maxReportSends || e == nil {
		delete(c.reports.sends, poller)
		return
	}
	packet := c.header()
	packet.Body = &peerv1.Packet_AppliedReport{AppliedReport: &peerv1.AppliedReport{}}
	s.seq = packet.GetSeq()
	s.due = c.now() + reportRepeat<<s.sends
	s.sends++
	c.send(e.Address, packet)
}

// reportAcked ends the sending of a report that a poller has.
func (c *Core) reportAcked(poller string, seq uint64) bool {
	s := c.reports.sends[poller]
	if s == nil || s.seq != seq {
		return false
	}
	delete(c.reports.sends, poller)
	return true
}

// reportsWanted asks one polling daemon of each data centre.
func (c *Core) reportsWanted() {
	if c.now() < c.reports.nextWanted {
		return
	}
	c.reports.nextWanted = c.now() + reportsWantedInterval
	for _, dataCentre := range c.table.dataCentres() {
		c.exchangeWithPoller(dataCentre)
	}
}

func (c *Core) exchangeWithPoller(dataCentre string) {
	pollers := PollersOf(dataCentre, c.table.alive(dataCentre))
	if len(pollers) == 0 || slices.Contains(pollers, c.cfg.Instance) {
		return
	}
	target := pollers[c.random.IntN(len(pollers))]
	scope := []string{c.cfg.DataCentre, dataCentre}
	c.startExchange(c.addressOf(target), dataCentre, scope)
}

// Reports returns the newest report of each data centre, in order of name.
func (c *Core) Reports() []*peerv1.DataCentreReport {
	return c.reportsFor(nil)
}

// reportsFor returns the reports of the named data centres, or all.
func (c *Core) reportsFor(scope []string) []*peerv1.DataCentreReport {
	byName := maps.Clone(c.reports.others)
	own := c.cfg.DataCentre
	if byName[own] == nil || c.isPoller() {
		byName[own] = c.ownReport()
	}
	var chosen []*peerv1.DataCentreReport
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		if len(scope) == 0 || slices.Contains(scope, name) {
			chosen = append(chosen, byName[name])
		}
	}
	return chosen
}

// mergeReports keeps the newest report of each data centre.
func (c *Core) mergeReports(incoming []*peerv1.DataCentreReport) {
	for _, report := range incoming {
		name := report.GetDataCentre()
		known := c.reports.others[name]
		if known != nil && known.GetWritten() >= report.GetWritten() {
			continue
		}
		if known == nil && len(c.reports.others) >= maxDataCentres {
			continue
		}
		c.reports.others[name] = report
		age := max(0, c.moment.Wall.Sub(time.UnixMilli(report.GetWritten())))
		c.hearAt(name, c.now()-age)
	}
}

// maxDataCentres bounds the data centres whose reports are kept.
const maxDataCentres = 256

// ownReport sums up what this daemon heard in its data centre.
func (c *Core) ownReport() *peerv1.DataCentreReport {
	tally := reportTally{counts: map[manifest.ID]uint32{}}
	instances := c.table.alive(c.cfg.DataCentre)
	for _, instance := range instances {
		if instance == c.cfg.Instance {
			tally.add(instance, c.reports.applied, c.reports.refused, 0)
			continue
		}
		heard := c.reports.heard[instance]
		if heard == nil {
			heard = &heardConfig{at: 0}
		}
		tally.add(instance, heard.Config, heard.refusal, c.now()-heard.at)
	}
	return tally.report(c.cfg.DataCentre, c.moment.Wall, len(instances))
}

// reportTally gathers the versions in force in one data centre.
type reportTally struct {
	counts   map[manifest.ID]uint32
	applied  []Applied
	refusals []*peerv1.InstanceRefusal
	oldest   time.Duration
}

func (t *reportTally) add(instance string, id manifest.ID, refusal *peerv1.Refusal, age time.Duration) {
	t.counts[id]++
	t.applied = append(t.applied, Applied{Instance: instance, Config: id})
	t.oldest = max(t.oldest, age)
	if refusal != nil && len(t.refusals) < maxBehind {
		t.refusals = append(t.refusals, &peerv1.InstanceRefusal{Instance: instance, Refusal: refusal})
	}
}

func (t *reportTally) report(dataCentre string, wall time.Time, daemons int) *peerv1.DataCentreReport {
	report := &peerv1.DataCentreReport{
		DataCentre:     dataCentre,
		Written:        wall.UnixMilli(),
		Refusals:       t.refusals,
		OldestReportMs: t.oldest.Milliseconds(),
		Daemons:        uint32(daemons),
	}
	ids := slices.SortedFunc(maps.Keys(t.counts), newestFirst)
	for _, id := range ids {
		report.Versions = append(report.Versions, &peerv1.VersionCount{Id: ConfigIDOf(id), Daemons: t.counts[id]})
	}
	for _, a := range t.applied {
		if a.Config != ids[0] && len(report.Behind) < maxBehind {
			report.Behind = append(report.Behind, a.Instance)
		}
	}
	return report
}

func newestFirst(a, b manifest.ID) int {
	if a.Version != b.Version {
		return cmp.Compare(b.Version, a.Version)
	}
	return strings.Compare(a.Digest.String(), b.Digest.String())
}
