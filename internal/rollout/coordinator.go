package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

const (
	// moveShare is the earliest move of all requests to the new version, as a share of
	// the period. moveTime is the time before the end of the period that the move, the
	// last requests of old upstreams and the writes need; the move begins no earlier.
	moveShare = 0.5
	moveTime  = 6 * time.Second
	// patience is how much longer, as a share of the period, the move waits for
	// evidence that excludes faults on rare routes.
	patience = 0.1
	// lastMoveShare is the share of moveTime before the end of the period at which the move
	// begins even if the evidence is small.
	lastMoveShare = 0.6
	// stepShareOfPeriod and maxStep bound the time between two steps. Two steps of
	// 0.8 s use 0.6 s of all requests, the exposure of the 6 s left.
	stepShareOfPeriod = 1.0 / 15
	maxStep           = 800 * time.Millisecond
	// judgeInterval is the time between two verdicts, evidenceInterval that between two
	// log lines about the evidence.
	judgeInterval    = 300 * time.Millisecond
	evidenceInterval = time.Second
	// minCapacity is the number of slots of the new version, as a share of that of the
	// old one, from which it can take all requests.
	minCapacity = 0.7
	// soleWait is how long a rollout waits to learn of an upstream of another version
	// before it concludes that there is none.
	soleWait = 2 * time.Second
	// suspicionShare is the share of Config.Rollback after which a version is reverted
	// that has had a score of lastingScore all the time. It is longer than the recent
	// times that are judged, so that a chance result has left them. With few requests a
	// chance result stays in the whole time, so that the score must be well above
	// suspectScore.
	suspicionShare = 0.85
	lastingScore   = 6
	// freshReport is the age up to which a report counts as the present state. Reports
	// are repeated after keepAliveInterval.
	freshReport = 3 * time.Second
	// rowsInterval is the time between two reads of the store's rows, writeDelay that
	// after a failed write, and staleDelay that after a write that failed because the
	// request had been replaced.
	rowsInterval = 500 * time.Millisecond
	writeDelay   = 100 * time.Millisecond
	staleDelay   = time.Second
)

// coordination is the state that only the coordinator uses.
type coordination struct {
	// on is set while this daemon is the coordinator.
	on bool
	// rowsKnown is set while the versions of the store's rows are known: status and
	// phase. saved is the phase row's content.
	rowsKnown     bool
	statusVersion uint64
	phaseVersion  uint64
	saved         Saved
	// writing is set while a write has no result, nextWrite the time of the next one.
	writing   bool
	nextWrite time.Duration
	// completing is set from a write of the completion until its outcome is known.
	completing bool

	// suspectSince is when the version came under suspicion; 0 if it is under none.
	suspectSince time.Duration
	verdict      Verdict
	judgedAt     time.Duration
	evidenceAt   time.Duration
	waitingAt    time.Duration
	// waiting says what the next phase waits for.
	waiting string
}

// carryOver returns the part that stays when the request is replaced.
func (c coordination) carryOver() coordination {
	return coordination{on: c.on, nextWrite: c.nextWrite, writing: c.writing}
}

// rowsUnknown makes the coordinator read the store's rows before the next write.
func (c *Core) rowsUnknown(s *service) { s.rowsKnown = false }

// readRows requests the store's rows, at most each rowsInterval.
func (c *Core) readRows() {
	if c.rowsReadAt > 0 && c.now-c.rowsReadAt < rowsInterval {
		return
	}
	c.rowsReadAt = max(c.now, 1)
	c.emit(ReadRows{})
}

// applyRows applies the store's rows about rollouts.
func (c *Core) applyRows(ev RowsRead) {
	if ev.Err != nil {
		return
	}
	for name, s := range c.services {
		s.rowsKnown = true
		s.statusVersion = ev.Statuses[name].Version
		s.phaseVersion = ev.Phases[name].Version
		c.adoptSaved(s, ev.Phases[name].Saved)
		s.unresolved = false
		if !s.writing {
			s.completing = false
		}
	}
}

// adoptSaved applies the content of the phase row. If it is that of an earlier
// rollout that was not completed, its version gets no more requests.
func (c *Core) adoptSaved(s *service, saved Saved) {
	s.saved = saved
	phase, ok := ParsePhase(saved.Phase)
	if !ok {
		return
	}
	p := Progress{
		Request: Request{Service: s.Service, To: saved.To, Period: s.Period, Position: saved.storePosition()},
		From:    saved.From, Denied: saved.Denied, Phase: phase, Reason: saved.Reason,
	}
	switch {
	case s.isSaved():
		p.Position = s.Position
		c.applyProgress(p, "store")
	case s.Position.After(p.Position) && s.Phase.Active():
		begun := Begin(s.Request, p)
		begun.Position = s.Position
		if p.To != s.To {
			c.applyProgress(begun, "store")
		}
	}
}

// isSaved reports whether the phase row is that of this rollout. After the store has
// come back from an older copy, the request's row has another era.
func (s *service) isSaved() bool {
	return s.saved.To == s.To && s.saved.Version == s.Position.Version
}

// coordinators returns the daemons of the service that this one reaches, itself
// included if it is one, in the order in which they coordinate.
func (c *Core) coordinators(s *service) []string {
	type candidate struct {
		instance string
		rank     uint64
		noStore  bool
	}
	var all []candidate
	if c.ownService() == s.Service {
		all = append(all, candidate{c.cfg.Instance, Rank(c.cfg.Instance), c.storeUnavailable})
	}
	for instance, p := range c.peers {
		if p.member && p.reachable && p.service() == s.Service {
			all = append(all, candidate{instance, p.rank, p.state.StoreUnavailable})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.noStore != b.noStore {
			if a.noStore {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.rank, b.rank)
	})
	instances := make([]string, len(all))
	for i, one := range all {
		instances[i] = one.instance
	}
	return instances
}

// coordinate makes the decisions of the coordinator, if this daemon is it.
func (c *Core) coordinate(s *service) {
	all := c.coordinators(s)
	on := len(all) > 0 && all[0] == c.cfg.Instance
	if on != s.on {
		s.on = on
		if s.Phase.Active() {
			c.log(event.RolloutCoordinator, false, step.F("service", s.Service), step.F("on", on))
		}
	}
	if !on {
		s.verdict, s.waiting = Verdict{}, ""
		return
	}
	if s.unresolved {
		return
	}
	c.judge(s)
	c.decide(s)
	c.write(s)
	c.logWaiting(s)
}

// logWaiting logs what the next phase waits for, at most each evidenceInterval, once
// it waits for something else than time.
func (c *Core) logWaiting(s *service) {
	overdue := c.now-s.knownAt >= moveAt(s.Period)
	missing := s.Phase == Trial && c.now-s.knownAt >= soleWait && (len(s.From) == 0 || !c.hasMemberOf(s, s.To))
	if s.waiting == "" || !overdue && !missing || c.now-s.waitingAt < evidenceInterval {
		return
	}
	s.waitingAt = c.now
	c.log(event.RolloutWaiting, false, step.F("service", s.Service), step.F("phase", s.Phase), step.F("for", s.waiting))
}

// judge compares the versions at most each judgeInterval.
func (c *Core) judge(s *service) {
	if !s.Phase.Active() || c.now-s.judgedAt < judgeInterval {
		return
	}
	s.judgedAt = c.now
	windows := make([]Evidence, 0, 3)
	for _, length := range []time.Duration{0, longWindow, shortWindow} {
		windows = append(windows, c.evidence(s, length))
	}
	s.verdict = Judge(windows)
	if c.now-s.evidenceAt >= evidenceInterval {
		s.evidenceAt = c.now
		c.logEvidence(s)
	}
}

func (c *Core) logEvidence(s *service) {
	v := &s.verdict
	c.log(event.RolloutEvidence, false, step.F("service", s.Service), step.F("phase", s.Phase), step.F("answers", v.Answers),
		step.F("failures", v.Failures), step.F("score", fmt.Sprintf("%.1f", v.Score)), step.F("good", v.Good), step.F("reason", v.Reason))
}

// evidence returns the samples of both versions of a recent time, or of the whole time
// for 0. Upstreams of the new version that have not reported have empty samples.
func (c *Core) evidence(s *service, length time.Duration) Evidence {
	var e Evidence
	instances := make([]string, 0, len(s.history))
	for instance := range s.history {
		instances = append(instances, instance)
	}
	slices.Sort(instances)
	for _, instance := range instances {
		h := s.history[instance]
		sample := Sample(h.window(c.now, length))
		if h.latest.Version == s.To {
			e.New = append(e.New, sample)
			continue
		}
		e.Old = append(e.Old, sample)
	}
	for instance, p := range c.peers {
		if p.state.Service == s.Service && p.state.Version == s.To && s.history[instance] == nil {
			e.New = append(e.New, nil)
		}
	}
	return e
}

// decide enters the next phase if its conditions hold.
func (c *Core) decide(s *service) {
	s.waiting = ""
	if !s.Phase.Active() {
		return
	}
	if (s.verdict.Bad || c.suspectTooLong(s)) && !s.completing {
		c.logEvidence(s)
		c.enter(s, Reverted, s.verdict.Reason, c.cfg.Instance)
		return
	}
	switch s.Phase {
	case Trial:
		c.decideMove(s)
	case StepOne:
		if c.stepDone(s) {
			c.enter(s, StepTwo, "no fault found", c.cfg.Instance)
		}
	}
}

// suspectTooLong reports whether the version has been under suspicion for so long that
// a decision must not wait for more evidence.
func (c *Core) suspectTooLong(s *service) bool {
	if s.verdict.Score < lastingScore {
		s.suspectSince = 0
		return false
	}
	if s.suspectSince == 0 {
		s.suspectSince = c.now
	}
	return c.now-s.suspectSince >= time.Duration(suspicionShare*float64(c.cfg.Rollback))
}

// moveAt returns the time since the request at which the move begins.
func moveAt(period time.Duration) time.Duration {
	return max(time.Duration(moveShare*float64(period)), period-moveTime)
}

// decideMove begins the move if it is time, the evidence is good, the new upstreams can
// take the requests and the store answers.
func (c *Core) decideMove(s *service) {
	newSlots, oldSlots := c.slots(s)
	age, begin := c.now-s.knownAt, moveAt(s.Period)
	enough := s.enough(age, begin)
	switch {
	case len(s.From) == 0:
		s.waiting = "no upstream has another version"
	case newSlots == 0:
		s.waiting = "no upstream of version " + s.To
	case age < begin:
		s.waiting = "time of the move"
	case s.verdict.Suspect:
		s.waiting = s.verdict.Reason
	case !enough:
		s.waiting = s.verdict.Reason
	case float64(newSlots) < minCapacity*float64(oldSlots):
		s.waiting = fmt.Sprintf("%d slots of the new version, %d of the old", newSlots, oldSlots)
	case c.storeUnavailable || !s.savedAs(Trial):
		s.waiting = "the store"
	default:
		c.logEvidence(s)
		c.enter(s, StepOne, s.verdict.Reason, c.cfg.Instance)
	}
}

// enough reports whether the evidence allows the move at an age. Later, less of it is
// asked for: first not that faults on rare routes are excluded, and shortly before it
// would be too late for the period only some answers.
func (s *service) enough(age, begin time.Duration) bool {
	v := &s.verdict
	fair := begin + time.Duration(patience*float64(s.Period))
	last := max(fair, s.Period-time.Duration(lastMoveShare*float64(moveTime)))
	return v.Good || v.Fair && age >= fair || v.Answers >= minAnswers && age >= last
}

// stepDone reports whether the present step may be followed by the next one.
func (c *Core) stepDone(s *service) bool {
	length := min(time.Duration(stepShareOfPeriod*float64(s.Period)), maxStep)
	switch {
	case c.now-s.phaseAt < length:
		s.waiting = "end of the step"
	case s.verdict.Suspect:
		s.waiting = s.verdict.Reason
	case c.storeUnavailable:
		s.waiting = "the store"
	default:
		return true
	}
	return false
}

// slots returns the numbers of slots of available upstreams by version.
func (c *Core) slots(s *service) (newSlots, oldSlots int) {
	for instance, h := range s.history {
		if !h.latest.TakesWork || c.now-h.at > freshReport || !c.reaches(instance) {
			continue
		}
		if h.latest.Version == s.To {
			newSlots += h.latest.Slots
			continue
		}
		oldSlots += h.latest.Slots
	}
	return newSlots, oldSlots
}

// reaches reports whether a daemon is this one or reachable.
func (c *Core) reaches(instance string) bool {
	p := c.peers[instance]
	return instance == c.cfg.Instance || p != nil && p.reachable
}

// savedAs reports whether the store has the rollout in the phase or a later one.
func (s *service) savedAs(phase Phase) bool {
	saved, ok := ParsePhase(s.saved.Phase)
	return ok && s.rowsKnown && s.isSaved() && saved >= phase
}

// wanted returns the phase that the store is to have.
func (c *Core) wanted(s *service) (phase Phase, reason string) {
	switch {
	case s.Phase == Trial && len(s.From) == 0 && c.hasMemberOf(s, s.To) && c.now-s.knownAt >= soleWait && c.versionsKnown(s):
		return Full, "no upstream has another version"
	case s.Phase == StepTwo && c.stepDone(s):
		return Full, "no fault found"
	case s.Phase == Full && s.savedAs(Full) && c.drained(s):
		return Completed, "all old upstreams are closed and idle"
	case s.Phase >= Full:
		return s.Phase, s.Reason
	default:
		return Trial, s.Reason
	}
}

// versionsKnown reports whether all reachable members of the service have said which
// version their upstreams have.
func (c *Core) versionsKnown(s *service) bool {
	for _, p := range c.peers {
		if p.member && p.reachable && p.service() == s.Service && p.state.Version == "" {
			return false
		}
	}
	return true
}

// hasMemberOf reports whether an upstream of the version is known.
func (c *Core) hasMemberOf(s *service, version string) bool {
	if c.upstream.Service == s.Service && c.upstream.Version == version {
		return true
	}
	for _, p := range c.peers {
		if p.state.Service == s.Service && p.state.Version == version {
			return true
		}
	}
	return false
}

// drained reports whether no old upstream has a request or can get one. Otherwise it
// sets what this waits for.
func (c *Core) drained(s *service) bool {
	if own := s.history[c.cfg.Instance]; c.ownService() == s.Service && (own == nil || !own.confirms(s)) {
		s.waiting = "requests of " + c.cfg.Instance
		return false
	}
	left, first := 0, ""
	for instance, p := range c.peers {
		if !p.member || p.service() != s.Service || p.state.Version == s.To || c.gone(s, p) {
			continue
		}
		h := s.history[instance]
		if h != nil && p.reachable && c.now-h.at <= freshReport && h.confirms(s) {
			continue
		}
		left++
		if first == "" || instance < first {
			first = instance
		}
	}
	if left > 0 {
		s.waiting = fmt.Sprintf("%d old upstreams, %s among them", left, first)
	}
	return left == 0
}

// confirms reports whether the upstream has the new version or is closed and idle.
func (h *history) confirms(s *service) bool {
	r := &h.latest
	return r.Version == s.To || r.Position == s.Position && r.Phase == Full && r.Drained
}

// gone reports whether a member of the service is unreachable from this daemon and from
// all daemons of its data centre that report, of which there must be one.
func (c *Core) gone(s *service, p *peer) bool {
	if p.reachable || c.now-p.unreachableSince < goneAfter {
		return false
	}
	witnesses := 0
	for instance, h := range s.history {
		witness := c.peers[instance]
		local := instance == c.cfg.Instance && c.cfg.DataCentre == p.DataCentre ||
			witness != nil && witness.reachable && witness.DataCentre == p.DataCentre
		if !local || c.now-h.at > freshReport {
			continue
		}
		if !slices.Contains(h.latest.Unreachable, p.Instance) {
			return false
		}
		witnesses++
	}
	return witnesses > 0
}

// write writes the rollout's phase to the store if that has another one.
func (c *Core) write(s *service) {
	if s.writing || c.storeUnavailable || c.now < s.nextWrite {
		return
	}
	phase, reason := c.wanted(s)
	if s.savedAs(phase) {
		return
	}
	if !s.rowsKnown {
		c.readRows()
		return
	}
	s.writing = true
	s.completing = s.completing || phase == Completed
	saved := Saved{
		Era: uint64(s.Position.Era), Version: s.Position.Version, To: s.To, From: s.From, Denied: s.Denied,
		Phase: phase.String(), Reason: reason,
	}
	c.emit(Write{Request: s.Request, StatusVersion: s.statusVersion, PhaseVersion: s.phaseVersion, Saved: saved})
}

// applyWrite applies the result of a write.
func (c *Core) applyWrite(ev WriteDone) {
	s := c.services[ev.Service]
	if s == nil {
		return
	}
	s.writing = false
	c.log(event.RolloutWritten, ev.Err != nil, step.F("service", ev.Service), step.F("phase", ev.Phase), step.F("error", ev.Err))
	if s.Position != ev.Position {
		c.rowsUnknown(s)
		return
	}
	switch {
	case ev.Err == nil:
		s.completing = false
		s.statusVersion, s.phaseVersion = ev.Version, ev.Version
		s.saved.Version, s.saved.To, s.saved.Phase = s.Position.Version, s.To, ev.Phase.String()
		c.written(s, ev.Phase)
	case errors.Is(ev.Err, store.ErrConflict):
		c.applyConflict(s, ev.Current)
	default:
		c.rowsUnknown(s)
		s.nextWrite = c.now + writeDelay
		// If the store does not answer this read either, another daemon coordinates.
		c.emit(ReadRequests{})
	}
}

// written enters a phase that the store has accepted.
func (c *Core) written(s *service, phase Phase) {
	if phase <= s.Phase || phase < Full {
		return
	}
	reason := "all old upstreams are closed and idle"
	if phase == Full {
		reason = "no fault found"
	}
	c.enter(s, phase, reason, c.cfg.Instance)
}

// applyConflict applies the rows that have other versions than a write expected.
func (c *Core) applyConflict(s *service, current Current) {
	s.completing = false
	if current.Request != nil && *current.Request != s.Position.Version {
		// The request was replaced, or the store came back from an older copy.
		c.emit(ReadRequests{})
		s.nextWrite = c.now + staleDelay
	}
	if current.Status == nil && current.Phase == nil {
		c.rowsUnknown(s)
		return
	}
	if current.Status != nil {
		s.statusVersion = current.Status.Version
	}
	if current.Phase != nil {
		s.phaseVersion = current.Phase.Version
		c.adoptSaved(s, current.Phase.Saved)
	}
}

// summary returns what operators see of a rollout.
func (c *Core) summary(s *service) Summary {
	summary := Summary{Verdict: s.verdict, Waiting: s.waiting, Elapsed: max(c.now-s.knownAt, 0)}
	if all := c.coordinators(s); len(all) > 0 && s.Phase.Active() {
		summary.Coordinator = all[0]
	}
	return summary
}

// summaryKey returns the parts of the summary whose change is published.
func (s *service) summaryKey() string {
	return fmt.Sprintf("%t %s %d %d", s.on, s.waiting, s.verdict.Answers, s.verdict.Failures)
}
