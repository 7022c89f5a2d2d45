package e2e

import (
	"testing"
	"time"

	"godwitmount/test/harness"
)

func TestWholePath(t *testing.T) {
	mesh := startReadyMesh(t, 2)
	load := startLoad(mesh.Instances, 6, false, nil)
	time.Sleep(time.Second)
	all := load.end()
	checkHonest(t, mesh, all)
	if count(all, answered) != len(all) {
		t.Errorf("%d of %d requests answered", count(all, answered), len(all))
	}
}

// TestPlannedStopsCutOffNothing stops each process of the mesh but one data
// centre while callers send slow requests.
func TestPlannedStopsCutOffNothing(t *testing.T) {
	// Longer than a stopping daemon goes on after its work is done.
	mesh := startReadyMesh(t, 2, "--service-time", "900ms")
	load := startLoad(mesh.Instances, 12, false, nil)
	time.Sleep(time.Second)
	for _, instance := range mesh.Instances[1:] {
		if instance.DataCentre == "lancaster-c" {
			continue
		}
		must(t, instance.Upstream.Stop())
		time.Sleep(100 * time.Millisecond)
		must(t, instance.Daemon.Stop())
	}
	must(t, mesh.Instances[0].Daemon.Stop())
	must(t, mesh.Platform.Stop())
	time.Sleep(300 * time.Millisecond)
	all := load.end()
	checkHonest(t, mesh, all)
	for _, s := range all {
		if s.fate == cut || s.fate == unknown {
			t.Errorf("%s was cut off: fate %d, code %s, %s", s.tag, s.fate, s.code, s.detail)
		}
	}
}

// TestDrainingUpstreamGetsNoNewWork checks that an upstream in a planned stop
// begins nothing once its draining is known, long before it ends.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	mesh := startReadyMesh(t, 1, "--service-time", "2ms", "--linger", "4s")
	load := startLoad(mesh.Instances, 6, false, nil)
	time.Sleep(300 * time.Millisecond)
	drained := mesh.Instances[0]
	stopped := make(chan error, 1)
	go func() { stopped <- drained.Upstream.Stop() }()
	awaitUpstreams(t, mesh.Instances, len(mesh.Instances)-1)
	before := runsAt(t, drained)
	time.Sleep(time.Second)
	if after := runsAt(t, drained); after != before {
		t.Errorf("draining upstream ran %d more requests", after-before)
	}
	must(t, <-stopped)
	all := load.end()
	checkHonest(t, mesh, all)
	if lost := len(all) - count(all, answered); lost != 0 {
		t.Errorf("%d requests not answered", lost)
	}
}

// runsAt counts the runs in one upstream's log.
func runsAt(t *testing.T, instance *harness.Instance) int {
	t.Helper()
	byKey, byTag := map[string]int{}, map[string]int{}
	countRuns(t, instance.Upstream.LogFile, byKey, byTag)
	total := 0
	for _, n := range byTag {
		total += n
	}
	return total
}
