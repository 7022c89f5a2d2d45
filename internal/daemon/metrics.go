package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
)

// metrics are the numbers of the control side; the data path has its own.
type metrics struct {
	registry *prometheus.Registry
	version  prometheus.Gauge
	applied  prometheus.Counter
	refusals *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		registry: registry,
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "godwitmount_config_version",
			Help: "Version of the configuration in force, 0 for none.",
		}),
		applied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "godwitmount_config_applied_total",
			Help: "Configurations that came into force.",
		}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "godwitmount_config_refused_total",
			Help: "Configurations refused, by result code.",
		}, []string{"code"}),
	}
	registry.MustRegister(m.version, m.applied, m.refusals)
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) inForce(id manifest.ID) {
	m.version.Set(float64(id.Version))
	m.applied.Inc()
}

func (m *metrics) refused(reason code.Code) {
	m.refusals.WithLabelValues(reason.String()).Inc()
}

// watch registers the numbers that are read when asked for.
func (m *metrics) watch(d *Daemon) {
	m.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "godwitmount_control_events_dropped_total",
			Help: "Events dropped because the control queue was full.",
		}, func() float64 { return float64(d.loop.overflows.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "godwitmount_control_queue_events",
			Help: "Events that wait for the control goroutine.",
		}, func() float64 { return float64(len(d.loop.events)) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "godwitmount_upstreams",
			Help: "Upstreams in the snapshot that take calls, of all services.",
		}, d.countUpstreams),
	)
}

func (d *Daemon) countUpstreams() float64 {
	snapshot := d.snapshot.Load()
	if snapshot == nil {
		return 0
	}
	total := 0
	for _, pool := range snapshot.Services {
		total += len(pool)
	}
	return float64(total)
}
