package main

import (
	"fmt"
	"time"

	"godwitmount/internal/event"
	"godwitmount/test/harness"
)

// membersCommand measures the member table of real daemons.
type membersCommand struct {
	sizes
	Idle   time.Duration `long:"idle" default:"15s" description:"how long the fleet is watched at rest"`
	Drains int           `long:"drains" default:"3" description:"upstreams drained one after the other"`
}

// Execute implements flags.Commander.
func (c *membersCommand) Execute([]string) error {
	machineLoad("begin")
	rest := report{title: "One daemon at rest", size: "daemons", columns: []string{"% of a core", "resident MB", "heap MB", "B/s, each byte once"}}
	changes := report{title: "Seconds until a change is known to every daemon", size: "daemons", columns: []string{"drain median", "drain greatest", "death median", "death greatest"}}
	err := withFleets(c.Daemons, func(f *fleet) error {
		f.settle()
		if err := c.atRest(f, &rest); err != nil {
			return err
		}
		return c.changes(f, &changes)
	})
	rest.print()
	changes.print()
	machineLoad("end")
	return err
}

func (c *membersCommand) atRest(f *fleet, r *report) error {
	seen, err := f.observe(func() error { time.Sleep(c.Idle); return nil })
	if err != nil {
		return err
	}
	r.add(f.count, restOf(f, seen)...)
	return nil
}

// restOf returns what one daemon spends: per cent of a core, resident and heap
// megabytes, bytes a second.
func restOf(f *fleet, seen window) []float64 {
	const percent, mega = 100, 1e6
	n := float64(len(f.mesh.Instances))
	return []float64{
		percent * seen.cpuSeconds / seen.seconds / n,
		seen.resident / n / mega,
		seen.heap / n / mega,
		seen.linkBytes / seen.seconds / n,
	}
}

func (c *membersCommand) changes(f *fleet, r *report) error {
	var drains []float64
	for i := range c.Drains {
		took, err := f.drain(i)
		if err != nil {
			return fmt.Errorf("drain: %w", err)
		}
		drains = append(drains, took)
	}
	deaths, err := f.killOneEach(c.Drains)
	if err != nil {
		return fmt.Errorf("kill: %w", err)
	}
	r.add(f.count, quantile(drains, 0.5), quantile(drains, 1), quantile(deaths, 0.5), quantile(deaths, 1))
	return nil
}

// drain announces that an upstream drains, and returns how long it takes until
// no daemon routes to it.
func (f *fleet) drain(n int) (seconds float64, err error) {
	if err := announceUpstream(f.mesh.Instances[n], n, "draining"); err != nil {
		return 0, err
	}
	times, err := timesUntil(f.mesh.Instances, func(s scrape) bool { return s.upstreams < float64(f.count) })
	if err != nil {
		return 0, err
	}
	if err := announceUpstream(f.mesh.Instances[n], n, "ready"); err != nil {
		return 0, err
	}
	return quantile(times, 1).Seconds(), f.awaitUpstreams(f.count, f.mesh.Instances)
}

// killOneEach kills one daemon of each data centre at once, and returns for
// each how long it takes until all survivors hold it for dead.
func (f *fleet) killOneEach(first int) ([]float64, error) {
	var killed, alive []*harness.Instance
	for n, instance := range f.mesh.Instances {
		if n >= first && n < first+len(dataCentres) {
			killed = append(killed, instance)
			continue
		}
		alive = append(alive, instance)
	}
	began := time.Now()
	for _, instance := range killed {
		instance.Daemon.Kill()
	}
	if err := f.awaitUpstreams(len(alive), alive); err != nil {
		return nil, err
	}
	deaths := make([]float64, len(killed))
	for i, dead := range killed {
		for _, survivor := range alive {
			at, err := deathSeen(survivor, dead)
			if err != nil {
				return nil, err
			}
			deaths[i] = max(deaths[i], at.Sub(began).Seconds())
		}
	}
	return deaths, nil
}

func deathSeen(survivor, dead *harness.Instance) (time.Time, error) {
	lines, err := logged(survivor, event.MemberDead)
	if err != nil {
		return time.Time{}, err
	}
	for _, line := range lines {
		if line.Instance == dead.Instance {
			return line.at(), nil
		}
	}
	return time.Time{}, fmt.Errorf("%s never logged the death of %s", survivor.Instance, dead.Instance)
}
