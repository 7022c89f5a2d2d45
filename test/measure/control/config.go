package main

import (
	"fmt"
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/platformstandin"
	"godwitmount/test/harness"
)

// configCommand measures how configurations spread.
type configCommand struct {
	sizes
	Versions int           `long:"versions" default:"10" description:"versions published to each fleet"`
	Spacing  time.Duration `long:"spacing" default:"1500ms" description:"time from one version to the next"`
	Idle     time.Duration `long:"idle" default:"12s" description:"how long the fleet is watched at rest"`
}

// configReports are the tables of the command.
type configReports struct {
	spread, cost, storm, baselines report
}

// Execute implements flags.Commander.
func (c *configCommand) Execute([]string) error {
	body, err := manifestVersion(1)
	if err != nil {
		return err
	}
	machineLoad("begin")
	whole := len(manifest.MakeDelta(nil, body))
	fmt.Printf("manifest: %d services, %d routes, %d bytes, %d compressed\n", manifestServices, manifestRoutes, len(body), whole)
	r := newConfigReports()
	err = withFleets(c.Daemons, func(f *fleet) error { return c.measure(f, r) })
	for _, table := range []*report{&r.spread, &r.cost, &r.storm, &r.baselines} {
		table.print()
	}
	machineLoad("end")
	return err
}

func newConfigReports() *configReports {
	return &configReports{
		spread: report{
			title: "Seconds from acceptance until in force on every daemon, over the versions", size: "daemons",
			columns: []string{"least", "median", "greatest", "median over daemons and versions"},
		},
		cost: report{
			title: "Control bytes, each counted once at one end, and the platform's load", size: "daemons",
			columns: []string{"B/s a daemon at rest", "B a daemon a version", "B a link a version", "reads/s at rest", "row writes/s at rest", "reads a version"},
		},
		storm: report{
			title: "All daemons killed and started at once", size: "daemons",
			columns: []string{"first ready s", "last ready s", "platform reads", "kB a daemon"},
		},
		baselines: report{
			title: "Baselines: every daemon polls the whole manifest twice a second; one sender pushes it whole, compressed, to all", size: "daemons",
			columns: []string{"poll: s until all", "poll: B/s a daemon", "poll: reads/s", "push: s until all", "push: B a daemon a version"},
		},
	}
}

func (c *configCommand) measure(f *fleet, r *configReports) error {
	f.settle()
	rest, err := f.observe(func() error { time.Sleep(c.Idle); return nil })
	if err != nil {
		return err
	}
	var accepted []time.Time
	busy, err := f.observe(func() error {
		for range c.Versions {
			at, err := f.publish()
			if err != nil {
				return err
			}
			accepted = append(accepted, at)
			time.Sleep(c.Spacing)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := c.reportSpread(f, accepted, r); err != nil {
		return err
	}
	c.reportCost(f, rest, busy, r)
	if err := c.baselines(f, r); err != nil {
		return err
	}
	return measureStorm(f, &r.storm)
}

// window is what happened during some time.
type window struct {
	scrape
	seconds float64
	reads   float64
	writes  float64
}

// observe returns what the fleet did while work ran.
func (f *fleet) observe(work func() error) (window, error) {
	before, err := f.scrapeAll()
	if err != nil {
		return window{}, err
	}
	statsBefore, err := f.stats()
	if err != nil {
		return window{}, err
	}
	began := time.Now()
	if err := work(); err != nil {
		return window{}, err
	}
	seconds := time.Since(began).Seconds()
	stats, err := f.stats()
	if err != nil {
		return window{}, err
	}
	after, err := f.scrapeAll()
	after.linkBytes -= before.linkBytes
	after.remoteBytes -= before.remoteBytes
	after.cpuSeconds -= before.cpuSeconds
	return window{
		scrape:  after,
		seconds: seconds,
		reads:   readsOf(stats) - readsOf(statsBefore),
		writes:  writesOf(stats) - writesOf(statsBefore),
	}, err
}

func writesOf(s platformstandin.Stats) float64 { return float64(s.RowWrites + s.ObjectWrites) }

func (c *configCommand) reportSpread(f *fleet, accepted []time.Time, r *configReports) error {
	var slowest, all []float64
	first := f.head.Version - uint64(len(accepted)) + 1
	for i, at := range accepted {
		times := make([]float64, f.count)
		err := each(f.mesh.Instances, func(n int, instance *harness.Instance) error {
			applied, err := inForceAt(instance, first+uint64(i))
			times[n] = applied.Sub(at).Seconds()
			return err
		})
		if err != nil {
			return err
		}
		slowest = append(slowest, quantile(times, 1))
		all = append(all, times...)
	}
	r.spread.add(f.count, quantile(slowest, 0), quantile(slowest, 0.5), quantile(slowest, 1), quantile(all, 0.5))
	return nil
}

func (c *configCommand) reportCost(f *fleet, rest, busy window, r *configReports) {
	share := busy.seconds / rest.seconds
	versions := float64(c.Versions)
	links := float64(len(dataCentres) * (len(dataCentres) - 1) / 2)
	r.cost.add(f.count,
		rest.linkBytes/rest.seconds/float64(f.count),
		(busy.linkBytes-rest.linkBytes*share)/versions/float64(f.count),
		(busy.remoteBytes-rest.remoteBytes*share)/versions/links,
		rest.reads/rest.seconds,
		rest.writes/rest.seconds,
		(busy.reads-rest.reads*share)/versions)
}

// measureStorm kills all daemons and starts them again at once. The versions
// published before are found again from the platform alone.
func measureStorm(f *fleet, r *report) error {
	before, err := f.stats()
	if err != nil {
		return err
	}
	began, err := f.restartAll()
	if err != nil {
		return err
	}
	if _, err := timesUntil(f.mesh.Instances, func(s scrape) bool { return s.version == float64(f.head.Version) }); err != nil {
		return err
	}
	after, err := f.stats()
	if err != nil {
		return err
	}
	traffic, err := f.scrapeAll()
	if err != nil {
		return err
	}
	ready := make([]float64, f.count)
	err = each(f.mesh.Instances, func(n int, instance *harness.Instance) error {
		lines, err := logged(instance, event.DaemonReady)
		if err == nil && len(lines) == 0 {
			err = fmt.Errorf("%s never logged that it is ready", instance.Instance)
		}
		if err != nil {
			return err
		}
		ready[n] = lines[0].at().Sub(began).Seconds()
		return nil
	})
	const kilo = 1000
	r.add(f.count, quantile(ready, 0), quantile(ready, 1), readsOf(after)-readsOf(before), traffic.linkBytes/float64(f.count)/kilo)
	return err
}
