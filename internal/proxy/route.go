package proxy

import (
	"fmt"
	"net/http"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/freshness"
	"godwitmount/internal/manifest"
	"godwitmount/internal/quota"
	"godwitmount/internal/status"
)

// ExplainRoute returns where a request would go now, and why. It sends nothing and changes
// no state. It returns an error if the query is invalid.
func (p *Proxy) ExplainRoute(q *status.RouteQuery) (*status.Route, error) {
	if len(q.Header.Values(p.cfg.Headers.CustomerKey)) > 0 {
		return nil, fmt.Errorf("the header %s must not be given; the key has its own option", p.cfg.Headers.CustomerKey)
	}
	e := &routeExplainer{proxy: p, call: &call{started: time.Now(), method: q.Method}}
	e.answer = &status.Route{Stopping: p.stopping.Load(), Routes: []status.RouteMatch{}, Targets: []status.Target{}}
	if p.entryClosed.Load() {
		e.refuse(newFailure(code.CallDraining))
	}
	request := manifest.Request{Method: q.Method, Host: q.Host, Path: q.Path, Header: q.Header}
	table, verdict, failed := p.findRoute(e.call, request)
	e.refuse(failed)
	if table == nil {
		return e.answer, nil
	}
	if q.Customer != "" && table.Customer(q.Customer) == nil {
		return nil, fmt.Errorf("the configuration in force has no customer %q", q.Customer)
	}
	e.describeMatches(table, request)
	if failed == nil {
		e.describeRoute(q, table)
		e.describeCustomer(q, table, verdict)
		e.checkBody(q, table)
		e.describeTargets()
	}
	return e.answer, nil
}

// routeExplainer fills in the answer to one query. The call is never sent.
type routeExplainer struct {
	proxy  *Proxy
	call   *call
	answer *status.Route
}

// refuse sets the first failure as the answer that the caller would get; nil is none.
func (e *routeExplainer) refuse(failed *failure) {
	if failed != nil && e.answer.Refusal == nil {
		e.answer.Refusal = refusalStatus(failed.code)
	}
}

func refusalStatus(c code.Code) *status.Refusal {
	info := c.Info()
	return &status.Refusal{Code: uint32(c), Name: info.Name, Text: info.Text, Status: info.Status, RetryAfter: info.RetryAfter}
}

// describeMatches says why the routes up to the one taken match or not.
func (e *routeExplainer) describeMatches(table *Table, request manifest.Request) {
	e.answer.ConfigVersion = e.call.version
	for _, match := range table.Explain(request) {
		e.answer.Routes = append(e.answer.Routes, status.RouteMatch{Route: match.Route, Taken: match.Taken, Reason: match.Reason})
		if match.Taken {
			return
		}
	}
}

// describeRoute describes the route, and sets the call's goal.
func (e *routeExplainer) describeRoute(q *status.RouteQuery, table *Table) {
	p, route := e.proxy, e.call.route
	timeout := route.Deadline.Std()
	goal := goalOf(route, timeout)
	if q.Goal != nil {
		goal = *q.Goal
	}
	goal = min(goal, timeout)
	e.call.goal = e.call.started.Add(goal)
	e.answer.Taken = &status.TakenRoute{
		Route: route.Name, Public: route.Public, NeedsKey: table.HasCustomers() && !route.Public, Priority: route.Priority,
		DeadlineMS: timeout.Milliseconds(), GoalMS: goal.Milliseconds(),
		Bytes: p.routes.size(route.Name), Work: p.routes.work(route.Name),
	}
}

// describeCustomer finds the customer by its key or its name, and its quota. A customer
// that is given by name is identified by its first key like a caller of it.
func (e *routeExplainer) describeCustomer(q *status.RouteQuery, table *Table, verdict freshness.Verdict) {
	header, key := http.Header{}, q.Key
	if customer := table.Customer(q.Customer); customer != nil && len(customer.Keys) > 0 {
		key = string(customer.Keys[0])
	}
	if key != "" {
		header.Set(e.proxy.cfg.Headers.CustomerKey, key)
	}
	e.refuse(e.proxy.identifyCustomer(e.call, header, table, verdict))
	customer := e.call.customer
	if customer == nil {
		return
	}
	e.answer.Customer = customer.Name
	if e.answer.Quota = e.proxy.quotas.preview(customer); e.answer.Quota != nil && e.answer.Quota.Decision == status.QuotaRefuse {
		e.refuse(newFailure(code.CallQuotaExceeded))
	}
}

// checkBody refuses a body that is too large.
func (e *routeExplainer) checkBody(q *status.RouteQuery, table *Table) {
	if q.BodyBytes > maxBodyBytes(table) {
		e.refuse(newFailure(code.CallBodyTooLarge))
	}
}

// preview returns what the quota of a customer would decide, or nil if it has no limit.
// It does not take the present view of the other daemons into account, which would change
// the limiter; quotas.tick does so each 100 ms.
func (q *quotas) preview(customer *manifest.Customer) *status.RouteQuota {
	q.mu.Lock()
	preview, limited := q.limiter.Preview(q.clock(), customer.Name)
	q.mu.Unlock()
	if !limited {
		return nil
	}
	decisions := map[quota.Action]string{quota.Admit: status.QuotaAdmit, quota.Refuse: status.QuotaRefuse, quota.Ask: status.QuotaAsk}
	return &status.RouteQuota{
		RatePerSecond: customer.RatePerSecond, Burst: customer.Burst,
		Decision: decisions[preview.Action], OwnShare: preview.Own, Ask: preview.To, NoOwner: preview.NoOwner,
		WaitMS: inMilliseconds(preview.Wait), Held: preview.Held, Level: preview.Level,
	}
}
