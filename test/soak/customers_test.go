package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"godwitmount/platform/platformtest"
)

const (
	// calmKey is the key of a customer without a limit, which most callers have, and
	// floodKey that of one whose callers send far more than its allowance.
	calmKey  = "key-calm"
	floodKey = "key-flood"
	// unknownKey is in no version of the configuration.
	unknownKey = "key-unknown"
	// invalidShare is the inverse share of callers' requests without a key or with
	// unknownKey.
	invalidShare = 20

	floodRate, floodBurst = 20, 30
	// floodPause is the mean pause between two requests of a flooding caller, one for each
	// daemon: together they send some 7 times floodRate.
	floodPause = 30 * time.Millisecond
	// quotaWindow is the window of the quota, and quotaBound how many requests that were
	// sent in it may run. quotaExcess and quotaSlack are the defaults of the settings.
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	quotaBound  = (floodRate*5+floodBurst)*(1+quotaExcess) + quotaSlack

	// revokeLimit is how long after the acceptance of a version that removes it a key may
	// still have an effect with strict revocation.
	revokeLimit = 5 * time.Second
	// rotatingPause is the mean pause between two requests of a rotating caller.
	rotatingPause = 80 * time.Millisecond
)

// rotatingKey is the key that the customer rotating has in one version only.
func rotatingKey(version uint64) string { return fmt.Sprintf("key-rotating-%d", version) }

// tenants returns the customers of a version.
func tenants(version uint64) []platformtest.Tenant {
	return []platformtest.Tenant{
		{Name: "calm", APIKeys: []string{calmKey}, Priority: 1},
		{Name: "flood", APIKeys: []string{floodKey}, Priority: 1, RatePerSec: floodRate, Burst: floodBurst},
		{Name: "rotating", APIKeys: []string{rotatingKey(version)}},
	}
}

// credential is the key that a request carries, and the customer that it belongs to.
type credential struct {
	key string
	// customer is "" if no version has the key.
	customer string
	// version is the only one that has the key; 0 if all have it.
	version uint64
}

var calm = credential{key: calmKey, customer: "calm"}

// drawCredential returns that of one request of an ordinary caller.
func drawCredential(random *rand.Rand) credential {
	switch random.IntN(2 * invalidShare) {
	case 0:
		return credential{}
	case 1:
		return credential{key: unknownKey}
	default:
		return calm
	}
}

// flooder sends requests of customer flood to a daemon until ctx ends.
func (l *load) flooder(ctx context.Context, n *node, random *rand.Rand) {
	l.repeat(ctx, n, fmt.Sprintf("flood-%d", n.number), random, floodPause, func(int) credential {
		return credential{key: floodKey, customer: "flood"}
	})
}

// rotating sends requests with the key of version 1 and with that of the newest version that
// is due, in turn, until ctx ends.
func (l *load) rotating(ctx context.Context, n *node, random *rand.Rand) {
	l.repeat(ctx, n, fmt.Sprintf("rotating-%d", n.number), random, rotatingPause, func(number int) credential {
		version := uint64(1)
		if number%2 == 0 {
			version, _ = l.configs.due(n.number, time.Now())
		}
		return credential{rotatingKey(version), "rotating", version}
	})
}

// checkCustomers checks what became of keys: a request without a valid one does not run, one
// with a valid one is not refused for it, no upstream gets a key, each gets the customer's
// name, and no customer gets more than its allowance. With strict, removed keys have no
// effect from revokeLimit after the acceptance on, whatever disturbs the daemon.
func (l *load) checkCustomers(t *testing.T, strict bool) {
	ran, flood := l.checkRunsOfCustomers()
	late := 0
	for _, o := range l.outcomes {
		if l.checkKeyOutcome(o, strict, ran[o.id]) {
			late++
		}
	}
	if strict && late == 0 {
		l.problem("no request was sent with a key that was removed %s before", revokeLimit)
	}
	most := mostInWindow(flood, quotaWindow)
	t.Logf("customer flood: at most %d requests ran that were sent within %s, %.0f allowed; %d requests with a removed key", most, quotaWindow, quotaBound, late)
	if float64(most) > quotaBound || most < floodRate {
		l.problem("%d requests of customer flood ran that were sent within %s, want %d to %.0f", most, quotaWindow, floodRate, quotaBound)
	}
}

// checkRunsOfCustomers checks that upstreams got the customers' names and no keys. It
// returns the ids of the requests that ran, and when those of customer flood were sent.
func (l *load) checkRunsOfCustomers() (ran map[string]bool, flood []time.Time) {
	sent := map[string]outcome{}
	for _, o := range l.outcomes {
		sent[o.id] = o
	}
	ran = map[string]bool{}
	for _, n := range l.nodes {
		for _, run := range runsOf([]*node{n}) {
			if run.Credential != "" {
				l.problem("request %s reached the upstream of node %d with a key", run.ID, n.number)
			}
			o, found := sent[run.ID]
			if !found {
				continue
			}
			if run.Tenant != o.customer || run.Tenant == "" {
				l.problem("request %s of customer %q ran at node %d for customer %q", run.ID, o.customer, n.number, run.Tenant)
			}
			if o.key == floodKey && !ran[run.ID] {
				flood = append(flood, o.sent)
			}
			ran[run.ID] = true
		}
	}
	return ran, flood
}

// checkKeyOutcome checks what became of one request for its key. It reports whether the
// request was sent later than revokeLimit after the removal of the key, with strict.
func (l *load) checkKeyOutcome(o outcome, strict, ran bool) (late bool) {
	accepted, removed, isRemoved := l.configs.removed(o.version)
	late = strict && isRemoved && o.sent.After(removed.Add(revokeLimit))
	if late && ran {
		l.problem("request %s at node %d ran, sent %s after the removal of its key", o.id, o.node, o.sent.Sub(removed).Round(time.Millisecond))
	}
	valid := o.customer != "" && (!isRemoved || o.answered.Before(accepted))
	if valid && (o.status == http.StatusUnauthorized || o.status == http.StatusForbidden) {
		l.problem("request %s at node %d with a valid key of customer %s got status %d", o.id, o.node, o.customer, o.status)
	}
	if o.status == http.StatusTooManyRequests && (o.key != floodKey || o.retryAfter == "") {
		l.problem("request %s of customer %q got status 429, Retry-After %q", o.id, o.customer, o.retryAfter)
	}
	return late
}

// mostInWindow returns the largest number of times that lie within one window.
func mostInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, end := 0, 0
	for i, at := range times {
		for end < len(times) && times[end].Sub(at) < window {
			end++
		}
		most = max(most, end-i)
	}
	return most
}
