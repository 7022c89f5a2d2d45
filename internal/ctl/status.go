package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/status"
)

const statusHelp = `
Shows the version that a daemon has in force, its upstream, the quotas of customers that
have sent requests lately, and what it knows of its peers. With several --daemon options, the first daemon that answers is shown.`

// statusTimeout bounds the request to one daemon.
const statusTimeout = 3 * time.Second

type statusCommand struct {
	Daemons []string `long:"daemon" value-name:"IP:PORT" env:"GODWITMOUNT_DAEMON" env-delim:"," description:"Metrics address of a daemon; may be given several times."`
}

// statusResult is the status of the daemon that answered.
type statusResult struct {
	status.Daemon
}

func (c *statusCommand) run(ctx context.Context, _ io.Writer) (output, error) {
	if len(c.Daemons) == 0 {
		return nil, failed(ExitUsage, code.OK, "status needs --daemon")
	}
	var errs []error
	for _, address := range c.Daemons {
		answer, err := fetchStatus(ctx, address)
		if err == nil {
			return answer, nil
		}
		errs = append(errs, err)
	}
	return nil, failed(ExitUnavailable, code.OK, "no daemon answered: %v", errors.Join(errs...))
}

// fetchStatus reads the status of the daemon with the given metrics address.
func fetchStatus(ctx context.Context, address string) (*statusResult, error) {
	bounded, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+address+status.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d", address, response.StatusCode)
	}
	result := &statusResult{}
	if err := json.NewDecoder(response.Body).Decode(&result.Daemon); err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return result, nil
}

func (r *statusResult) writeText(w io.Writer) {
	u := r.Upstream
	fmt.Fprintf(w, "instance  %s in %s, release %s\n", r.Instance, r.DataCentre, r.Release)
	fmt.Fprintf(w, "version   %d\n", r.ConfigVersion)
	fmt.Fprintf(w, "store era %d\n", r.StoreEra)
	fmt.Fprintf(w, "upstream  %s of %s is %s: %d running, %d waiting, %d slots\n", u.ID, u.Service, u.State, u.Running, u.Waiting, u.Slots)
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

func writeRollout(w io.Writer, r status.Rollout) {
	const perSecond = 1000
	fmt.Fprintf(w, "rollout   %s from %v to %s is %s (%s): %.1f s of %.1f s, share %.2f, coordinator %s\n",
		r.Service, r.From, r.To, r.Phase, r.Reason, float64(r.ElapsedMS)/perSecond, float64(r.PeriodMS)/perSecond, r.Share, r.Coordinator)
	if r.Evidence != "" {
		fmt.Fprintf(w, "evidence  %d answers, %d failures, score %.1f: %s\n", r.Answers, r.Failures, r.Score, r.Evidence)
	}
	if r.Waiting != "" {
		fmt.Fprintf(w, "waits for %s\n", r.Waiting)
	}
}

// writeQuota writes the line of one customer's quota.
func writeQuota(w io.Writer, q status.Quota) {
	fmt.Fprintf(w, "quota     %s: %g a second and %g at once, %.0f%% of it here, bucket at %s", q.Customer, q.RatePerSecond, q.Burst, q.Share*100, q.Owner)
	if q.Held {
		fmt.Fprintf(w, ", %.1f of %.1f tokens, %.1f requests a second", q.Level, q.Depth, q.Demand)
	}
	fmt.Fprintln(w)
}
