package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"

	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
	"godwitmount/internal/publish"
	"godwitmount/test/harness"
)

const (
	dataCentres = 3
	// startTimeout bounds the time until all daemons are ready.
	startTimeout = 2 * time.Minute
	// spreadTimeout bounds the time until a version is in force everywhere.
	spreadTimeout = 30 * time.Second
	// startSettleTime lets the start's traffic die down, and settleTime that of
	// a version.
	startSettleTime = 25 * time.Second
	settleTime      = 5 * time.Second
)

// fleet is a running mesh of daemons without upstreams.
type fleet struct {
	mesh   *harness.Mesh
	client *platform.Client
	head   manifest.ID
}

func measureDaemons(opts options, binaries harness.Binaries, dir string, count int, releases []release) error {
	f, err := startFleet(binaries, dir, count, releases[0])
	if err != nil {
		return err
	}
	defer f.mesh.Close()
	time.Sleep(startSettleTime)
	busyFrom, err := f.sample()
	if err != nil {
		return err
	}
	times, err := f.publishAll(releases[1:], opts.Pause)
	if err != nil {
		return err
	}
	busyTo, err := f.sample()
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	idle, err := f.idle(opts.Idle)
	if err != nil {
		return err
	}
	report(count, times, idle, between(busyFrom, busyTo))
	return nil
}

// idle samples a window in which nothing is published.
func (f *fleet) idle(length time.Duration) (window, error) {
	from, err := f.sample()
	if err != nil {
		return window{}, err
	}
	time.Sleep(length)
	to, err := f.sample()
	return between(from, to), err
}

func startFleet(binaries harness.Binaries, dir string, count int, first release) (*fleet, error) {
	dir, err := os.MkdirTemp(dir, "fleet-")
	if err != nil {
		return nil, fmt.Errorf("fleet folder: %w", err)
	}
	mesh := harness.NewMesh(first.mesh, dir, binaries)
	if err := mesh.StartPlatform(); err != nil {
		return nil, err
	}
	f := &fleet{mesh: mesh, client: platform.NewClient(mesh.Platform.URL, platform.DefaultClientConfig())}
	if err := f.accept(first); err != nil {
		return nil, err
	}
	for i := range count {
		if _, err := mesh.Add(fmt.Sprintf("dc-%d", i%dataCentres), "", 1); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, instance := range mesh.Instances {
		if err := harness.Await(ctx, "ready", instance.Ready); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) accept(r release) error {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	publisher := publish.New(f.client, publish.DefaultConfig())
	digest, err := publisher.Propose(ctx, r.body)
	if err != nil {
		return err
	}
	f.head, err = publisher.Accept(ctx, publish.Acceptance{ID: uuid.NewString(), Digest: digest, Base: f.head, Operator: "measure"})
	return err
}

// publishAll publishes one release after the other and returns how long after
// its acceptance each was in force on the last daemon.
func (f *fleet) publishAll(releases []release, pause time.Duration) ([]time.Duration, error) {
	var times []time.Duration
	for _, r := range releases {
		if err := f.accept(r); err != nil {
			return nil, err
		}
		accepted := time.Now()
		time.Sleep(pause)
		last, err := f.inForce(accepted.Add(spreadTimeout))
		if err != nil {
			return nil, err
		}
		times = append(times, last.Sub(accepted))
	}
	return times, nil
}

// inForce returns when the last daemon logged that the head is in force.
func (f *fleet) inForce(deadline time.Time) (time.Time, error) {
	var last time.Time
	for _, instance := range f.mesh.Instances {
		at, found := appliedAt(instance.Daemon, f.head)
		for !found {
			if time.Now().After(deadline) {
				return last, fmt.Errorf("%s never applied %s", instance.Daemon.Name, f.head)
			}
			time.Sleep(settleTime / 10)
			at, found = appliedAt(instance.Daemon, f.head)
		}
		if at.After(last) {
			last = at
		}
	}
	return last, nil
}

// logLine is the part of a daemon's log line that is read here.
type logLine struct {
	TS      json.RawMessage `json:"ts"`
	Event   event.Number    `json:"event"`
	Version string          `json:"version"`
}

func appliedAt(p *harness.Process, id manifest.ID) (time.Time, bool) {
	scanner := bufio.NewScanner(strings.NewReader(p.Log()))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			continue
		}
		if line.Event == event.ConfigApplied && line.Version == id.String() {
			return parseTime(line.TS)
		}
	}
	return time.Time{}, false
}

// parseTime reads a time in seconds since 1970 or in RFC 3339.
func parseTime(raw json.RawMessage) (time.Time, bool) {
	var seconds float64
	if json.Unmarshal(raw, &seconds) == nil {
		return time.Unix(0, int64(seconds*float64(time.Second))), true
	}
	var text string
	if json.Unmarshal(raw, &text) != nil {
		return time.Time{}, false
	}
	for _, layout := range []string{time.RFC3339Nano, "2006-01-02T15:04:05.000Z0700"} {
		if at, err := time.Parse(layout, text); err == nil {
			return at, true
		}
	}
	return time.Time{}, false
}

// folderOf returns the /proc folder of a process.
func folderOf(p *harness.Process) string { return filepath.Join("/proc", fmt.Sprint(p.Pid())) }
