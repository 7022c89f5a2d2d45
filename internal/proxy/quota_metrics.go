package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"godwitmount/internal/quota"
	"godwitmount/internal/status"
)

// MembersUnread reports whether this daemon has not read its own entry of the member table,
// so that it grants no tokens.
func (p *Proxy) MembersUnread() bool { return p.deps.Peers.membersUnread() }

// QuotaStatus returns the status of the customers with a limit that have sent requests
// lately.
func (p *Proxy) QuotaStatus() []status.Quota {
	now := p.quotas.lock()
	defer p.quotas.unlock()
	var all []status.Quota
	for _, s := range p.quotas.limiter.Status(now) {
		all = append(all, status.Quota{
			Customer: s.Customer, RatePerSecond: s.Limit.Rate, Burst: s.Limit.Burst, Owner: s.Owner, Share: s.Share,
			Held: s.Held, Level: s.Level, Depth: s.Depth, Demand: s.Demand,
		})
	}
	return all
}

// quotaMetrics counts the decisions and messages of the quotas.
type quotaMetrics struct {
	decisions *prometheus.CounterVec
	messages  *prometheus.CounterVec
	returned  prometheus.Counter
	buckets   prometheus.Gauge
	waits     prometheus.Histogram
}

// The values of the labels of quotaMetrics.
const (
	quotaAdmitted = "admitted"
	quotaOwnShare = "own-share"
	quotaRefused  = "refused"
	quotaTokens   = "tokens"
	quotaTakeover = "takeover"
	quotaRelay    = "relay"
	quotaPull     = "pull"
)

// quotaWaitBuckets are histogram bucket bounds in seconds, up to quotaTimeout.
var quotaWaitBuckets = []float64{0.0001, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05}

func newQuotaMetrics() *quotaMetrics {
	m := &quotaMetrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "godwitmount_quota_decisions_total", Help: "Requests of customers with a limit, by decision.",
		}, []string{"decision"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "godwitmount_quota_messages_total", Help: "Messages sent to other daemons for quotas, by kind.",
		}, []string{"kind"}),
		returned: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "godwitmount_quota_tokens_returned_total", Help: "Tokens of requests that ended as not run.",
		}),
		buckets: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "godwitmount_quota_buckets", Help: "Customers whose token bucket for the data centre is at this daemon.",
		}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "godwitmount_quota_wait_seconds", Help: "Time for which requests waited for a token.", Buckets: quotaWaitBuckets,
		}),
	}
	for _, decision := range []string{quotaAdmitted, quotaOwnShare, quotaRefused} {
		m.decisions.WithLabelValues(decision)
	}
	for _, kind := range []string{quotaTokens, quotaTakeover, quotaRelay, quotaPull} {
		m.messages.WithLabelValues(kind)
	}
	return m
}

func (m *quotaMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.decisions, m.messages, m.returned, m.buckets, m.waits}
}

// recordDecision counts Admit and Refuse.
func (m *quotaMetrics) recordDecision(d quota.Decision) {
	switch {
	case d.Action == quota.Admit && d.Token.Own():
		m.decisions.WithLabelValues(quotaOwnShare).Inc()
	case d.Action == quota.Admit:
		m.decisions.WithLabelValues(quotaAdmitted).Inc()
	case d.Action == quota.Refuse:
		m.decisions.WithLabelValues(quotaRefused).Inc()
	}
}

func (m *quotaMetrics) recordMessage(r quota.Request) {
	kind := quotaTokens
	switch {
	case r.Pull:
		kind = quotaPull
	case r.Takeover:
		kind = quotaTakeover
	case r.Relayed:
		kind = quotaRelay
	}
	m.messages.WithLabelValues(kind).Inc()
}

func (m *quotaMetrics) recordWait(wait time.Duration) { m.waits.Observe(wait.Seconds()) }
