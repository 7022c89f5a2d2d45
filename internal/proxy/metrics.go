package proxy

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"godwitmount/internal/claim"
	"godwitmount/internal/code"
)

// metrics are the data path's counters.
type metrics struct {
	calls       *prometheus.CounterVec
	cached      sync.Map // of callKey to prometheus.Counter
	added       prometheus.Histogram
	abortedVec  *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	noBudget    prometheus.Counter
	ejections   *prometheus.CounterVec
	claims      *prometheus.CounterVec
	releases    *prometheus.CounterVec
	fencesAsked *prometheus.CounterVec
	fencesMade  *prometheus.CounterVec
	crashes     prometheus.Counter
	throttles   *prometheus.CounterVec
}

// callKey names one counter of calls.
type callKey struct {
	route   string
	outcome code.Outcome
	code    code.Code
}

const namespace = "godwitmount"

func newMetrics(registerer prometheus.Registerer, p *Proxy) (*metrics, error) {
	m := &metrics{
		calls:       counters("calls_total", "Calls answered, by route, outcome and code; outcome and code are empty and 0 for answers of upstreams.", "route", "outcome", "code"),
		abortedVec:  counters("answers_aborted_total", "Answers that ended early and were broken off towards the caller.", "route"),
		refusals:    counters("attempts_refused_total", "Attempts of other daemons that this one refused, by code.", "code"),
		retries:     counters("retries_total", "Further sends of calls, by ground.", "ground"),
		ejections:   counters("ejections_total", "Upstreams that this daemon passed over because of their failures.", "service"),
		throttles:   counters("calls_throttled_total", "Calls refused where they came in because the service sheds most of its load.", "service"),
		claims:      counters("claims_total", "Claims asked for, by the holder's decision.", "decision"),
		releases:    counters("claim_releases_total", "Claims given back after a proved not-run, by result.", "result"),
		fencesAsked: counters("fences_asked_total", "Fences asked of other daemons, by result.", "result"),
		fencesMade:  counters("fences_served_total", "Fences served for other daemons, by result.", "result"),
	}
	m.added = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "added_latency_seconds",
		Help:      "Time of an answered call less the time the upstream took.",
		Buckets:   prometheus.ExponentialBuckets(0.00005, 2, 16),
	})
	m.noBudget = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "retry_budget_exhausted_total", Help: "Retries not made because the budget was spent."})
	m.crashes = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "upstream_crashes_total", Help: "Requests that were in flight when the local upstream was lost."})
	return m, m.register(registerer, p)
}

func (m *metrics) register(registerer prometheus.Registerer, p *Proxy) error {
	all := []prometheus.Collector{
		m.calls, m.abortedVec, m.refusals, m.retries, m.ejections, m.claims, m.releases,
		m.fencesAsked, m.fencesMade, m.added, m.noBudget, m.crashes, m.throttles,
		gauge("upstream_requests_running", "Requests that have a slot of the local upstream.", func() float64 { return float64(p.gate.Running()) }),
		gauge("upstream_requests_queued", "Requests that wait for a slot of the local upstream.", func() float64 { return float64(p.gate.Waiting()) }),
		gauge("upstream_service_time_seconds", "Recent mean time that a slot is held.", func() float64 { return p.gate.ServiceTime().Seconds() }),
		gauge("calls_in_flight", "Calls of callers that are not answered.", func() float64 { return float64(p.entering.Load()) }),
		gauge("retry_budget_retries", "Retries left in the rules' budgets together.", p.budgetBalance),
	}
	for _, collector := range all {
		if err := registerer.Register(collector); err != nil {
			return fmt.Errorf("register metric: %w", err)
		}
	}
	return nil
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read)
}

// answered counts a final answer to a caller.
func (m *metrics) answered(route string, outcome code.Outcome, c code.Code) {
	key := callKey{route, outcome, c}
	counter, ok := m.cached.Load(key)
	if !ok {
		fresh := m.calls.WithLabelValues(route, string(outcome), strconv.Itoa(int(c)))
		counter, _ = m.cached.LoadOrStore(key, fresh)
	}
	counter.(prometheus.Counter).Inc()
}

func (m *metrics) addedLatency(d time.Duration) { m.added.Observe(d.Seconds()) }

func (m *metrics) aborted(route string) { m.abortedVec.WithLabelValues(route).Inc() }

func (m *metrics) refusedPeer(c code.Code) {
	m.refusals.WithLabelValues(strconv.Itoa(int(c))).Inc()
}

func (m *metrics) retried(ground why) { m.retries.WithLabelValues(string(ground)).Inc() }

func (m *metrics) budgetSpent() { m.noBudget.Inc() }

func (m *metrics) ejected(service string) { m.ejections.WithLabelValues(service).Inc() }

func (m *metrics) throttled(service string) { m.throttles.WithLabelValues(service).Inc() }

func (m *metrics) claimDecided(o claim.Outcome) { m.claims.WithLabelValues(o.String()).Inc() }

func (m *metrics) claimReleased(released bool) {
	result := "released"
	if !released {
		result = "not-confirmed"
	}
	m.releases.WithLabelValues(result).Inc()
}

func (m *metrics) fenceAsked(result string) { m.fencesAsked.WithLabelValues(result).Inc() }

func (m *metrics) fenceServed(notRun bool) {
	m.fencesMade.WithLabelValues(fenceResult(notRun)).Inc()
}

func (m *metrics) crashed() { m.crashes.Inc() }
