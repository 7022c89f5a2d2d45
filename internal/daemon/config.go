package daemon

import (
	"godwitmount/internal/control"
	"godwitmount/internal/hop"
	"godwitmount/internal/step"
)

// readConfig decodes a configuration read from the store, compresses its source
// for peers, and returns once the control loop has applied or rejected it, so that the
// store's answer proves what is in force.
func (d *Daemon) readConfig(source []byte) {
	packed, err := hop.CompressConfig(source)
	ev := step.Event(control.ConfigRejected{Err: err, From: control.FromStore})
	if err == nil {
		ev = d.decodeConfig(source, packed, control.FromStore)
	}
	// It fails only if the daemon has ended.
	_ = d.loop.do(d.background, ev)
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
