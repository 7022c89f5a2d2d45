package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"godwitmount/internal/status"
)

const (
	// percent converts a share to a percentage.
	percent = 100
	// smallestShownMS is the smallest component of a cost in milliseconds that is not
	// written as 0.0.
	smallestShownMS = 0.05
)

func (r *routeResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "instance  %s in %s\n", r.Instance, r.DataCentre)
	fmt.Fprintf(w, "version   %d\n", r.ConfigVersion)
	if r.Stopping {
		fmt.Fprintln(w, "stopping  a planned stop has begun")
	}
	for _, route := range r.Routes {
		mark := " "
		if route.Taken {
			mark = ">"
		}
		fmt.Fprintf(w, "%s %s: %s\n", mark, route.Route, route.Reason)
	}
	if r.Taken != nil {
		writeTakenRoute(w, r.Taken)
	} else if r.ConfigVersion > 0 {
		fmt.Fprintln(w, "no route takes the request")
	}
	if r.Customer != "" {
		fmt.Fprintf(w, "customer  %s\n", r.Customer)
	}
	if r.Quota != nil {
		writeRouteQuota(w, r.Quota)
	}
	if r.Refusal != nil {
		writeRefusal(w, r.Refusal)
	}
	for i := range r.Targets {
		writeTarget(w, &r.Targets[i], len(r.Targets) > 1)
	}
}

func writeTakenRoute(w io.Writer, t *status.TakenRoute) {
	access := "needs no key"
	switch {
	case t.Public:
		access = "public"
	case t.NeedsKey:
		access = "needs a key"
	}
	fmt.Fprintf(w, "route     %s, %s, priority %d, deadline %s\n", t.Route, access, t.Priority, inDuration(t.DeadlineMS))
	fmt.Fprintf(w, "request   goal in %s; mean of the route: %d bytes, %.2f of the service time\n", inDuration(t.GoalMS), t.Bytes, t.Work)
}

// inDuration returns a number of milliseconds as a duration, which formats with its unit.
func inDuration(milliseconds int64) time.Duration {
	return time.Duration(milliseconds) * time.Millisecond
}

func writeRouteQuota(w io.Writer, q *status.RouteQuota) {
	fmt.Fprintf(w, "quota     %g a second and %g at once: ", q.RatePerSecond, q.Burst)
	switch q.Decision {
	case status.QuotaAdmit:
		fmt.Fprint(w, "would be admitted")
	case status.QuotaRefuse:
		if q.NoOwner {
			fmt.Fprint(w, "would be refused, no daemon is known that grants tokens")
			break
		}
		fmt.Fprintf(w, "would be refused, next token in %.0f ms", q.WaitMS)
	case status.QuotaAsk:
		fmt.Fprintf(w, "%s would be asked", q.Ask)
	}
	if q.OwnShare {
		fmt.Fprint(w, " by this daemon's own share")
	}
	if q.Held {
		fmt.Fprintf(w, ", bucket here with %.1f tokens", q.Level)
	}
	fmt.Fprintln(w)
}

func writeRefusal(w io.Writer, r *status.Refusal) {
	retry := ""
	if r.RetryAfter {
		retry = " with Retry-After"
	}
	fmt.Fprintf(w, "refused   %d%s, %d %s: %s\n", r.Status, retry, r.Code, r.Name, r.Text)
}

func writeTarget(w io.Writer, t *status.Target, split bool) {
	fmt.Fprintf(w, "service   %s", t.Service)
	if split {
		fmt.Fprintf(w, ", %.0f%% of the requests", t.Share*percent)
	}
	fmt.Fprintln(w)
	if r := t.Rollout; r != nil {
		fmt.Fprintf(w, "rollout   to %s, phase %s, share %.2f", r.To, r.Phase, r.Share)
		if r.NeedsExposure {
			fmt.Fprintf(w, ", exposure for the request with probability %.2f", r.ExposureChance)
		}
		fmt.Fprintln(w)
	}
	for i := range t.Choices {
		writeChoice(w, &t.Choices[i], len(t.Choices) > 1)
	}
	if len(t.Excluded) > 0 {
		fmt.Fprintln(w, "excluded  by the rollout")
		writeCandidates(w, t.Excluded)
	}
}

func writeChoice(w io.Writer, c *status.Choice, several bool) {
	if several {
		fmt.Fprintf(w, "upstreams of %s versions, with probability %.2f\n", c.Side, c.Chance)
	}
	if c.Refusal != nil {
		fmt.Fprintf(w, "chosen    none: %s\n", c.Why)
		writeRefusal(w, c.Refusal)
	} else {
		fmt.Fprintf(w, "chosen    %s: %s\n", c.Chosen, c.Why)
	}
	if c.Sampled {
		fmt.Fprintln(w, "random    among a few random upstreams of each side")
	}
	if c.ExploredShare > 0 {
		fmt.Fprintf(w, "random    %.0f%% of the requests go to any upstream of the data centre with a free slot\n", c.ExploredShare*percent)
	}
	if len(c.Candidates) > 0 {
		writeCandidates(w, c.Candidates)
	}
}

// writeCandidates writes a table of candidates. Times are in milliseconds.
func writeCandidates(w io.Writer, candidates []status.Candidate) {
	const padding = 2
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	fmt.Fprintln(table, "  rank\tinstance\tdata centre\tversion\tload\tslots\tage\tservice\trtt\tfailed\tcost\treason\tconsists of")
	for i := range candidates {
		c := &candidates[i]
		fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%.2f\t%d\t%.0f\t%.1f\t%.1f\t%.2f\t%.1f\t%s\t%s\n",
			rankOrDash(c.Rank), c.Instance, placeOf(c), textOrDash(c.Version), c.Load, c.Slots, c.ReportAgeMS, c.ServiceTimeMS, c.RTTMS,
			c.FailureShare, c.Cost.TotalMS, textOrDash(c.Reason), textOrDash(componentsOf(c)))
	}
	_ = table.Flush()
}

// rankOrDash returns the rank, or a dash for none.
func rankOrDash(rank int) string {
	if rank == 0 {
		return "-"
	}
	return fmt.Sprint(rank)
}

func textOrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// placeOf returns the data centre, and whether the upstream is beside the daemon.
func placeOf(c *status.Candidate) string {
	switch {
	case c.Self:
		return c.DataCentre + " (self)"
	case c.Local:
		return c.DataCentre + " (local)"
	default:
		return c.DataCentre
	}
}

// componentsOf lists the components of the cost that are not shown as 0, and the random
// addition.
func componentsOf(c *status.Candidate) string {
	var parts []string
	for _, component := range []struct {
		name string
		ms   float64
	}{
		{"wait", c.Cost.WaitMS}, {"service", c.Cost.ServiceMS}, {"network", c.Cost.NetworkMS}, {"transfer", c.Cost.TransferMS}, {"ping", c.Cost.PingMS},
		{"failures", c.Cost.FailuresMS}, {"distance", c.Cost.DistanceMS}, {"load", c.Cost.LoadMS}, {"late", c.Cost.LateMS},
	} {
		if component.ms >= smallestShownMS {
			parts = append(parts, fmt.Sprintf("%s %.1f", component.name, component.ms))
		}
	}
	text := strings.Join(parts, " + ")
	if c.RandomMS > 0 {
		text += fmt.Sprintf(" + up to %.1f", c.RandomMS)
	}
	return text
}
