package daemon

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"godwitmount/internal/store"
)

// storeMetrics holds the metrics of the store's era.
type storeMetrics struct {
	eraChanges prometheus.Counter
	// proofReads counts the reads of the configuration for a newer proof.
	proofReads prometheus.Counter
}

// newStoreMetrics registers the metrics of the store's era.
func newStoreMetrics(registerer prometheus.Registerer, eras *store.EraTracker) (*storeMetrics, error) {
	m := &storeMetrics{eraChanges: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "godwitmount_store_era_changes_total", Help: "Times that the store came back from an older copy while this process ran.",
	}), proofReads: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "godwitmount_proof_reads_total", Help: "Reads of the store for a newer proof of the configuration in force.",
	})}
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
