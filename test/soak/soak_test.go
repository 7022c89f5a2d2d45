// Package soak runs daemons as separate processes under load and injects faults
// from outside: signals to the daemons, faults of the links between them, of the
// store and of the upstreams. It checks what callers and upstreams see.
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
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"godwitmount/internal/faultlink"
	"godwitmount/platform/platformtest"
)

var (
	seeds  = flag.Int("seeds", 2, "number of seeds to run")
	first  = flag.Uint64("first", 1, "first seed")
	length = flag.Duration("length", 6*time.Second, "time during which faults are injected")
	keep   = flag.String("keep", "", "directory in which to keep the logs")
)

const (
	startTimeout = 20 * time.Second
	// recoveryTimeout bounds the time from the last fault until every daemon is
	// healthy again.
	recoveryTimeout = 15 * time.Second
	// settleTime is how long the test waits at the end for late deliveries to
	// upstreams.
	settleTime = time.Second
	// checkedTime is how long the load goes on after a change at the end of a plan.
	checkedTime  = 500 * time.Millisecond
	pollInterval = 100 * time.Millisecond
	// rewriteDelay is how long operators take to write the configuration again after
	// the store has come back from an older copy.
	rewriteDelay = 500 * time.Millisecond
)

// failedSeeds are seeds that failed in the past, with the cause. They run every
// time.
var failedSeeds = map[uint64]string{
	3:  "daemons that did not know each other each granted the whole quota of their data centre",
	5:  "a request was reported as not run when a lost attempt was followed by refused ones",
	10: "as seed 5, after the upstream crashed",
}

// soak is the run of one seed.
type soak struct {
	t     *testing.T
	store *platformtest.Store
	// storeLink is the network link on which the daemons reach the store.
	storeLink   *faultlink.Link
	storeFaults faultStack[platformtest.Fault]
	// disturbances are those of the store and of all nodes.
	disturbances disturbances
	configs      *configs
	nodes        []*node
	load         *load
	// rollout is the seed's rollout, or nil.
	rollout *rollout
}

// TestSoak runs the seeds one after the other.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "godwitmountd")
	if out, err := exec.Command("go", "build", "-o", binary, "godwitmount/cmd/godwitmountd").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
	for seed, cause := range failedSeeds {
		t.Logf("seed %d failed in the past: %s", seed, cause)
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
	s.storeFaults.set = s.store.SetFault
	s.configs = &configs{store: s.store, disturbances: &s.disturbances}
	server := httptest.NewServer(s.store.Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	var err error
	if s.storeLink, err = faultlink.New("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://")); err != nil {
		t.Fatal(err)
	}
	defer s.storeLink.Close()
	configs := []platformtest.NodeConfig{
		{DataCentre: "dc-a", Service: "desk"}, {DataCentre: "dc-a", Service: "desk"}, {DataCentre: "dc-a", Service: "back"},
		{DataCentre: "dc-b", Service: "desk"}, {DataCentre: "dc-b", Service: "back"},
	}
	s.configs.publish()
	for i, config := range configs {
		n, err := startNode(nodeConfig{dir: dir, binary: binary, store: s.storeLink.Address(), number: i, NodeConfig: config,
			strictRevoke: strictRevoke(seed), version: oldVersion, rollouts: hasRollout(seed), disturbances: &s.disturbances})
		if err != nil {
			t.Fatal(err)
		}
		defer n.shutdown()
		s.nodes = append(s.nodes, n)
	}
	s.load = &load{nodes: s.nodes, configs: s.configs, seed: seed}
	s.awaitHealthy("start", startTimeout)
	s.rollout = newRollout(s, seed)
	defer func() {
		for _, n := range s.rollout.started() {
			n.shutdown()
		}
	}()
	s.runPlan(seed, drawPlan(seed, len(s.nodes), *length))
	s.reportProblems(seed)
}

// runPlan injects the faults of a plan under load and waits until all daemons
// are healthy again. Planned stops alone follow, then what each seed ends with.
func (s *soak) runPlan(seed uint64, plan []fault) {
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { s.load.run(ctx) })
	background.Go(func() { s.watchVersions(ctx) })
	background.Go(func() { s.t.Logf("the machine was too busy for %s in all", s.disturbances.watchMachine(ctx)) })
	if s.rollout != nil {
		background.Go(func() { s.rollout.run(ctx) })
	}
	began := time.Now()
	var injected sync.WaitGroup
	for _, fault := range plan {
		time.Sleep(time.Until(began.Add(fault.start)))
		s.t.Log(fault)
		injected.Add(1)
		go func() { defer injected.Done(); s.inject(fault) }()
	}
	injected.Wait()
	faultsEnded := time.Now()
	s.awaitHealthy("recovery", recoveryTimeout)
	if s.rollout != nil {
		s.rollout.await(recoveryTimeout)
	}
	s.stopOverlapping(seed, faultsEnded)
	s.publishInSilence()
	s.restartAll()
	cancel()
	background.Wait()
	time.Sleep(settleTime)
}

// strictRevoke reports whether the daemons of a seed refuse removed keys strictly.
func strictRevoke(seed uint64) bool { return seed%2 == 0 }

// silenceConnections makes all open connections between daemons and to the store carry
// nothing any more, but for those to the new nodes of a rollout.
func (s *soak) silenceConnections() {
	s.storeLink.Silence()
	for _, n := range s.nodes {
		n.peerLink.Silence()
	}
}

// publishInSilence publishes a version just after all connections have fallen silent, and
// goes on with the load until requests of each caller had to be handled by it.
func (s *soak) publishInSilence() {
	s.silenceConnections()
	s.configs.publish()
	time.Sleep(configLimit + checkedTime)
}

// restartAll kills all daemons, and goes on with the load for a while, so that each seed
// checks what restarted daemons begin with.
func (s *soak) restartAll() {
	for _, n := range slices.Concat(s.nodes, s.rollout.started()) {
		n.kill()
	}
	s.awaitHealthy("restart", recoveryTimeout)
	time.Sleep(checkedTime)
}

// linkFaultOf and storeFaultOf hold the faults of links and of the store, by kind.
var (
	linkFaultOf = map[kind]faultlink.Fault{
		slowLink: faultlink.Slow, blockedLink: faultlink.Blocked, oneWayLink: faultlink.OneWay, resetLink: faultlink.Reset,
	}
	storeFaultOf = map[kind]platformtest.Fault{
		busyStore: platformtest.Unavailable, unresponsiveStore: platformtest.Unresponsive, lostWriteResponses: platformtest.LostWriteReplies,
	}
)

// inject performs one fault and returns when it is over. Of two faults that
// replace the same upstream, the second waits for the first. Of two overlapping
// faults of the store or of the same link, the one that began last has an effect.
func (s *soak) inject(f fault) {
	n := s.nodes[f.node]
	switch f.kind {
	case killDaemon:
		n.kill()
	case pauseDaemon:
		n.pause(f.duration)
	case stopDaemon:
		n.stop()
	case slowLink, blockedLink, oneWayLink, resetLink:
		n.disturbLink(linkFaultOf[f.kind], f.duration)
	case busyStore, unresponsiveStore, lostWriteResponses:
		s.disturbStore(storeFaultOf[f.kind], f.duration)
	case truncatedHistory:
		s.store.TruncateHistory()
	case restoredStore:
		s.configs.restore(f.duration)
	case silentConnections:
		s.silenceConnections()
	case namedLimit:
		n.limitUpstream()
	case publish, earlyPublish:
		s.configs.publish()
	case drainingUpstream, crashedUpstream:
		n.replaceUpstream(f.kind == drainingUpstream)
	}
}

// disturbStore gives the store a fault for the given time. Lost replies to writes do not
// excuse a late configuration.
func (s *soak) disturbStore(fault platformtest.Fault, duration time.Duration) {
	if fault != platformtest.LostWriteReplies {
		defer s.disturbances.begin(theStore)()
	}
	defer s.storeFaults.begin(fault)()
	time.Sleep(duration)
}

// watchVersions checks until ctx ends that no process returns to an older
// configuration.
func (s *soak) watchVersions(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	type observation struct {
		process any
		version uint64
	}
	last := make([]observation, len(s.nodes))
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
				n.problem("configuration went back from version %d to %d", last[i].version, version)
			}
			last[i] = observation{process, version}
		}
		time.Sleep(pollInterval)
	}
}

// awaitHealthy waits until each daemon has the newest configuration in force
// and answers a request with 200. It records a problem when limit has passed.
func (s *soak) awaitHealthy(phase string, limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for i := 0; i < len(s.nodes); {
		n := s.nodes[i]
		wanted, _ := s.configs.newest()
		version := n.configVersion(client)
		var o outcome
		if version == wanted {
			o = s.load.call(client, n, fmt.Sprintf("%s-%d-%d", phase, i, time.Now().UnixNano()), true, calm)
		}
		if o.status == http.StatusOK {
			i++
			continue
		}
		if time.Now().After(end) {
			n.problem("%s: not healthy after %s: version %d, want %d; status %d, %v", phase, limit, version, wanted, o.status, o.err)
			return
		}
		time.Sleep(pollInterval)
	}
}

// reportProblems fails the test for each problem found.
func (s *soak) reportProblems(seed uint64) {
	s.load.nodes = slices.Concat(s.nodes, s.rollout.started())
	if s.rollout != nil {
		s.rollout.check()
		s.rollout.report(s.t, fmt.Sprintf("seed %d", seed))
	}
	s.load.check()
	s.load.checkStopsAlone(s.t)
	s.load.checkDepartures(&s.disturbances)
	s.load.checkCustomers(s.t, strictRevoke(seed))
	counts := map[string]int{}
	for _, o := range s.load.outcomes {
		name := fmt.Sprint(o.status)
		if o.err != nil {
			name = "error"
		}
		counts[name]++
	}
	s.t.Logf("outcomes: %v", counts)
	s.load.report(s.t, fmt.Sprintf("seed %d", seed))
	for _, n := range s.load.nodes {
		n.report(s.t, fmt.Sprintf("seed %d, node %d", seed, n.number))
	}
}
