package daemon

import (
	"time"

	"godwitmount/internal/quarantine"
	"godwitmount/internal/step"
)

// tracker watches what the local upstream runs.
func (d *Daemon) tracker() *quarantine.Tracker {
	return quarantine.NewTracker(d.quarantine, d.loop.post, time.Now)
}

// performQuarantine carries out the effects of the quarantine.
func (d *Daemon) performQuarantine(effect step.Effect) {
	if changed, ok := effect.(quarantine.SetChanged); ok {
		d.quarantine.Replace(changed.Entries)
	}
}
