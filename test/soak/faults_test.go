package soak

import (
	"context"
	"slices"
	"sync"
	"time"

	"godwitmount/internal/faultlink"
	"godwitmount/platform/platformtest"
)

// faultStack applies faults that may overlap to a link or the store, each of which has
// one fault at a time: the last one that began and is not over.
type faultStack[F faultlink.Fault | platformtest.Fault] struct {
	// set makes a fault take effect; the zero fault is none.
	set func(F)

	mu     sync.Mutex
	active []*F
}

// begin makes a fault take effect and returns the function that ends it.
func (s *faultStack[F]) begin(fault F) (end func()) {
	entry := &fault
	s.change(func() { s.active = append(s.active, entry) })
	return func() {
		s.change(func() { s.active = slices.DeleteFunc(s.active, func(f *F) bool { return f == entry }) })
	}
}

func (s *faultStack[F]) change(edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit()
	var last F
	if len(s.active) > 0 {
		last = *s.active[len(s.active)-1]
	}
	s.set(last)
}

// subject is what a disturbance concerns: the store, the process of a node's daemon, which
// is killed, or its reach, which ends with a pause or a fault of its link.
type subject struct {
	what string
	node int
}

var (
	theStore = subject{what: "store"}
	// theMachine is disturbed while processes get no processor time for machineStall.
	theMachine = subject{what: "machine"}
)

func process(node int) subject { return subject{"process", node} }

func reach(node int) subject { return subject{"reach", node} }

const (
	// machineStall is how much later than asked for a timer of this process must fire for
	// the machine to count as too busy to run the daemons in time, and stallInterval how
	// often that is watched.
	machineStall  = 50 * time.Millisecond
	stallInterval = 10 * time.Millisecond
)

// watchMachine records until ctx ends when the machine was too busy. It returns the time
// that this took in all.
func (d *disturbances) watchMachine(ctx context.Context) time.Duration {
	var stalled time.Duration
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(stallInterval)
		now := time.Now()
		if now.Sub(began) < stallInterval+machineStall {
			continue
		}
		stalled += now.Sub(began)
		d.mu.Lock()
		d.all = append(d.all, &disturbance{subject: theMachine, from: began, to: now, over: true})
		d.mu.Unlock()
	}
	return stalled
}

// disturbance is a time during which a subject did not work as usual.
type disturbance struct {
	subject  subject
	from, to time.Time
	// over is set once to is known.
	over bool
}

// disturbances records what excuses a daemon from a bound in time.
type disturbances struct {
	mu  sync.Mutex
	all []*disturbance
}

// begin records the begin of a disturbance, before it takes effect, and returns the
// function to be called when it is over.
func (d *disturbances) begin(subject subject) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := &disturbance{subject: subject, from: time.Now()}
	d.all = append(d.all, entry)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		entry.to, entry.over = time.Now(), true
	}
}

// settled returns the first time by which, after from, none of the subjects has been
// disturbed for the whole length. It returns false if a disturbance that is not over
// precedes that time.
func (d *disturbances) settled(from time.Time, length time.Duration, subjects ...subject) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	relevant := slices.DeleteFunc(slices.Clone(d.all), func(e *disturbance) bool { return !slices.Contains(subjects, e.subject) })
	slices.SortFunc(relevant, func(a, b *disturbance) int { return a.from.Compare(b.from) })
	for _, e := range relevant {
		if !e.from.Before(from.Add(length)) {
			break
		}
		if !e.over {
			return time.Time{}, false
		}
		if e.to.After(from) {
			from = e.to
		}
	}
	return from.Add(length), true
}
