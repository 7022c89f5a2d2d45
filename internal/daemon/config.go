package daemon

import (
	"time"

	"godwitmount/internal/control"
	"godwitmount/internal/hop"
	"godwitmount/internal/step"
)

// readConfig decodes a configuration read from the store, compresses its source
// for peers, and returns once the control loop has applied or rejected it, so that the
// store's answer proves what is in force.
func (d *Daemon) readConfig(source []byte) {
	packed, err := hop.CompressConfig(source)
	if err != nil {
		d.rejectConfig(err)
		return
	}
	ev := d.decodeConfig(source, packed, control.FromStore)
	// It fails only if the daemon has ended.
	_ = d.loop.do(d.background, ev)
	d.recordNewest(d.holds(ev))
}

// rejectConfig rejects the store's configuration, of which nothing can be read.
func (d *Daemon) rejectConfig(err error) {
	_ = d.loop.do(d.background, control.ConfigRejected{Err: err, From: control.FromStore})
	d.recordNewest(false)
}

// recordNewest records whether the newest configuration that was read from the store is in force.
func (d *Daemon) recordNewest(inForce bool) {
	d.newestRejected.Store(!inForce)
	if !inForce {
		d.rejectedAt = time.Now()
	}
}

// rereadInterval is the time after which a rejected configuration is read once more: only the
// answer that had it may have been damaged.
const rereadInterval = 5 * time.Second

// rereadRejected reports whether the configuration is to be read although it has not changed.
func (d *Daemon) rereadRejected() bool {
	return d.newestRejected.Load() && time.Since(d.rejectedAt) >= rereadInterval
}

// holds reports whether the configuration of an event, or a newer one, is in force.
func (d *Daemon) holds(ev step.Event) bool {
	read, ok := ev.(control.ConfigRead)
	table := d.proxy.ActiveTable()
	return ok && table != nil && table.Version >= read.Version
}

// readPacked decompresses and decodes a configuration that a peer has sent, and
// posts the result to the control loop.
func (d *Daemon) readPacked(packed []byte, from string) {
	source, err := hop.DecompressConfig(packed)
	if err != nil {
		d.loop.post(control.ConfigRejected{Err: err, From: from})
		return
	}
	d.loop.post(d.decodeConfig(source, packed, from))
}

// decodeConfig returns the event of a configuration that was read.
func (d *Daemon) decodeConfig(source, packed []byte, from string) step.Event {
	version, m, err := d.cfg.Platform.ParseConfig(source)
	if err != nil {
		return control.ConfigRejected{Err: err, From: from}
	}
	if from == control.FromStore {
		d.storeVersion.Store(version)
	}
	return control.ConfigRead{Version: version, Manifest: m, Packed: packed, From: from}
}
