package proxy

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"godwitmount/internal/code"
)

// metrics holds the counters and histograms that the data path updates.
type metrics struct {
	answers      *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	rollouts     *prometheus.CounterVec
	latency      prometheus.Histogram
	waits        prometheus.Histogram
	serviceTimes prometheus.Histogram
	unanswered   *prometheus.CounterVec
	hedges       *prometheus.CounterVec
	customers    *customerMetrics
	quotas       *quotaMetrics
}

// latencyBuckets are histogram bucket bounds in seconds. They range from a
// fraction of a millisecond to the longest deadlines in use.
var latencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 16)

// newMetrics registers all metrics of the data path, those computed on demand
// included.
func newMetrics(registerer prometheus.Registerer, p *Proxy) (*metrics, error) {
	m := &metrics{
		unanswered: newUnansweredCounter(),
		hedges:     newHedgeCounter(),
		customers:  newCustomerMetrics(),
		quotas:     newQuotaMetrics(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "godwitmount_answers_total", Help: "Answers to callers by status or result.",
		}, []string{"result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "godwitmount_execution_refusals_total", Help: "Requests that the executing daemon refused, by result.",
		}, []string{"result"}),
		rollouts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "godwitmount_rollout_requests_total", Help: "Requests at the upstream during a rollout of its service.",
		}, []string{"version", "outcome"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "godwitmount_answer_seconds", Help: "Time from a caller's request to its answer.", Buckets: latencyBuckets,
		}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "godwitmount_slot_wait_seconds", Help: "Time for which admitted requests waited for a slot.", Buckets: latencyBuckets,
		}),
		serviceTimes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "godwitmount_slot_hold_seconds", Help: "Time for which requests held a slot.", Buckets: latencyBuckets,
		}),
	}
	for _, version := range []string{"old", "new"} {
		for _, outcome := range []string{"answered", "failed"} {
			m.rollouts.WithLabelValues(version, outcome)
		}
	}
	gauges := []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "godwitmount_config_version", Help: "Version of the configuration in force; 0 for none.",
		}, func() float64 {
			if t := p.table.Load(); t != nil {
				return float64(t.Version)
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "godwitmount_slots_running", Help: "Requests at the upstream.",
		}, func() float64 { return float64(p.admissionController.Load().Running) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "godwitmount_slots_waiting", Help: "Requests that wait for a slot.",
		}, func() float64 { return float64(p.admissionController.Load().Waiting) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "godwitmount_log_lines_dropped_total", Help: "Log lines that were left out or could not be written.",
		}, func() float64 { return float64(p.deps.Log.Dropped()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "godwitmount_peers", Help: "Other daemons that are known.",
		}, func() float64 { return float64(p.deps.Peers.Count()) }),
		linkBacklogGauge("in", p.deps.Peers.inboundBacklog),
		linkBacklogGauge("out", p.deps.Peers.LinkBacklog),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "godwitmount_link_transfers", Help: "Large frames that peers have announced and of which not all has arrived.",
		}, func() float64 { return float64(p.deps.Peers.link.Inbound().Transfers()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "godwitmount_quota_members_unread", Help: "1 while customers have limits and this daemon grants no tokens because it has not read its own entry of the member table.",
		}, func() float64 {
			if p.HasLimits() && p.deps.Peers.membersUnread() {
				return 1
			}
			return 0
		}),
		resumedCounter("sent-again", &p.deps.Peers.resumed.sentAgain),
		resumedCounter("moved", &p.deps.Peers.resumed.moved),
		resumedCounter("lost", &p.deps.Peers.resumed.lost),
	}
	gauges = append(gauges, m.quotas.collectors()...)
	for _, c := range append(gauges, m.answers, m.unanswered, m.hedges, m.customers.answers, m.refusals, m.rollouts, m.latency, m.waits, m.serviceTimes) {
		if err := registerer.Register(c); err != nil {
			return nil, fmt.Errorf("register metric: %w", err)
		}
	}
	return m, nil
}

// linkBacklogGauge returns the gauge of the backlog in one direction of the machine's
// network link.
func linkBacklogGauge(direction string, backlog func() time.Duration) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "godwitmount_link_backlog_seconds", Help: "Time that the machine's network link needs for the large frames that wait for it, by direction.",
		ConstLabels: prometheus.Labels{"direction": direction},
	}, func() float64 { return backlog().Seconds() })
}

// resumedCounter returns the counter of requests in flight on a lost connection for one
// result.
func resumedCounter(result string, count *atomic.Int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "godwitmount_resumed_requests_total", Help: "Requests in flight on a lost or silent connection to a peer, by what became of them.",
		ConstLabels: prometheus.Labels{"result": result},
	}, func() float64 { return float64(count.Load()) })
}

// recordAnswer records the answer to a caller; result is the HTTP status or the
// result code.
func (m *metrics) recordAnswer(c *call, result string) {
	m.answers.WithLabelValues(result).Inc()
	m.latency.Observe(time.Since(c.started).Seconds())
}

// recordRefusal counts a request that this daemon refused to run.
func (m *metrics) recordRefusal(c code.Code) { m.refusals.WithLabelValues(c.String()).Inc() }

// recordRollout counts a request at the upstream during a rollout of its service.
func (m *metrics) recordRollout(newVersion, failed bool) {
	version, outcome := "old", "answered"
	if newVersion {
		version = "new"
	}
	if failed {
		outcome = "failed"
	}
	m.rollouts.WithLabelValues(version, outcome).Inc()
}

// recordRun records the time that a request held its slot and the time that it
// waited for it.
func (m *metrics) recordRun(serviceTime, wait time.Duration) {
	m.serviceTimes.Observe(serviceTime.Seconds())
	m.waits.Observe(wait.Seconds())
}
