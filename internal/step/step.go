// Package step defines the types that all reducers share: events, effects, and
// the clock readings and random number passed to each step.
//
// A reducer is a value with a Step method. It does no I/O, reads no clock and
// draws no random numbers; the caller passes all of these to the step. The
// reducer returns the work to be done as effects, which the daemon performs.
package step

import "time"

// Env holds the clock readings and the random number of one step.
type Env struct {
	// Now is the monotonic time since the process started.
	Now time.Duration
	// Wall is the wall clock, for expiry times shared between processes.
	Wall time.Time
	// Random is a fresh 64-bit random number; a reducer that needs more derives
	// them from it.
	Random uint64
}

// Event is an input to a reducer.
type Event interface {
	// EventName returns a short lower-case name for logs and transcripts.
	EventName() string
}

// Effect is work that a reducer requests.
type Effect interface {
	// EffectName returns a short lower-case name for logs and transcripts.
	EffectName() string
}

// Tick is the periodic event that every reducer receives.
type Tick struct{}

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// Resumed reports that the reducer had no step for longer than a tick can be late: the
// process or the machine was suspended. It comes before the first event after that.
type Resumed struct {
	// PausedFrom is when the last step before began.
	PausedFrom time.Duration
}

// EventName implements Event.
func (Resumed) EventName() string { return "resumed" }
