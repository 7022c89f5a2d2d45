package daemon

import (
	"go.uber.org/zap"

	"godwitmount/internal/event"
	"godwitmount/internal/settings"
)

// Reload takes settings that were read again. The service of the instance and
// the store's address take effect at once; other changes at the next start.
func (d *Daemon) Reload(fresh *settings.Daemon) {
	d.reload.Lock()
	defer d.reload.Unlock()
	now := d.taken
	now.Service, now.StoreAddress = fresh.Service, fresh.StoreAddress
	changed := now != d.taken
	d.proxy.SetService(fresh.Service)
	d.cfg.Platform.Store.SetAddress(fresh.StoreAddress)
	d.taken = now
	d.log.Event(event.SettingsReread, zap.Bool("changed", changed), zap.Bool("rest_at_next_start", now != *fresh))
}

// RefuseReload notes that the settings could not be read again; those in force
// stay.
func (d *Daemon) RefuseReload(err error) { d.log.Warn(event.SettingsReread, zap.Error(err)) }
