package rollout

import (
	"sync/atomic"
	"time"
)

const (
	// maxViewAge is the age of what a daemon knows of rollouts from which its upstream gets
	// no requests during one: the process did not run, and the rollout may have gone on
	// without it.
	maxViewAge = 1500 * time.Millisecond
	// mayBeGoneAfter is the length of a pause from which others may count this daemon as
	// gone at its end or soon after: goneAfter less the time in which it closes.
	mayBeGoneAfter = 3 * time.Second
	// shortHold and longHold are how long after a pause the upstream gets no requests. What
	// peers report on open connections arrives within the first. Within the second, the
	// connections that were lost during the pause are found to be, also if nothing says so,
	// and the daemon knows whether it is isolated.
	shortHold = 500 * time.Millisecond
	longHold  = 2500 * time.Millisecond
)

// ViewAge tells whether what the data path knows of rollouts may have been overtaken
// because the process did not run. Its times are those of a clock that goes on while the
// machine is suspended. All methods may be called from any goroutine.
type ViewAge struct {
	refreshed, heldUntil atomic.Int64
}

// NewViewAge returns the age of a process that has just started.
func NewViewAge(now time.Duration) *ViewAge {
	a := &ViewAge{}
	a.refreshed.Store(int64(now))
	return a
}

// Refresh records that the process runs. Whoever calls it first after a pause begins the
// hold, and no later call ends it early.
func (a *ViewAge) Refresh(now time.Duration) {
	pause := now - time.Duration(a.refreshed.Load())
	if pause > maxViewAge {
		hold := shortHold
		if pause >= mayBeGoneAfter {
			hold = longHold
		}
		a.heldUntil.Store(int64(now + hold))
	}
	a.refreshed.Store(int64(now))
}

// Current reports whether the upstream may get requests during a rollout.
func (a *ViewAge) Current(now time.Duration) bool {
	// Refresh stores the hold first.
	refreshed := time.Duration(a.refreshed.Load())
	return now-refreshed <= maxViewAge && now >= time.Duration(a.heldUntil.Load())
}
