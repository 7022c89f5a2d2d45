package daemon

import (
	"godwitmount/internal/control"
	"godwitmount/internal/hop"
)

// readConfig decodes a configuration read from the store, compresses its source
// for peers, and posts the result to the control loop.
func (d *Daemon) readConfig(source []byte, from string) {
	packed, err := hop.CompressConfig(source)
	if err != nil {
		d.loop.post(control.ConfigRejected{Err: err, From: from})
		return
	}
	d.decodeConfig(source, packed, from)
}

// readPacked decompresses and decodes a configuration that a peer has sent, and
// posts the result to the control loop.
func (d *Daemon) readPacked(packed []byte, from string) {
	source, err := hop.DecompressConfig(packed)
	if err != nil {
		d.loop.post(control.ConfigRejected{Err: err, From: from})
		return
	}
	d.decodeConfig(source, packed, from)
}

func (d *Daemon) decodeConfig(source, packed []byte, from string) {
	version, m, err := d.cfg.Platform.ParseConfig(source)
	if err != nil {
		d.loop.post(control.ConfigRejected{Err: err, From: from})
		return
	}
	if from == control.FromStore {
		d.storeVersion.Store(version)
	}
	d.loop.post(control.ConfigRead{Version: version, Manifest: m, Packed: packed, From: from})
}
