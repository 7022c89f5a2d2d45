package rollout

import (
	"math"
	"time"

	"godwitmount/internal/store"
)

const (
	// timeBuckets is the number of buckets of a histogram of times.
	timeBuckets = 40
	// firstBucket is the upper bound of the first bucket. The last one begins at 9.6 s.
	firstBucket = 2 * time.Millisecond
)

// bucketWidth is the natural logarithm of the ratio of two bucket bounds.
var bucketWidth = math.Log(1.25)

// Counts are the outcomes of requests at an upstream.
type Counts struct {
	Answers uint32
	// Failures are the answers that show a fault of the upstream, and the requests
	// that it did not answer.
	Failures uint32
	// Times is a histogram of how long requests held their slots. It may hold fewer
	// than Answers: a new upstream is slow for a moment.
	Times [timeBuckets]uint32
}

// Record counts one request. Timed is clear if its time does not count.
func (c *Counts) Record(failed bool, took time.Duration, timed bool) {
	c.Answers++
	if failed {
		c.Failures++
	}
	if timed {
		c.Times[bucketOf(took)]++
	}
}

func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	return min(int(math.Log(float64(took)/float64(firstBucket))/bucketWidth)+1, timeBuckets-1)
}

// logTime returns the natural logarithm of the middle of a bucket, in units of
// firstBucket.
func logTime(bucket int) float64 { return (float64(bucket) - 0.5) * bucketWidth }

// UsedBuckets returns the range of buckets of Times outside of which there are no times.
func (c *Counts) UsedBuckets() (first, last int) {
	for last = timeBuckets; last > 0 && c.Times[last-1] == 0; last-- {
		continue
	}
	for first < last && c.Times[first] == 0 {
		first++
	}
	return first, last
}

// add adds other.
func (c *Counts) add(other Counts) {
	c.Answers += other.Answers
	c.Failures += other.Failures
	for i, n := range other.Times {
		c.Times[i] += n
	}
}

// minus returns c less the counts of an earlier moment.
func (c *Counts) minus(earlier Counts) Counts {
	difference := Counts{Answers: c.Answers - earlier.Answers, Failures: c.Failures - earlier.Failures}
	for i, n := range c.Times {
		difference.Times[i] = n - earlier.Times[i]
	}
	return difference
}

// Report is what a daemon of the service tells the coordinator.
type Report struct {
	// Service and Position identify the rollout. Requests for several services that were
	// written in one transaction share a position.
	Service  string
	Position store.Position
	// Phase is the phase that the daemon is in.
	Phase Phase
	// Version is that of its upstream; empty if it has none.
	Version string
	// TakesWork and Slots say what the upstream can run.
	TakesWork bool
	Slots     int
	// Drained is set while the admission controller is closed and no request is left.
	Drained bool
	// Unreachable are the members of the service that the daemon connects to and
	// does not reach.
	Unreachable []string
	// Routes holds the counts since the daemon knows of the rollout, by route.
	Routes map[string]Counts
}

// answers returns the number of answers over all routes.
func (r *Report) answers() uint32 {
	total := uint32(0)
	for _, c := range r.Routes {
		total += c.Answers
	}
	return total
}

const (
	// snapshotInterval is the time between two snapshots of an upstream's counts.
	snapshotInterval = 500 * time.Millisecond
	// longWindow and shortWindow are the recent times that are judged apart from the
	// whole, so that a version that turns bad later is not covered by its good start.
	longWindow  = 4 * time.Second
	shortWindow = 2 * time.Second
	// maxSnapshots covers longWindow.
	maxSnapshots = int(longWindow/snapshotInterval) + 2
)

// history holds the reports about one upstream.
type history struct {
	latest Report
	at     time.Duration
	// snapshots are earlier counts, oldest first.
	snapshots []snapshot
}

type snapshot struct {
	at     time.Duration
	routes map[string]Counts
}

// record takes a report. Counts that have decreased are those of a new process.
func (h *history) record(now time.Duration, report Report) {
	if report.answers() < h.latest.answers() || report.Version != h.latest.Version {
		h.snapshots = nil
	}
	if len(h.snapshots) == 0 || now-h.snapshots[len(h.snapshots)-1].at >= snapshotInterval {
		h.snapshots = append(h.snapshots, snapshot{now, report.Routes})
		if len(h.snapshots) > maxSnapshots {
			h.snapshots = h.snapshots[1:]
		}
	}
	h.latest, h.at = report, now
}

// window returns the counts since the given time before now, or all if length is 0.
func (h *history) window(now, length time.Duration) map[string]Counts {
	if length == 0 {
		return h.latest.Routes
	}
	var base map[string]Counts
	for _, s := range h.snapshots {
		if s.at > now-length {
			break
		}
		base = s.routes
	}
	if base == nil {
		return h.latest.Routes
	}
	difference := map[string]Counts{}
	for route, counts := range h.latest.Routes {
		difference[route] = counts.minus(base[route])
	}
	return difference
}
