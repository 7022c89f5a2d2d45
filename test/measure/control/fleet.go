package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"godwitmount/internal/announce"
	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
	"godwitmount/internal/platformstandin"
	"godwitmount/internal/publish"
	"godwitmount/test/harness"
)

const (
	// stepTimeout bounds each wait for something that must come about.
	stepTimeout = 60 * time.Second
	// settleTime, and settleEach for each daemon, let the news of the start die
	// down.
	settleTime = 12 * time.Second
	settleEach = 350 * time.Millisecond
	// upstreamSlots is what each announced upstream has.
	upstreamSlots = 10
)

// fleet is a mesh whose upstreams are only announced: no process runs them.
type fleet struct {
	mesh      *harness.Mesh
	count     int
	client    *platform.Client
	publisher *publish.Publisher
	// head is the last accepted version.
	head manifest.ID
	// published counts the accepted versions.
	published int
}

func newFleet(mesh *harness.Mesh, count int) *fleet { return &fleet{mesh: mesh, count: count} }

// start runs the platform and the daemons, publishes a first version and waits
// until every daemon routes to every upstream.
func (f *fleet) start() error {
	if err := f.mesh.StartPlatform(); err != nil {
		return err
	}
	f.client = platform.NewClient(f.mesh.Platform.URL, platform.DefaultClientConfig())
	f.publisher = publish.New(f.client, publish.DefaultConfig())
	if _, err := f.publish(); err != nil {
		return err
	}
	for i := range f.count {
		if _, err := f.mesh.Add(dataCentres[i%len(dataCentres)], "", 0); err != nil {
			return err
		}
	}
	if err := f.announceAll(); err != nil {
		return err
	}
	return f.awaitUpstreams(f.count, f.mesh.Instances)
}

// settle waits until the news of the start has been passed on.
func (f *fleet) settle() { time.Sleep(settleTime + time.Duration(f.count)*settleEach) }

// each runs work for all instances at once and returns the first error.
func each(instances []*harness.Instance, work func(n int, instance *harness.Instance) error) error {
	var group errgroup.Group
	for n, instance := range instances {
		group.Go(func() error { return work(n, instance) })
	}
	return group.Wait()
}

func (f *fleet) announceAll() error {
	return each(f.mesh.Instances, func(n int, instance *harness.Instance) error {
		return announceUpstream(instance, n, "ready")
	})
}

// announceUpstream tells a daemon of an upstream that nobody runs.
func announceUpstream(instance *harness.Instance, n int, state string) error {
	body, err := json.Marshal(announce.Announcement{
		Service: serviceName(n),
		Address: "127.0.0.1:9",
		Slots:   upstreamSlots,
		State:   state,
		TTLMs:   announce.MaxTTL.Milliseconds(),
	})
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	resp, err := http.Post("http://"+instance.Local+announce.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announce: %s", resp.Status)
	}
	return nil
}

// awaitUpstreams waits until each of the instances routes to n upstreams.
func (f *fleet) awaitUpstreams(n int, instances []*harness.Instance) error {
	_, err := timesUntil(instances, func(s scrape) bool { return s.upstreams == float64(n) })
	return err
}

// lookInterval is the time between two looks at one daemon's metrics.
const lookInterval = 100 * time.Millisecond

// timesUntil returns for each instance how long it took until its metrics
// satisfied done.
func timesUntil(instances []*harness.Instance, done func(scrape) bool) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	began := time.Now()
	times := make([]time.Duration, len(instances))
	err := each(instances, func(n int, instance *harness.Instance) error {
		for {
			if s, err := scrapeOf(instance); err == nil && done(s) {
				times[n] = time.Since(began)
				return nil
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s: %w", instance.Instance, ctx.Err())
			case <-time.After(lookInterval):
			}
		}
	})
	return times, err
}

// publish proposes and accepts the next version and returns when it was
// accepted.
func (f *fleet) publish() (time.Time, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	body, err := manifestVersion(f.published + 1)
	if err != nil {
		return time.Time{}, err
	}
	digest, err := f.publisher.Propose(ctx, body)
	if err != nil {
		return time.Time{}, err
	}
	f.published++
	id, err := f.publisher.Accept(ctx, publish.Acceptance{
		ID:       fmt.Sprint("measure-", f.published),
		Digest:   digest,
		Base:     f.head,
		Operator: "measure",
	})
	f.head = id
	return time.Now(), err
}

// stats returns what the platform was asked so far.
func (f *fleet) stats() (platformstandin.Stats, error) {
	var stats platformstandin.Stats
	resp, err := http.Get(f.mesh.Platform.URL + platformstandin.PathStats)
	if err != nil {
		return stats, fmt.Errorf("platform stats: %w", err)
	}
	defer resp.Body.Close()
	return stats, json.NewDecoder(resp.Body).Decode(&stats)
}

func readsOf(s platformstandin.Stats) float64 {
	return float64(s.Reads + s.Scans + s.ObjectReads)
}

// restartAll kills every daemon and starts all of them again at once. It
// returns when the first was started.
func (f *fleet) restartAll() (time.Time, error) {
	var group sync.WaitGroup
	for _, instance := range f.mesh.Instances {
		group.Go(instance.Daemon.Kill)
	}
	group.Wait()
	began := time.Now()
	failed := make([]bool, len(f.mesh.Instances))
	_ = each(f.mesh.Instances, func(n int, instance *harness.Instance) error {
		failed[n] = instance.StartDaemon() != nil
		return nil
	})
	// An outgoing connection may have taken a port meanwhile; such an instance
	// is replaced at other addresses.
	for n, instance := range f.mesh.Instances {
		if !failed[n] {
			continue
		}
		instance.Addresses = harness.Addresses{}
		if err := instance.StartDaemon(); err != nil {
			return began, err
		}
	}
	return began, nil
}
