package proxy

import (
	"fmt"
	"math"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
)

// notice is what an upstream says about itself in one of its answers.
type notice struct {
	// limited is set while the upstream names a limit, ratePerSecond, for the requests
	// that it takes from all daemons together.
	limited       bool
	ratePerSecond float64
	// leaving is set while the upstream says that it is about to end.
	leaving bool
	// problem says what is wrong with the named limit, which then does not count.
	problem string
}

// logRatio is the ratio of two limits from which the change is logged.
const logRatio = 1.25

// noticeOf reads the notice in an answer, which may be nil.
func (p *Proxy) noticeOf(answer *hopv1.Answer) notice {
	var n notice
	for _, h := range answer.GetHeaders() {
		switch h.Name {
		case p.cfg.Headers.RateLimit:
			rate, err := parseRate(string(h.Value))
			if err != nil {
				n.problem = err.Error()
				continue
			}
			n.limited, n.ratePerSecond = true, rate
		case p.cfg.Headers.Leaving:
			n.leaving = string(h.Value) == "1"
		}
	}
	return n
}

// resembles reports whether the change from other to n is too small to be logged.
func (n notice) resembles(other notice) bool {
	low, high := min(n.ratePerSecond, other.ratePerSecond), max(n.ratePerSecond, other.ratePerSecond)
	return n.limited == other.limited && n.leaving == other.leaving && n.problem == other.problem && high <= low*logRatio
}

func parseRate(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, fmt.Errorf("rate limit %q is not a decimal number of at least 0", text)
	}
	return rate, nil
}

// recordNotice applies the notice in an answer of the upstream u. An answer of an
// earlier incarnation says nothing about the present one, and neither does one of another
// upstream at the same address, which answers that it is not the one that was meant.
func (p *Proxy) recordNotice(u *control.Upstream, answer *hopv1.Answer) {
	if current := p.upstream.Load(); current.ID != u.ID || current.StartTime != u.StartTime || answer.Status == http.StatusMisdirectedRequest {
		return
	}
	n := p.noticeOf(answer)
	before := p.swapNotice(n)
	if n.leaving {
		p.deps.ReportLeaving(u.ID, u.StartTime)
	}
	if before.resembles(n) {
		return
	}
	p.deps.Log.Event(event.UpstreamNotice, zap.String("upstream", u.ID), zap.Bool("limited", n.limited),
		zap.Float64("rate", n.ratePerSecond), zap.Bool("leaving", n.leaving), zap.String("problem", n.problem))
}

// swapNotice puts a notice in force and returns the one before.
func (p *Proxy) swapNotice(n notice) notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.notice
	if before != n {
		p.notice = n
		p.admissionController.SetRate(n.limited, n.ratePerSecond)
	}
	return before
}

// forgetNotice forgets what an earlier incarnation of the upstream said.
func (p *Proxy) forgetNotice() { p.swapNotice(notice{}) }
