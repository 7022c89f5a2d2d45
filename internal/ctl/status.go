package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"

	"godwitmount/internal/status"
)

const statusHelp = `
Shows the version that a daemon has in force, its upstream, the quotas of customers that
have sent requests lately, and what it knows of its peers. With several --daemon options, the first daemon that answers is shown.`

type statusCommand struct {
	daemonOptions
}

// statusResult is the status of the daemon that answered.
type statusResult struct {
	status.Daemon
}

func (c *statusCommand) run(ctx context.Context, _ io.Writer) (output, error) {
	result := &statusResult{}
	err := c.fetch(ctx, "status", func(address string) (*http.Request, error) {
		return http.NewRequest(http.MethodGet, "http://"+address+status.Path, nil)
	}, &result.Daemon)
	if err != nil {
		return nil, err
	}
	return result, nil
}

func (r *statusResult) writeText(w io.Writer) {
	u := r.Upstream
	fmt.Fprintf(w, "instance  %s in %s, release %s\n", r.Instance, r.DataCentre, r.Release)
	fmt.Fprintf(w, "version   %d\n", r.ConfigVersion)
	fmt.Fprintf(w, "store era %d\n", r.StoreEra)
	fmt.Fprintf(w, "upstream  %s of %s is %s: %d running, %d waiting, %d slots\n", u.ID, u.Service, u.State, u.Running, u.Waiting, u.Slots)
	if r.MembersUnread {
		fmt.Fprintln(w, "members   own entry not read yet, grants no tokens of quotas")
	}
	for _, rollout := range r.Rollouts {
		writeRollout(w, rollout)
	}
	for _, q := range r.Quotas {
		writeQuota(w, q)
	}
	for _, p := range r.Peers {
		state := "cannot be reached"
		switch {
		case p.Reachable && p.TakesWork:
			state = "takes requests"
		case p.Reachable:
			state = "takes no requests"
		}
		fmt.Fprintf(w, "peer      %s in %s, %s: %s, version %d, store era %d\n",
			p.Instance, p.DataCentre, p.Service, state, p.ConfigVersion, p.StoreEra)
	}
}

// writeRollout writes the lines of one rollout.
func writeRollout(w io.Writer, r status.Rollout) {
	const millisecondsPerSecond = 1000
	fmt.Fprintf(w, "rollout   %s from %v to %s is %s (%s): %.1f s of %.1f s, share %.2f, coordinator %s\n",
		r.Service, r.From, r.To, r.Phase, r.Reason, float64(r.ElapsedMS)/millisecondsPerSecond, float64(r.PeriodMS)/millisecondsPerSecond, r.Share, r.Coordinator)
	if r.Evidence != "" {
		fmt.Fprintf(w, "evidence  %d answers, %d failures, score %.1f: %s\n", r.Answers, r.Failures, r.Score, r.Evidence)
	}
	if r.Waiting != "" {
		fmt.Fprintf(w, "waits for %s\n", r.Waiting)
	}
}

// writeQuota writes the line of one customer's quota.
func writeQuota(w io.Writer, q status.Quota) {
	fmt.Fprintf(w, "quota     %s: %g a second and %g at once, %.0f%% of it here, bucket at %s", q.Customer, q.RatePerSecond, q.Burst, q.Share*percent, cmp.Or(q.Owner, "no known daemon"))
	if q.Held {
		fmt.Fprintf(w, ", %.1f of %.1f tokens, %.1f requests a second", q.Level, q.Depth, q.Demand)
	}
	fmt.Fprintln(w)
}
