package daemon

import (
	"go.uber.org/zap"

	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/settings"
)

// Reload applies settings that were read again. The instance's service and the
// store's address take effect immediately, other changes at the next start.
func (d *Daemon) Reload(fresh *settings.Daemon) {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	updated := d.effective
	updated.Service, updated.StoreAddress = fresh.Service, fresh.StoreAddress
	changed := updated != d.effective
	d.proxy.SetService(fresh.Service)
	d.loop.post(control.ServiceChanged{Service: fresh.Service})
	d.cfg.Platform.Store.SetAddress(fresh.StoreAddress)
	if updated.StoreAddress != d.effective.StoreAddress {
		d.storeAddressChanged()
	}
	d.effective = updated
	d.log.Event(event.SettingsReread, zap.Bool("changed", changed), zap.Bool("rest_at_next_start", updated != *fresh))
}

// storeAddressChanged makes this daemon read both tables in full: neither the clocks nor
// the positions of two stores can be compared.
func (d *Daemon) storeAddressChanged() {
	d.freshness.Reset()
	d.storeAddressChanges.Add(1)
	setLatest(d.readOnce, struct{}{})
	setLatest(d.readMembers, struct{}{})
}

// readChangedService reads the settings again if they name another service than the given one,
// which an upstream reports: they may have changed since they were read.
func (d *Daemon) readChangedService(reported string) {
	if d.cfg.ReadSettings == nil || reported == d.service() {
		return
	}
	fresh, err := d.cfg.ReadSettings()
	if err != nil {
		d.LogReloadError(err)
		return
	}
	if fresh.Service == reported {
		d.Reload(fresh)
	}
}

// service returns the upstream's service in the settings in force.
func (d *Daemon) service() string {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	return d.effective.Service
}

// LogReloadError logs that the settings could not be read again. The settings in
// force stay.
func (d *Daemon) LogReloadError(err error) { d.log.Warn(event.SettingsReread, zap.Error(err)) }
