package e2e

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"godwitmount/test/harness"
)

// TestAtMostOnceUnderKills repeats keyed requests while daemons and upstreams
// are killed, frozen and started anew and the platform loses answers.
func TestAtMostOnceUnderKills(t *testing.T) {
	mesh := startReadyMesh(t, 2, "--service-time", "10ms")
	must(t, mesh.Platform.Faults(`{"lose_percent": 30}`))
	keyed := startLoad(mesh.Instances, 8, true, nil)
	plain := startLoad(mesh.Instances, 4, false, nil)
	random := seeded(11)
	for round := range 8 {
		victim := mesh.Instances[random.IntN(len(mesh.Instances))]
		switch round % 4 {
		case 0:
			victim.Daemon.Kill()
			must(t, victim.StartDaemon())
		case 1:
			victim.Upstream.Kill()
			must(t, restartUpstream(victim, round))
		case 2:
			must(t, victim.Daemon.Freeze())
			time.Sleep(2500 * time.Millisecond)
			must(t, victim.Daemon.Wake())
		case 3:
			must(t, victim.Upstream.Freeze())
			time.Sleep(time.Second)
			must(t, victim.Upstream.Wake())
		}
		time.Sleep(400 * time.Millisecond)
	}
	all := append(keyed.end(), plain.end()...)
	checkHonest(t, mesh, all)
	if count(all, answered) == 0 {
		t.Error("no request was answered")
	}
}

// restartUpstream starts the upstream anew and keeps the log of the last one.
func restartUpstream(instance *harness.Instance, round int) error {
	return instance.RestartUpstream(fmt.Sprintf("r%d", round), "--log-runs", "--service-time", "10ms")
}

// TestPlatformOutageKeepsCallsHonest takes the platform away while keyed and
// other requests go on.
func TestPlatformOutageKeepsCallsHonest(t *testing.T) {
	for _, outage := range []string{`{"outage": "refuse"}`, `{"outage": "hang"}`, `{"slow_ms": 400}`} {
		t.Run(outage, func(t *testing.T) {
			mesh := startReadyMesh(t, 1)
			keyed := startLoad(mesh.Instances, 4, true, nil)
			plain := startLoad(mesh.Instances, 4, false, nil)
			time.Sleep(500 * time.Millisecond)
			must(t, mesh.Platform.Faults(outage))
			time.Sleep(3 * time.Second)
			must(t, mesh.Platform.Faults(`{}`))
			time.Sleep(3 * time.Second)
			withoutKey := plain.end()
			all := append(keyed.end(), withoutKey...)
			checkHonest(t, mesh, all)
			if got := count(withoutKey, answered); got != len(withoutKey) {
				t.Errorf("%d of %d requests without a key answered", got, len(withoutKey))
			}
		})
	}
}

// TestCrashingRequestIsRefused sends a request that crashes each upstream that
// runs it, again and again and through all daemons.
func TestCrashingRequestIsRefused(t *testing.T) {
	mesh := startReadyMesh(t, 2, "--service-time", "1ms")
	load := startLoad(nil, 0, false, nil)
	crashing := map[string]string{"X-Crash": "1"}
	quarantined := 0
	for n := range 40 {
		entry := mesh.Instances[n%len(mesh.Instances)]
		load.sendBody(entry, fmt.Sprintf("crash-%d", n), "", "the crashing body", crashing)
		if load.sent[n].code == "511" {
			quarantined++
		}
		time.Sleep(150 * time.Millisecond)
	}
	crashed := 0
	for _, instance := range mesh.Instances {
		if !instance.Upstream.Running() {
			crashed++
		}
	}
	report(t, load.sent)
	// One may be in flight at another daemon while the second crash is told.
	if crashed > 3 {
		t.Errorf("%d upstreams crashed", crashed)
	}
	if quarantined == 0 {
		t.Error("the request was never refused as one that crashes upstreams")
	}
	others := startLoad(mesh.Instances, 4, false, nil)
	time.Sleep(time.Second)
	rest := others.end()
	checkHonest(t, mesh, rest)
	if got := count(rest, answered); got != len(rest) {
		t.Errorf("%d of %d other requests answered", got, len(rest))
	}
}

// TestVersionsNeverGoBack publishes versions while daemons are killed, herded
// down, frozen and started anew, and the platform comes and goes.
func TestVersionsNeverGoBack(t *testing.T) {
	mesh := startMesh(t, 2)
	publishManifest(t, mesh, manifestSource(0))
	awaitVersion(t, mesh.Instances, 1)
	watch := watchVersions(mesh.Instances)
	frozen := mesh.Instances[1]
	must(t, frozen.Daemon.Freeze())
	publishManifest(t, mesh, manifestSource(1))
	publishManifest(t, mesh, manifestSource(2))
	awaitVersion(t, mesh.Instances[2:], 3)
	// Other rows are written too, so that several distances are tried.
	for _, distance := range []int{1, 2, 4, 8, 16, 32} {
		must(t, mesh.Platform.Faults(fmt.Sprintf(`{"stale_revisions": %d}`, distance)))
		time.Sleep(700 * time.Millisecond)
	}
	must(t, mesh.Platform.Faults(`{}`))
	must(t, frozen.Daemon.Wake())
	for _, instance := range mesh.Instances[2:] {
		instance.Daemon.Kill()
	}
	must(t, mesh.Platform.Faults(`{"outage": "refuse"}`))
	for _, instance := range mesh.Instances[2:] {
		must(t, instance.StartDaemon())
	}
	time.Sleep(2 * time.Second)
	must(t, mesh.Platform.Faults(`{}`))
	publishManifest(t, mesh, manifestSource(3))
	awaitVersion(t, mesh.Instances, 4)
	for _, fault := range watch.end() {
		t.Error(fault)
	}
}

// versionWatch looks at the versions in force again and again.
type versionWatch struct {
	stop   chan struct{}
	group  sync.WaitGroup
	mu     sync.Mutex
	faults []string
}

func watchVersions(instances []*harness.Instance) *versionWatch {
	w := &versionWatch{stop: make(chan struct{})}
	for _, instance := range instances {
		w.group.Go(func() { w.watch(instance) })
	}
	return w
}

func (w *versionWatch) watch(instance *harness.Instance) {
	last := 0
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		config := instance.Config()
		var version int
		if _, err := fmt.Sscanf(config, "%d/", &version); err != nil {
			continue
		}
		if version < last {
			w.fault(fmt.Sprintf("%s went from version %d to %d", instance.Instance, last, version))
		}
		last = version
	}
}

func (w *versionWatch) fault(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, text)
}

func (w *versionWatch) end() []string {
	close(w.stop)
	w.group.Wait()
	return w.faults
}

// TestOperatorsRace lets operators accept different manifests against one
// version: one wins, the others are told.
func TestOperatorsRace(t *testing.T) {
	mesh := startMesh(t, 1)
	publishManifest(t, mesh, manifestSource(0))
	const operators = 5
	digests := make([]string, operators)
	for i := range digests {
		digests[i] = propose(t, mesh, manifestSource(i+1))
	}
	// Slow answers let all of them read the head before one of them writes it.
	must(t, mesh.Platform.Faults(`{"lose_percent": 40, "slow_ms": 300}`))
	codes := make([]int, operators)
	var group sync.WaitGroup
	for i, digest := range digests {
		group.Go(func() {
			_, codes[i] = tool(t, mesh, "accept", digest, "--expect", "1", "--platform", mesh.Platform.URL)
		})
	}
	group.Wait()
	must(t, mesh.Platform.Faults(`{}`))
	won := 0
	for i, code := range codes {
		switch code {
		case 0:
			won++
		case 4:
		default:
			t.Errorf("operator %d: exit code %d", i, code)
		}
	}
	if won != 1 {
		t.Errorf("%d operators won: %v", won, codes)
	}
	awaitVersion(t, mesh.Instances, 2)
	out, _ := tool(t, mesh, "history", "--platform", mesh.Platform.URL, "--json")
	if strings.Count(out, `"acceptance"`) != 2 {
		t.Errorf("history does not hold two versions:\n%s", out)
	}
}
