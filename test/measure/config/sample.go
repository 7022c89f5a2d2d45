package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"godwitmount/internal/platformstandin"
	"godwitmount/test/harness"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// sample is the state of the whole fleet's counters at one time.
type sample struct {
	at time.Time
	// bytes counts control traffic sent by all daemons, and received on the
	// connections they opened; links is the part between data centres.
	bytes, links float64
	platform     platformstandin.Stats
	// processor is the time all daemons used, in seconds, and memory the
	// resident bytes of the largest.
	processor float64
	memory    int64
}

func (f *fleet) sample() (sample, error) {
	s := sample{at: time.Now()}
	for _, instance := range f.mesh.Instances {
		if err := s.addBytes(instance); err != nil {
			return s, err
		}
		if err := s.addProcess(instance.Daemon); err != nil {
			return s, err
		}
	}
	resp, err := http.Get(f.mesh.Platform.URL + platformstandin.PathStats)
	if err != nil {
		return s, fmt.Errorf("platform stats: %w", err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&s.platform); err != nil {
		return s, fmt.Errorf("platform stats: %w", err)
	}
	return s, nil
}

// addBytes adds a daemon's counters of control traffic. What is received by
// datagram was counted by its sender.
func (s *sample) addBytes(instance *harness.Instance) error {
	resp, err := http.Get("http://" + instance.Local + "/metrics")
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		line := scanner.Text()
		sent := strings.HasPrefix(line, "godwitmount_control_sent_bytes_total{")
		received := strings.HasPrefix(line, "godwitmount_control_received_bytes_total{") && strings.Contains(line, `transport="tcp"`)
		if !sent && !received {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
		if err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
		s.bytes += value
		if !strings.Contains(line, fmt.Sprintf("data_centre=%q", instance.DataCentre)) {
			s.links += value
		}
	}
	return scanner.Err()
}

// addProcess adds a daemon's processor time and memory.
func (s *sample) addProcess(p *harness.Process) error {
	stat, err := os.ReadFile(filepath.Join(folderOf(p), "stat"))
	if err != nil {
		return fmt.Errorf("processor time: %w", err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	// The fields after the command: user time is the 12th, system time the
	// 13th and resident pages the 22nd.
	for _, i := range []int{11, 12} {
		ticks, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return fmt.Errorf("processor time: %w", err)
		}
		s.processor += ticks / ticksPerSecond
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	if err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	s.memory = max(s.memory, pages*int64(os.Getpagesize()))
	return nil
}

func reads(s sample) float64 {
	return float64(s.platform.Reads + s.platform.Scans + s.platform.ObjectReads)
}

// window is what happened between two samples.
type window struct {
	seconds, bytes, links, reads, processor float64
	memory                                  int64
}

func between(from, to sample) window {
	return window{
		seconds:   to.at.Sub(from.at).Seconds(),
		bytes:     to.bytes - from.bytes,
		links:     to.links - from.links,
		reads:     reads(to) - reads(from),
		processor: to.processor - from.processor,
		memory:    to.memory,
	}
}

// report prints one line; the bytes of a version are what came on top of the
// idle rate.
func report(count int, times []time.Duration, idle, busy window) {
	daemons, versions := float64(count), float64(len(times))
	extra := func(all, rest float64) float64 { return (all - rest*busy.seconds/idle.seconds) / versions }
	fmt.Printf("godwitmount, %d daemons: in force everywhere after %s; bytes/daemon/version %.0f, "+
		"bytes between data centres/version %.0f; idle: bytes/s/daemon %.0f, bytes/s between data centres %.0f, "+
		"platform reads/s %.1f, core/daemon %.2f%%, largest resident %.1f MB\n",
		count, describe(times), extra(busy.bytes, idle.bytes)/daemons, extra(busy.links, idle.links),
		idle.bytes/idle.seconds/daemons, idle.links/idle.seconds, idle.reads/idle.seconds,
		100*idle.processor/idle.seconds/daemons, float64(idle.memory)/(1<<20))
}

// describe gives the median and the largest.
func describe(times []time.Duration) string {
	sorted := slices.Sorted(slices.Values(times))
	const unit = time.Millisecond
	return fmt.Sprintf("%v (median of %d), %v (slowest)",
		sorted[len(sorted)/2].Round(unit), len(sorted), sorted[len(sorted)-1].Round(unit))
}
