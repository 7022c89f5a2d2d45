package daemon

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/event"
	"godwitmount/internal/freshness"
	"godwitmount/internal/proxy"
	"godwitmount/internal/store"
)

// proofTick is the interval at which the age of the proof is checked. Requests are
// checked on their own.
const proofTick = 50 * time.Millisecond

// ticksToLog is the number of checks without a proof after which that is logged. A
// daemon that starts may get its configuration from a peer and the proof shortly after.
const ticksToLog = 4

// newFreshness returns the tracker of the proof that the configuration in force is
// recent, or nil if the settings require none.
func (d *Daemon) newFreshness() *freshness.SharedTracker {
	s := d.cfg.Settings
	if !s.StrictRevoke {
		return nil
	}
	limit := s.RevokeLimit.Std()
	// steps is the number of different shares that daemons get.
	const steps = 1 << 10
	return freshness.NewSharedTracker(freshness.Config{
		MaxAge: limit - freshness.Margin(limit),
		Share:  float64(xxhash.Sum64String(s.Instance)%steps) / steps,
	}, d.cfg.BootClock)
}

// registerProofMetrics registers the metric of the proof's age.
func (d *Daemon) registerProofMetrics() error {
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "godwitmount_proof_age_seconds", Help: "Largest possible age of the proof that the configuration in force is the newest; 0 if none is needed, +Inf if there is none.",
	}, func() float64 {
		age, proven := d.freshness.Age()
		if d.freshness != nil && !proven {
			return math.Inf(1)
		}
		return age.Seconds()
	})
	if err := d.registry.Register(age); err != nil {
		return fmt.Errorf("register metric: %w", err)
	}
	return nil
}

// configAnswered records an answer of the store to a read or watch of the
// configuration, whose rows were applied or rejected. While the newest configuration is
// rejected, it proves nothing: that one may have removed keys of the one in force.
func (d *Daemon) configAnswered(rows store.Rows) {
	d.storeAnswered(rows, !rows.More && !d.newestRejected.Load())
}

// registerRejectedMetric registers the metric of a rejected configuration.
func (d *Daemon) registerRejectedMetric() error {
	rejected := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "godwitmount_config_rejected", Help: "1 while the newest configuration that was read from the store is not in force because it was rejected.",
	}, func() float64 {
		if d.newestRejected.Load() {
			return 1
		}
		return 0
	})
	if err := d.registry.Register(rejected); err != nil {
		return fmt.Errorf("register metric: %w", err)
	}
	return nil
}

// clockRead records the store's clock in an answer that says nothing about the
// configuration.
func (d *Daemon) clockRead(rows store.Rows) { d.storeAnswered(rows, false) }

func (d *Daemon) storeAnswered(rows store.Rows, newest bool) {
	if rows.Reading == (store.Reading{}) {
		return
	}
	d.freshness.StoreAnswered(freshness.Answer{Reading: rows.Reading, Era: rows.Position.Era, Newest: newest})
}

// peerProved passes the proof in a peer's state on, if it is one for the configuration
// in force.
func (d *Daemon) peerProved(state *hopv1.State) {
	table := d.proxy.ActiveTable()
	if d.freshness == nil || table == nil {
		return
	}
	if proof, ok := proxy.PeerProof(state, table.Version); ok {
		d.freshness.PeerProved(proof)
	}
}

// keepProof looks for a newer proof when the newest one gets old, and logs when
// requests with keys begin or cease to be served, until ctx ends. It does nothing while
// the configuration in force has no customers.
func (d *Daemon) keepProof(ctx context.Context) {
	if d.freshness == nil {
		return
	}
	ticker := time.NewTicker(proofTick)
	defer ticker.Stop()
	served, refused := true, 0
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		table := d.proxy.ActiveTable()
		if table == nil || !table.HasCustomers() {
			continue
		}
		search := d.freshness.Next()
		if search.Ask {
			d.peers.AskForProof(table.Version, round)
		}
		if search.Read {
			setLatest(d.proveOnce, struct{}{})
		}
		if d.freshness.Verdict().Serve {
			refused = 0
		} else {
			refused++
		}
		switch {
		case served && refused >= ticksToLog, !served && refused == 0:
			served = !served
			d.logServed(served)
		}
	}
}

// logServed logs that requests with keys are served from now on, or no longer.
func (d *Daemon) logServed(served bool) {
	age, proven := d.freshness.Age()
	fields := []zap.Field{zap.Bool("proven", proven), zap.Duration("age", age), zap.Bool("store_lost", d.proxy.StoreUnavailable())}
	if served {
		d.log.Event(event.KeysProven, fields...)
		return
	}
	d.log.Warn(event.KeysUnproven, fields...)
}
