package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

const (
	// moveShare is the earliest move of all requests to the new version, as a share of
	// the period. moveTime is the time before the end of the period that the move, the
	// last requests of old upstreams and the writes need; the move begins no earlier.
	moveShare = 0.5
	moveTime  = 6 * time.Second
	// rareRouteWait is how much longer, as a share of the period, the move waits for
	// evidence that excludes faults on rare routes.
	rareRouteWait = 0.1
	// lastMoveShare is the share of moveTime before the end of the period at which the move
	// begins even if the evidence is small.
	lastMoveShare = 0.6
	// stepShareOfPeriod and maxStep bound the time between two steps. Two steps of
	// 0.8 s use 0.6 s of all requests, the exposure of the 6 s left.
	stepShareOfPeriod = 1.0 / 15
	maxStep           = 800 * time.Millisecond
	// judgeInterval is the time between two verdicts, evidenceInterval that between two
	// log lines about the evidence and between two about what the next phase waits for.
	judgeInterval    = 300 * time.Millisecond
	evidenceInterval = time.Second
	// minCapacity is the number of slots of the new version, as a share of that of the
	// old one, from which it can take all requests.
	minCapacity = 0.7
	// versionsWait is how long a rollout waits to learn of an upstream of another version
	// before it concludes that there is none.
	versionsWait = 2 * time.Second
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

// Reasons of phases that are given in several places.
const (
	reasonNoFault    = "no fault found"
	reasonOneVersion = "no upstream has another version"
	reasonDrained    = "all old upstreams are closed and idle"
)

// coordination is the state that only the coordinator uses.
type coordination struct {
	// on is set while this daemon is the coordinator.
	on bool
	// rowsKnown is set while the versions of the store's rows are known: status and
	// phase. While it is clear, they are read before the next write. saved is the phase
	// row's content.
	rowsKnown     bool
	statusVersion uint64
	phaseVersion  uint64
	saved         Saved
	// writing is set while a write has no result, sent is the content of the last one, and
	// nextWrite the time of the next one.
	writing   bool
	sent      Saved
	nextWrite time.Duration
	// completing is set from a write of the completion until its outcome is known.
	completing bool

	// suspectSince is since when the version has had a score of lastingScore; 0 if it
	// has a lower one.
	suspectSince time.Duration
	// verdict is the one of judgedAt. The evidence was last logged at evidenceAt,
	// waiting at waitingAt.
	verdict    Verdict
	judgedAt   time.Duration
	evidenceAt time.Duration
	waitingAt  time.Duration
	// waiting says what the next phase waits for.
	waiting string
}

// carryOver returns the part that stays when the request is replaced.
func (c coordination) carryOver() coordination {
	return coordination{on: c.on, nextWrite: c.nextWrite, writing: c.writing}
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
	missing := s.Phase == Trial && c.now-s.knownAt >= versionsWait && (len(s.From) == 0 || !c.hasMemberOf(s, s.To))
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

// decide enters the next phase if its conditions hold. Phases full and completed are
// entered only once the store has accepted them; see wanted and written.
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
			c.enter(s, StepTwo, reasonNoFault, c.cfg.Instance)
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
		s.waiting = reasonOneVersion
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
	relaxed := begin + time.Duration(rareRouteWait*float64(s.Period))
	latest := max(relaxed, s.Period-time.Duration(lastMoveShare*float64(moveTime)))
	return v.Good || v.GoodOverall && age >= relaxed || v.Answers >= minAnswers && age >= latest
}

// stepDone reports whether the present step may be followed by the next one. Otherwise
// it sets what this waits for.
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
