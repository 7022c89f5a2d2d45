package rollout

import (
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/step"
)

// applyReport records a report for the coordinator. From this daemon's own one follows
// whether its upstream fails, and it is sent on.
func (c *Core) applyReport(ev ReportReceived) {
	s := c.services[ev.Report.Service]
	if s == nil || s.Position != ev.Report.Position || s.Phase.Final() {
		return
	}
	if ev.Instance == c.cfg.Instance {
		ev.Report.Unreachable = c.unreachable(s)
	}
	h := s.history[ev.Instance]
	if h == nil {
		h = &history{}
		s.history[ev.Instance] = h
	}
	h.record(c.now, ev.Report)
	if ev.Instance == c.cfg.Instance {
		s.confirmed = s.confirmed || ev.Report.Phase == Full && ev.Report.Drained
		c.checkOwnUpstream(s, h)
		c.sendReport(s, ev.Report)
	}
}

// checkOwnUpstream closes the local upstream if it has the new version and fails
// beyond doubt while there is an old version to run its requests.
func (c *Core) checkOwnUpstream(s *service, h *history) {
	if s.broken || h.latest.Version != s.To || s.Phase >= Full {
		return
	}
	for _, length := range []time.Duration{0, shortWindow} {
		sample := Sample(h.window(c.now, length))
		count := failures([]Sample{sample}, "")
		if score := count.score(breakerBase, failureSteps); score >= breakerScore {
			s.broken = true
			c.log(event.RolloutUpstreamClosed, true, step.F("service", s.Service), step.F("version", s.To), step.F("failures", count))
			return
		}
	}
}

// sendReport sends a report to the daemons that may coordinate, if one is due.
func (c *Core) sendReport(s *service, report Report) {
	interval := oldReportInterval
	if report.Version == s.To {
		interval = newReportInterval
	}
	last := &c.lastReport
	urgent := last.Service != report.Service || last.Position != report.Position || last.Phase != report.Phase || last.Drained != report.Drained || last.Version != report.Version
	if last.answers() == report.answers() {
		interval = keepAliveInterval
	}
	if !urgent && c.now-c.sentAt < interval {
		return
	}
	var to []string
	for _, instance := range c.coordinators(s) {
		if instance != c.cfg.Instance {
			to = append(to, instance)
		}
	}
	if len(to) == 0 {
		return
	}
	c.lastReport, c.sentAt = report, c.now
	c.emit(SendReport{To: to[:min(len(to), reportReceivers)], Report: report})
}
