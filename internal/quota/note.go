package quota

import (
	"cmp"
	"slices"
	"time"
)

// NoteKind is the kind of a Note.
type NoteKind uint8

// The kinds of notes.
const (
	// NoteOwner: this daemon holds the customer's bucket from now on.
	NoteOwner NoteKind = iota
	// NoteShare: the data centre's share of the customer's allowance changed.
	NoteShare
	// NoteUnavailable: the owner did not answer.
	NoteUnavailable
	// NotePaused: the process did not run for a while, so that buckets were dropped.
	NotePaused
)

// Note is something that operators want to know.
type Note struct {
	Kind     NoteKind
	Customer string
	Owner    string
	Share    float64
	Change   float64
	Level    float64
	Pause    time.Duration
}

// maxNotes bounds the notes between two calls of Notes.
const maxNotes = 64

func (l *Limiter) note(n Note) {
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, n)
	}
}

// Notes returns the notes since the last call.
func (l *Limiter) Notes() []Note {
	notes := l.notes
	l.notes = nil
	return notes
}

// Buckets returns the number of buckets at this daemon.
func (l *Limiter) Buckets() int {
	held := 0
	for _, c := range l.customers {
		if c.bucket != nil {
			held++
		}
	}
	return held
}

// Status is the state of one customer with traffic at this daemon.
type Status struct {
	Customer string
	Limit    Limit
	// Owner is the daemon that owns the bucket of the data centre by this daemon's
	// view; Held is set if this daemon holds the bucket. Level, Depth, Rate and
	// Demand are then set.
	Owner  string
	Held   bool
	Level  float64
	Depth  float64
	Rate   float64
	Demand float64
	// Share is the last known share of the data centre, 0 to 1.
	Share float64
}

// Status returns the state of the customers with traffic, sorted by name.
func (l *Limiter) Status(now time.Duration) []Status {
	all := make([]Status, 0, len(l.customers))
	for _, c := range l.customers {
		s := Status{Customer: c.name, Limit: c.limit, Share: l.share(c)}
		if l.views.known() {
			s.Owner = l.ownerOf(c)
		}
		if b := c.bucket; b != nil {
			b.refill(now)
			s.Held, s.Level, s.Depth, s.Rate = true, b.level, b.depth, b.rate
			s.Demand = b.demand.value(now, demandTime)
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Customer, b.Customer) })
	return all
}
