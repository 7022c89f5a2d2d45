// Package step holds the few types that every reducer shares: what a step is
// told about time and chance, and what an event and an effect are.
//
// A reducer is a value with a Step method. It does no I/O, reads no clock and
// draws no random numbers of its own; all of these come in with the step, and
// the work to be done comes out as effects, which the daemon carries out.
package step

import "time"

// Moment is what a step knows of time and chance.
type Moment struct {
	// Now is the monotonic time since the process started.
	Now time.Duration
	// Wall is the wall clock, for expiry times that cross processes.
	Wall time.Time
	// Random is a fresh 64-bit random number; reducers that need more derive
	// them from it.
	Random uint64
}

// Event is something that happened and that a reducer is told about.
type Event interface {
	// EventName is a short lower-case name for logs and transcripts.
	EventName() string
}

// Effect is work a reducer asks for.
type Effect interface {
	// EffectName is a short lower-case name for logs and transcripts.
	EffectName() string
}

// Tick is the periodic event every reducer receives.
type Tick struct{}

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// Paused tells every reducer that the process stood still for Gap: leases and
// tenures held before it count as lapsed.
type Paused struct {
	Gap time.Duration
}

// EventName implements Event.
func (Paused) EventName() string { return "paused" }
