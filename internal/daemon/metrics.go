package daemon

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"godwitmount/internal/rollout"
	"godwitmount/internal/store"
)

// storeMetrics holds the metrics of the daemon's use of the store.
type storeMetrics struct {
	eraChanges prometheus.Counter
	// proofReads counts the reads of the configuration for a newer proof.
	proofReads prometheus.Counter
}

// newStoreMetrics registers the metrics of the store's era and of the reads of it.
func newStoreMetrics(registerer prometheus.Registerer, eras *store.EraTracker) (*storeMetrics, error) {
	m := &storeMetrics{
		eraChanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "godwitmount_store_era_changes_total", Help: "Times that the store came back from an older copy while this process ran.",
		}),
		proofReads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "godwitmount_proof_reads_total", Help: "Reads of the store for a newer proof of the configuration in force.",
		}),
	}
	era := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "godwitmount_store_era", Help: "Latest era in the store's answers; 0 before the first one.",
	}, func() float64 { return float64(eras.Latest()) })
	for _, c := range []prometheus.Collector{m.eraChanges, m.proofReads, era} {
		if err := registerer.Register(c); err != nil {
			return nil, fmt.Errorf("register metric: %w", err)
		}
	}
	return m, nil
}

// registerRolloutMetrics registers the metrics of the rollout of this daemon's service.
// They are 0 while there is none.
func registerRolloutMetrics(registerer prometheus.Registerer, rollouts *rolloutControl) error {
	gauge := func(name, help string, value func(v rollout.View, score float64) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
			if v, score, found := rollouts.own(); found {
				return value(v, score)
			}
			return 0
		})
	}
	for _, c := range []prometheus.Collector{
		gauge("godwitmount_rollout_phase", "Phase of the rollout of the instance's service; 0 for none.",
			func(v rollout.View, _ float64) float64 { return float64(v.Phase) }),
		gauge("godwitmount_rollout_share", "Share of the service's requests that goes to the new version.",
			func(v rollout.View, _ float64) float64 { return rollouts.daemon.proxy.RolloutShare(v.Service) }),
		gauge("godwitmount_rollout_score", "Result of the test that speaks most against the new version, at the coordinator.",
			func(_ rollout.View, score float64) float64 { return score }),
	} {
		if err := registerer.Register(c); err != nil {
			return fmt.Errorf("register metric: %w", err)
		}
	}
	return nil
}
