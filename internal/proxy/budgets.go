package proxy

import (
	"godwitmount/internal/manifest"
	"godwitmount/internal/routing"
)

// budget returns the retry budget of a service. It creates the budget at the first
// call, with the number of daemons at that time. The caller holds p.mu.
func (p *Proxy) budget(service string) *routing.RetryBudget {
	b := p.budgets[service]
	if b == nil {
		b = routing.NewRetryBudget(p.budgetConfig())
		p.budgets[service] = b
	}
	return b
}

// Shares of RetryPercent and RetryExtra that daemons use. They are below 1
// because a retry also repeats the nested requests of the first run, which count
// as repeated requests at the services that they are sent to.
const (
	usedShareOfPercent = 0.125
	usedShareOfExtra   = 0.25
)

// budgetConfig returns this daemon's retry budget for one service. The used share
// of RetryExtra is divided by the current number of daemons, but each daemon gets
// at least one extra retry.
func (p *Proxy) budgetConfig() routing.RetryBudgetConfig {
	daemons := float64(p.deps.Peers.Count() + 1)
	return routing.RetryBudgetConfig{
		Share:  float64(p.cfg.RetryPercent) / percent * usedShareOfPercent,
		Extra:  max(float64(p.cfg.RetryExtra)*usedShareOfExtra/daemons, 1),
		Window: p.cfg.RetryWindow,
	}
}

// recordRequest counts a call in the retry budgets of its service and rule.
func (p *Proxy) recordRequest(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(c.service).RecordRequest(p.now())
	if c.route.Rule != nil {
		p.ruleBudget(c.route.Rule).RecordRequest(p.now())
	}
}

// takeRetry counts a retry in the budgets of a call's rule and service, and
// reports whether both allow it. If only the rule's budget does, the retry
// remains counted there.
func (p *Proxy) takeRetry(c *call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ruleBudget(c.route.Rule).AllowRetry(p.now()) && p.budget(c.service).AllowRetry(p.now())
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
