package upstreamstandin

import (
	"maps"
	"sync"
)

// Stats is what a stand-in counted.
type Stats struct {
	// Runs is how many requests it began to run.
	Runs int `json:"runs"`
	// Shed is how many it refused before running them.
	Shed int `json:"shed"`
	// Aborted is how many it left because the caller had gone or the deadline
	// had passed.
	Aborted int `json:"aborted"`
	// RunsByKey and RunsByTag count runs for each Idempotency-Key and each
	// X-Request-Tag.
	RunsByKey map[string]int `json:"runs_by_key"`
	RunsByTag map[string]int `json:"runs_by_tag"`
}

// counts collects Stats.
type counts struct {
	mu    sync.Mutex
	stats Stats
}

func newCounts() *counts {
	return &counts{stats: Stats{RunsByKey: map[string]int{}, RunsByTag: map[string]int{}}}
}

func (c *counts) began(key, tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Runs++
	if key != "" {
		c.stats.RunsByKey[key]++
	}
	if tag != "" {
		c.stats.RunsByTag[tag]++
	}
}

func (c *counts) shed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Shed++
}

func (c *counts) aborted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Aborted++
}

func (c *counts) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.stats
	out.RunsByKey = maps.Clone(c.stats.RunsByKey)
	out.RunsByTag = maps.Clone(c.stats.RunsByTag)
	return out
}

// Stats returns what was counted so far.
func (s *Standin) Stats() Stats { return s.counts.snapshot() }
