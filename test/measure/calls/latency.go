package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// latencyInFlight bounds the calls of a latency run that are not answered.
const latencyInFlight = 64

// warmCalls is how many calls are made before measuring, to open connections.
const warmCalls = 300

// way is one way for a call to the upstream.
type way struct {
	name    string
	address string
}

// measureLatency compares a direct call with one through the own daemon only
// and one through entry and executing daemon, in the same run: the calls of
// the three ways alternate.
func measureLatency(opts options) error {
	up, err := newUpstream(1000, func(int64) time.Duration { return 0 })
	if err != nil {
		return err
	}
	defer up.server.Close()
	m, err := newMesh()
	if err != nil {
		return err
	}
	defer m.close()
	entry, err := m.add("", 0)
	if err != nil {
		return err
	}
	executing, err := m.add(up.server.address, 1000)
	if err != nil {
		return err
	}
	ways := []way{
		{"direct", up.server.address},
		{"own upstream", executing.callers.address},
		{"two daemons", entry.callers.address},
	}
	fmt.Println("added latency, 1 KiB answers, calls of the three ways alternate")
	for _, rate := range opts.Rates {
		if err := latencyAt(rate, opts.Length, ways); err != nil {
			return err
		}
	}
	return costs(ways)
}

func latencyAt(rate int, length time.Duration, ways []way) error {
	hists := make([]*latencies, len(ways))
	for i := range hists {
		hists[i] = newLatencies()
	}
	for n := range warmCalls {
		if err := expectOK(ways[n%len(ways)]); err != nil {
			return err
		}
	}
	failed := make(chan error, 1)
	pace(float64(rate*len(ways)), length, latencyInFlight, func(n int) {
		w := n % len(ways)
		began := time.Now()
		if err := expectOK(ways[w]); err != nil {
			select {
			case failed <- err:
			default:
			}
			return
		}
		hists[w].add(time.Since(began))
	})
	select {
	case err := <-failed:
		return err
	default:
	}
	for i, w := range ways {
		fmt.Printf("%5d calls/s %-13s %s", rate, w.name, hists[i])
		if i > 0 {
			fmt.Printf("  added p50 %.3f p99 %.3f p99.9 %.3f", hists[i].at(50)-hists[0].at(50), hists[i].at(99)-hists[0].at(99), hists[i].at(99.9)-hists[0].at(99.9))
		}
		fmt.Println()
	}
	return nil
}

func expectOK(w way) error {
	status, _, err := get(context.Background(), w.address, 0)
	if err != nil {
		return fmt.Errorf("%s: %w", w.name, err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s: status %d", w.name, status)
	}
	return nil
}

// costCalls is how many calls the cost is averaged over.
const costCalls = 20_000

// costs gives processor time and allocations per call of the whole process,
// client and upstream included; the direct way is what to subtract.
func costs(ways []way) error {
	for _, w := range ways {
		before := spent()
		for range costCalls {
			if err := expectOK(w); err != nil {
				return err
			}
		}
		per := spent().since(before, costCalls)
		fmt.Printf("cost per call, one at a time, %-13s %v processor time, %d allocations\n", w.name, per.cpu, per.allocs)
	}
	return nil
}
