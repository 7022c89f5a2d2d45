package claim

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const fenceShards = 64

// FenceConfig bounds the memory of Fences.
type FenceConfig struct {
	// Memory is how long a decision is remembered at least, unless MaxAttempts
	// is reached before.
	Memory time.Duration
	// ClockSkew is how far an attempt's creation time may lie in the future.
	// It must be well below Memory.
	ClockSkew time.Duration
	// MaxAttempts is how many attempts are remembered.
	MaxAttempts int
}

// DefaultFenceConfig returns the defaults.
func DefaultFenceConfig() FenceConfig {
	return FenceConfig{Memory: 2 * time.Minute, ClockSkew: 30 * time.Second, MaxAttempts: 1 << 18}
}

// Fences decides for each attempt, once and for good, whether it starts or is
// fenced. It may be used from any goroutine.
//
// Attempt ids begin with their time of creation (see StampAttempt). Whenever a
// decision is forgotten, all attempts created up to then that are not
// remembered are refused from then on. So forgetting never makes a fenced
// attempt startable, whatever the clocks do.
//
// Attempts are told apart by a 64-bit hash of their id. Two ids with one hash
// share their fate, which errs on the side of not starting the second.
type Fences struct {
	cfg    FenceConfig
	now    func() time.Time
	shards [fenceShards]fenceShard
}

type fenceShard struct {
	mu sync.Mutex
	// started holds the decisions: true for started, false for fenced.
	started map[uint64]bool
	// order lists the decisions, oldest first.
	order []fenceDecision
	// floor is the latest creation time of any forgotten attempt.
	floor int64
}

// fenceDecision says when an attempt was created and decided, in Unix
// milliseconds.
type fenceDecision struct {
	attempt uint64
	created int64
	decided int64
}

// NewFences returns an empty memory. now is the wall clock, normally time.Now.
func NewFences(cfg FenceConfig, now func() time.Time) *Fences {
	f := &Fences{cfg: cfg, now: now}
	for i := range f.shards {
		f.shards[i].started = make(map[uint64]bool)
	}
	return f
}

const (
	// stampMark begins an attempt id that carries its time of creation.
	stampMark = "@"
	// stampBase is the base of that time.
	stampBase = 36
)

// StampAttempt begins an attempt id, to which the unique rest is appended: a
// mark, the time of creation as Unix milliseconds in base 36, and a dash.
func StampAttempt(id []byte, created time.Time) []byte {
	id = append(id, stampMark...)
	id = strconv.AppendInt(id, created.UnixMilli(), stampBase)
	return append(id, '-')
}

// createdAt reads the time of creation of an attempt in Unix milliseconds.
func createdAt(attempt string) (created int64, ok bool) {
	rest, marked := strings.CutPrefix(attempt, stampMark)
	stamp, _, found := strings.Cut(rest, "-")
	if !marked || !found {
		return 0, false
	}
	created, err := strconv.ParseInt(stamp, stampBase, 64)
	return created, err == nil && created > 0
}

// Start reports whether the attempt may start, and remembers that it did. It
// returns true at most once for an attempt, and never after Fence has returned
// true. Ids without a valid time of creation never start.
func (f *Fences) Start(attempt string) bool {
	_, decidedNow := f.decide(attempt, true)
	return decidedNow
}

// Fence reports whether the attempt has not started and never will. False
// means that it started or may have.
func (f *Fences) Fence(attempt string) bool {
	started, known := f.decide(attempt, false)
	return known && !started
}

// decide settles an attempt unless it was settled before. For start, ok tells
// whether it was settled now; for a fence, whether its fate is known.
func (f *Fences) decide(attempt string, start bool) (started, ok bool) {
	created, valid := createdAt(attempt)
	if !valid {
		return false, false
	}
	now := f.now().UnixMilli()
	id := xxhash.Sum64String(attempt)
	shard := &f.shards[id%fenceShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.forget(now-f.cfg.Memory.Milliseconds(), f.cfg.MaxAttempts/fenceShards)
	if started, known := shard.started[id]; known {
		return started, !start
	}
	if created <= shard.floor || created > now+f.cfg.ClockSkew.Milliseconds() {
		return false, false
	}
	shard.started[id] = start
	shard.order = append(shard.order, fenceDecision{attempt: id, created: created, decided: now})
	return start, true
}

// forget drops decisions made before a time, and the oldest ones when there
// are more than the limit allows beside a new one.
func (s *fenceShard) forget(before int64, limit int) {
	for len(s.order) > 0 && (s.order[0].decided < before || len(s.order) >= max(limit, 1)) {
		oldest := s.order[0]
		s.order = s.order[1:]
		delete(s.started, oldest.attempt)
		s.floor = max(s.floor, oldest.created)
	}
}
