package proxy

import (
	"godwitmount/internal/manifest"
	"godwitmount/internal/routing"
)

// budget returns the retry budget of a service; the lock is held.
func (p *Proxy) budget(service string) *routing.Budget {
	b := p.budgets[service]
	if b == nil {
		b = routing.NewBudget(p.budgetConfig())
		p.budgets[service] = b
	}
	return b
}

// The part of a service's retries that daemons use. A run that is repeated
// repeats its nested requests as well, which count at the services they go to.
const (
	retryShareUsed = 0.125
	retryExtraUsed = 0.25
)

func (p *Proxy) budgetConfig() routing.BudgetConfig {
	daemons := float64(p.deps.Peers.Known() + 1)
	return routing.BudgetConfig{
		Share:  float64(p.cfg.RetryPercent) / percent * retryShareUsed,
		Extra:  max(float64(p.cfg.RetryExtra)*retryExtraUsed/daemons, 1),
		Window: p.cfg.RetryWindow,
	}
}

// earn counts a call in the budgets that its retries are taken from.
func (p *Proxy) earn(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(c.service).Earn(p.now())
	if c.route.Rule != nil {
		p.ruleBudget(c.route.Rule).Earn(p.now())
	}
}

// spend takes a retry from the budgets of a call's rule and service.
func (p *Proxy) spend(c *call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ruleBudget(c.route.Rule).Spend(p.now()) && p.budget(c.service).Spend(p.now())
}

// ruleBudget returns the budget of a retry rule; the lock is held.
func (p *Proxy) ruleBudget(rule *manifest.RetryRule) *routing.Budget {
	b := p.ruleBudgets[rule.Name]
	if b == nil || b.percent != rule.BudgetPercent {
		b = &ruleBudget{percent: rule.BudgetPercent, Budget: routing.NewBudget(routing.BudgetConfig{
			Share:  float64(rule.BudgetPercent) / percent,
			Window: p.cfg.RetryWindow,
		})}
		p.ruleBudgets[rule.Name] = b
	}
	return b.Budget
}

// ruleBudget is the budget of a retry rule with the share it was made for.
type ruleBudget struct {
	*routing.Budget
	percent int
}

// percent is what shares in settings and rules are parts of.
const percent = 100
