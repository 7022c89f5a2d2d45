package soak

import (
	"fmt"
	"sync"
	"testing"
)

// maxShown bounds the problems of one kind that are shown, so that each kind is.
const maxShown = 5

// problems are the failures of checks.
type problems struct {
	mu sync.Mutex
	// shown are the first problems of each kind, and counts the number of each kind, by its
	// format.
	shown  []string
	counts map[string]int
}

// problem records a failure.
func (p *problems) problem(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = map[string]int{}
	}
	p.counts[format]++
	if p.counts[format] <= maxShown {
		p.shown = append(p.shown, fmt.Sprintf(format, args...))
	}
}

// report fails the test for each problem, whose text begins with what it concerns.
func (p *problems) report(t *testing.T, concerns string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, text := range p.shown {
		t.Errorf("%s: %s", concerns, text)
	}
	for format, count := range p.counts {
		if count > maxShown {
			t.Errorf("%s: %d more: %s", concerns, count-maxShown, format)
		}
	}
}
