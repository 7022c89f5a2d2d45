package proxy

import (
	"time"

	"godwitmount/internal/manifest"
	"godwitmount/internal/routing"
)

// budget returns the retry budget of a service, with this daemon's share as of now.
// The caller holds p.mu.
func (p *Proxy) budget(service string) *routing.RetryBudget {
	cfg := p.budgetConfig()
	b := p.budgets[service]
	if b == nil {
		b = routing.NewRetryBudget(cfg)
		p.budgets[service] = b
	}
	b.SetExtra(cfg.Extra)
	return b
}

const (
	// usedShare is the share of RetryPercent and RetryExtra that daemons use. The
	// rest covers what daemons that were restarted have forgotten.
	usedShare = 0.6
	// callerShare is the share of a budget that retries of callers' requests may
	// use. The rest is kept for nested requests: no caller sends those again, and
	// each that fails wastes the work of the request that it was sent for.
	callerShare = 0.5
)

// budgetConfig returns this daemon's retry budget for one service. The used share
// of RetryExtra is divided by the current number of daemons, but each daemon gets
// at least one extra retry.
func (p *Proxy) budgetConfig() routing.RetryBudgetConfig {
	daemons := float64(p.deps.Peers.Count() + 1)
	return routing.RetryBudgetConfig{
		Share:  float64(p.cfg.RetryPercent) / percent * usedShare,
		Extra:  max(float64(p.cfg.RetryExtra)*usedShare/daemons, 1),
		Window: p.cfg.RetryWindow,
	}
}

// recordRequest counts a call in the retry budgets of its service and rule. A
// nested call of a run that is itself a retry counts as a retry, too: without the
// retry it would not have been made.
func (p *Proxy) recordRequest(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	service := p.budget(c.service)
	service.RecordRequest(p.now())
	if c.isRetry() {
		service.RecordRetry(p.now())
	}
	if c.route.Rule != nil {
		p.ruleBudget(c.route.Rule).RecordRequest(p.now())
	}
}

// takeRetry counts a retry in the budgets of a call's rule and service at now if both
// allow it, and reports whether they do.
func (p *Proxy) takeRetry(c *call, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := callerShare
	if c.nested {
		share = 1
	}
	rule, service := p.ruleBudget(c.route.Rule), p.budget(c.service)
	if !rule.AllowsRetry(now, 1) || !service.AllowsRetry(now, share) {
		return false
	}
	rule.RecordRetry(now)
	service.RecordRetry(now)
	return true
}

// returnRetry takes back a retry of a call that takeRetry has counted at a time and that was
// not made.
func (p *Proxy) returnRetry(c *call, counted time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ruleBudget(c.route.Rule).ReturnRetry(counted)
	p.budget(c.service).ReturnRetry(counted)
}

// ruleBudget returns the budget of a retry rule. It creates a new one at the first
// call and when the rule's percentage has changed. The caller holds p.mu.
func (p *Proxy) ruleBudget(rule *manifest.RetryRule) *routing.RetryBudget {
	b := p.ruleBudgets[rule.Name]
	if b == nil || b.percent != rule.BudgetPercent {
		b = &ruleBudget{percent: rule.BudgetPercent, RetryBudget: routing.NewRetryBudget(routing.RetryBudgetConfig{
			Share:  float64(rule.BudgetPercent) / percent,
			Window: p.cfg.RetryWindow,
		})}
		p.ruleBudgets[rule.Name] = b
	}
	return b.RetryBudget
}

// ruleBudget is the budget of a retry rule and the percentage that it was made
// with.
type ruleBudget struct {
	*routing.RetryBudget
	percent int
}

// percent is the divisor that converts a percentage to a share.
const percent = 100
