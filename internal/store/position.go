package store

import "sync"

// Era counts how often the store has come back from an older copy of its data.
// Versions decrease when it does, and are given out again, so that they are only
// comparable within one era.
type Era uint64

// Position is a point in the history of the store.
type Position struct {
	Era Era
	// Version comes from one counter over all tables; a later change of any row
	// in the same era has a larger version.
	Version uint64
}

// After reports whether p is later than q. Any position of a later era is.
func (p Position) After(q Position) bool {
	if p.Era != q.Era {
		return p.Era > q.Era
	}
	return p.Version > q.Version
}

// EraListener holds callbacks for what the store's answers say about its era.
// They must not block.
type EraListener struct {
	// Advanced is called with the first era and with each later one.
	Advanced func(Era)
	// Unreadable is called once, with the text of the first era that is missing
	// or malformed. The store then counts as being in era 0.
	Unreadable func(text string)
}

// EraTracker keeps the latest era that the answers of the store have carried. Its
// methods may be called from any goroutine. The zero value is ready for use.
type EraTracker struct {
	mu       sync.Mutex
	listener EraListener
	latest   Era
	// known is set from the first answer on, unreadable from the first one
	// without a valid era on.
	known      bool
	unreadable bool
}

// SetListener sets the callbacks. It must be called before the first answer.
func (t *EraTracker) SetListener(listener EraListener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = listener
}

// Observe records the era of an answer and reports whether the answer may be
// used. One of an earlier era than the latest describes rows that the store has
// lost since.
func (t *EraTracker) Observe(era Era) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && era <= t.latest {
		return era == t.latest
	}
	t.known, t.latest = true, era
	if t.listener.Advanced != nil {
		t.listener.Advanced(era)
	}
	return true
}

// ObserveUnreadable records an answer whose era is missing or malformed, like
// Observe does for era 0.
func (t *EraTracker) ObserveUnreadable(text string) bool {
	t.mu.Lock()
	first := !t.unreadable
	t.unreadable = true
	listener := t.listener
	t.mu.Unlock()
	if first && listener.Unreadable != nil {
		listener.Unreadable(text)
	}
	return t.Observe(0)
}

// Latest returns the latest era, or 0 before the first answer.
func (t *EraTracker) Latest() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}
