// Package soak runs daemons as separate processes and disturbs them from
// outside: signals, lines between them, the store and the upstreams. It checks
// what callers and upstreams see.
package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"godwitmount/platform/platformtest"
)

var (
	seeds  = flag.Int("seeds", 2, "how many seeds to run")
	first  = flag.Uint64("first", 1, "the first seed")
	length = flag.Duration("length", 6*time.Second, "how long troubles come")
	keep   = flag.String("keep", "", "directory that keeps the logs")
)

const (
	startTime = 20 * time.Second
	// recoveryTime is how long after the last trouble all must be well.
	recoveryTime = 15 * time.Second
	// settleTime is how long late arrivals are waited for at the end.
	settleTime = time.Second
	watchPause = 100 * time.Millisecond
)

// failedSeeds are seeds that have failed once, with the cause.
var failedSeeds = map[uint64]string{
	5:  "a lost attempt followed by refusals was called not run",
	10: "the same, after the upstream crashed",
}

// soak is one run.
type soak struct {
	t       *testing.T
	store   *platformtest.Store
	nodes   []*node
	load    *load
	version uint64
	mu      sync.Mutex
}

// TestSoak runs seeds one after the other.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "godwitmountd")
	if out, err := exec.Command("go", "build", "-o", binary, "godwitmount/cmd/godwitmountd").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
	for seed, cause := range failedSeeds {
		t.Logf("seed %d failed once: %s", seed, cause)
		t.Run(fmt.Sprintf("failed-seed-%d", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

func runSeed(t *testing.T, binary string, seed uint64) {
	dir := t.TempDir()
	if *keep != "" {
		dir = filepath.Join(*keep, fmt.Sprint(seed))
		if err := os.MkdirAll(dir, 0o750); err != nil {
			t.Fatal(err)
		}
	}
	s := &soak{t: t, store: platformtest.NewStore()}
	server := httptest.NewServer(s.store.Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	places := []platformtest.Place{
		{DataCentre: "dc-a", Service: "desk"}, {DataCentre: "dc-a", Service: "desk"}, {DataCentre: "dc-a", Service: "back"},
		{DataCentre: "dc-b", Service: "desk"}, {DataCentre: "dc-b", Service: "back"},
	}
	s.publish()
	for i, place := range places {
		n, err := startNode(dir, binary, strings.TrimPrefix(server.URL, "http://"), i, place.DataCentre, place.Service)
		if err != nil {
			t.Fatal(err)
		}
		defer n.end()
		s.nodes = append(s.nodes, n)
	}
	s.load = &load{nodes: s.nodes, seed: seed}
	s.awaitWell("start", startTime)
	s.disturb(planOf(seed, len(s.nodes), *length))
	s.report(seed)
}

// publish writes the next configuration.
func (s *soak) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	moved := []string{"desk", "back"}[s.version%2]
	s.store.Publish(platformtest.ShopConfig(s.version, moved))
}

// disturb plays a plan under load and waits until all is well again.
func (s *soak) disturb(plan []trouble) {
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Add(2)
	go func() { defer background.Done(); s.load.run(ctx) }()
	go func() { defer background.Done(); s.watchVersions(ctx) }()
	began := time.Now()
	var troubles sync.WaitGroup
	for _, trouble := range plan {
		time.Sleep(time.Until(began.Add(trouble.at)))
		s.t.Log(trouble)
		troubles.Add(1)
		go func() { defer troubles.Done(); s.play(trouble) }()
	}
	troubles.Wait()
	s.store.SetFault(platformtest.NoFault)
	s.awaitWell("recovery", recoveryTime)
	cancel()
	background.Wait()
	time.Sleep(settleTime)
}

// play does what an entry says. Two that replace the same thing come one after
// the other.
func (s *soak) play(t trouble) {
	n := s.nodes[t.node]
	switch t.kind {
	case killDaemon:
		n.kill()
	case pauseDaemon:
		n.pause(t.last)
	case stopDaemon:
		n.stop()
	case slowLine, silentLine, oneWayLine, brokenLine:
		n.front.set(map[kind]lineTrouble{slowLine: lineSlow, silentLine: lineSilent, oneWayLine: lineOneWay, brokenLine: lineBroken}[t.kind])
		time.Sleep(t.last)
		n.front.set(lineClear)
	case busyStore, silentStore, lostWrites:
		s.store.SetFault(map[kind]platformtest.Fault{busyStore: platformtest.Busy, silentStore: platformtest.Silent, lostWrites: platformtest.LostWrites}[t.kind])
		time.Sleep(t.last)
		s.store.SetFault(platformtest.NoFault)
	case forgottenHistory:
		s.store.Forget()
	case publish:
		s.publish()
	case leavingUpstream, crashedUpstream:
		n.replaceUpstream(t.kind == leavingUpstream)
	}
}

// watchVersions checks that no process goes back to an older configuration.
func (s *soak) watchVersions(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	type seen struct {
		process any
		version uint64
	}
	last := make([]seen, len(s.nodes))
	for ctx.Err() == nil {
		for i, n := range s.nodes {
			n.mu.Lock()
			process := n.process
			n.mu.Unlock()
			version := n.configVersion(client)
			n.mu.Lock()
			same := n.process == process
			n.mu.Unlock()
			if version == 0 || !same {
				continue
			}
			if last[i].process == any(process) && version < last[i].version {
				n.problem("went back from version %d to %d", last[i].version, version)
			}
			last[i] = seen{process, version}
		}
		time.Sleep(watchPause)
	}
}

// awaitWell waits until each daemon has the newest configuration in force and
// serves.
func (s *soak) awaitWell(when string, limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for i := 0; i < len(s.nodes); {
		n := s.nodes[i]
		s.mu.Lock()
		wanted := s.version
		s.mu.Unlock()
		version := n.configVersion(client)
		var o outcome
		if version == wanted {
			o = s.load.call(client, n, fmt.Sprintf("%s-%d-%d", when, i, time.Now().UnixNano()), true)
		}
		if o.status == http.StatusOK {
			i++
			continue
		}
		if time.Now().After(end) {
			n.problem("%s: not well after %s: version %d of %d, status %d, %v", when, limit, version, wanted, o.status, o.err)
			return
		}
		time.Sleep(watchPause)
	}
}

// report fails the test for each problem.
func (s *soak) report(seed uint64) {
	s.load.check()
	counts := map[string]int{}
	for _, o := range s.load.outcomes {
		name := fmt.Sprint(o.status)
		if o.err != nil {
			name = "error"
		}
		counts[name]++
	}
	s.t.Logf("outcomes: %v", counts)
	problems := s.load.problems
	for _, n := range s.nodes {
		problems = append(problems, n.problems...)
	}
	const shown = 20
	for i, problem := range problems {
		if i == shown {
			s.t.Errorf("seed %d: %d more problems", seed, len(problems)-shown)
			break
		}
		s.t.Errorf("seed %d: %s", seed, problem)
	}
}
