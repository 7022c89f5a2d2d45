package rollout

import (
	"errors"
	"fmt"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

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
		c.adoptSaved(s, ev.Phases[name])
		s.unresolved = false
		if s.Phase < Full {
			// No daemon has been in phase full, in which reports confirm.
			s.confirmed = false
		}
		if !s.writing {
			s.completing = false
		}
	}
}

// adoptSaved applies the content of the phase row. If it is that of an earlier
// rollout that was not completed, its version gets no more requests.
func (c *Core) adoptSaved(s *service, row PhaseRow) {
	saved := row.Saved
	s.saved = saved
	phase, ok := ParsePhase(saved.Phase)
	if row.Version > 0 && row.Err == nil && !ok {
		row.Err = fmt.Errorf("unknown phase %q", saved.Phase)
	}
	if row.Err != nil {
		c.log(event.RolloutRowInvalid, true, step.F("service", s.Service), step.F("error", row.Err))
	}
	if !ok {
		return
	}
	p := Progress{
		Request: Request{Service: s.Service, To: saved.To, Period: s.Period, Position: saved.position()},
		From:    saved.From, Denied: saved.Denied, Phase: phase, Reason: saved.Reason, Stored: phase == Reverted,
	}
	switch {
	case s.isSaved():
		p.Position = s.Position
		c.applyProgress(p, "store")
	case s.Position.After(p.Position) && s.Phase.Active() && p.To != s.To:
		c.applyProgress(Begin(s.Request, p), "store")
	}
}

// isSaved reports whether the phase row is that of this rollout. After the store has
// come back from an older copy, the request's row has another era.
func (s *service) isSaved() bool {
	return s.saved.To == s.To && s.saved.Version == s.Position.Version
}

// savedAs reports whether the store has the rollout in the phase or a later one.
func (s *service) savedAs(phase Phase) bool {
	saved, ok := ParsePhase(s.saved.Phase)
	return ok && s.rowsKnown && s.isSaved() && saved >= phase
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
	saved := Saved{
		Era: uint64(s.Position.Era), Version: s.Position.Version, To: s.To, From: s.From, Denied: s.Denied,
		Phase: phase.String(), Reason: reason,
	}
	s.writing, s.sent = true, saved
	s.completing = s.completing || phase == Completed
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
		s.rowsKnown = false
		return
	}
	switch {
	case ev.Err == nil:
		s.completing = false
		s.statusVersion, s.phaseVersion = ev.Version, ev.Version
		s.saved = s.sent
		c.written(s, ev.Phase)
	case errors.Is(ev.Err, store.ErrConflict):
		c.applyConflict(s, ev.Current)
	default:
		s.rowsKnown = false
		s.nextWrite = c.now + writeDelay
		// If the store does not answer this read either, another daemon coordinates.
		c.emit(ReadRequests{})
	}
}

// written enters a phase that the store has accepted.
func (c *Core) written(s *service, phase Phase) {
	if phase == Reverted && s.Phase == Reverted {
		s.Stored = true
	}
	if phase <= s.Phase || phase < Full {
		return
	}
	c.enter(s, phase, s.sent.Reason, c.cfg.Instance)
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
		s.rowsKnown = false
		return
	}
	if current.Status != nil {
		s.statusVersion = current.Status.Version
	}
	if current.Phase != nil {
		s.phaseVersion = current.Phase.Version
		c.adoptSaved(s, *current.Phase)
	}
}
