package platformstandin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"godwitmount/internal/platform"
)

// Config tunes a Store.
type Config struct {
	// ReadsPerSecond and WritesPerSecond are the ceilings above which requests
	// are refused; 0 means none. Each row written counts as one write.
	ReadsPerSecond  int
	WritesPerSecond int
	// Now is the wall clock for expiry; nil means time.Now.
	Now func() time.Time
}

// DefaultConfig returns the ceilings of the platform.
func DefaultConfig() Config {
	return Config{ReadsPerSecond: 2000, WritesPerSecond: 500}
}

// Stats counts what a Store was asked since it started.
type Stats struct {
	Reads        uint64 `json:"reads"`
	Scans        uint64 `json:"scans"`
	ObjectReads  uint64 `json:"object_reads"`
	Transactions uint64 `json:"transactions"`
	RowWrites    uint64 `json:"row_writes"`
	ObjectWrites uint64 `json:"object_writes"`
	Refused      uint64 `json:"refused"`
	Revision     uint64 `json:"revision"`
	Rows         int    `json:"rows"`
}

// Store is an in-memory platform.Store with faults. It is safe for concurrent
// use.
type Store struct {
	now    func() time.Time
	reads  *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	table  *table
	faults Faults
	healed chan struct{}
	chance uint64
	stats  Stats
}

var _ platform.Store = (*Store)(nil)

// NewStore returns an empty store without faults.
func NewStore(cfg Config) *Store {
	now := cfg.Now
	if now == nil {
		now = time.Now
	}
	return &Store{
		now:    now,
		reads:  limiter(cfg.ReadsPerSecond),
		writes: limiter(cfg.WritesPerSecond),
		table:  newTable(),
		healed: make(chan struct{}),
	}
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond, platform.MaxWrites))
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.sweep(s.now())
	stats := s.stats
	stats.Revision = s.table.revision
	stats.Rows = len(s.table.rows)
	return stats
}

// Read implements platform.Store.
func (s *Store) Read(ctx context.Context, key string) (platform.Row, error) {
	if err := s.enter(ctx, s.reads, 1); err != nil {
		return platform.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	stored := s.readable().live(key, s.now())
	if stored == nil {
		return platform.Row{}, platform.ErrNotFound
	}
	return stored.Row, nil
}

// Scan implements platform.Store.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := s.enter(ctx, s.reads, 1); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Scans++
	return s.readable().scan(prefix, after, limit, s.now()), nil
}

// GetObject implements platform.Store.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := s.enter(ctx, s.reads, 1); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.ObjectReads++
	body, found := s.table.objects[name]
	if !found {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(body), nil
}

// Transact implements platform.Store.
func (s *Store) Transact(ctx context.Context, tx platform.Transaction) (platform.Result, error) {
	if err := s.enter(ctx, s.writes, max(1, len(tx.Writes))); err != nil {
		return platform.Result{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Transactions++
	result, err := s.table.transact(tx, s.now())
	if err != nil {
		return platform.Result{}, err
	}
	s.stats.RowWrites += uint64(len(tx.Writes))
	return result, s.loseAnswer()
}

// PutObject implements platform.Store. An object that exists keeps its body.
func (s *Store) PutObject(ctx context.Context, name string, body []byte) error {
	if err := s.enter(ctx, s.writes, 1); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.ObjectWrites++
	if _, exists := s.table.objects[name]; !exists {
		s.table.objects[name] = slices.Clone(body)
	}
	return s.loseAnswer()
}

// enter applies outage, slowness and the ceiling before anything takes effect.
func (s *Store) enter(ctx context.Context, limit *rate.Limiter, cost int) error {
	if err := s.outage(ctx); err != nil {
		return err
	}
	if err := s.slow(ctx); err != nil {
		return err
	}
	if !limit.AllowN(time.Now(), cost) {
		s.mu.Lock()
		s.stats.Refused++
		s.mu.Unlock()
		return fmt.Errorf("%w: rate ceiling", platform.ErrUnavailable)
	}
	return nil
}
