package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"godwitmount/test/harness"
)

// trouble is a fault that is under way while a daemon stops as planned.
type trouble struct {
	name  string
	begin func(t *testing.T, mesh *harness.Mesh)
}

var troubles = []trouble{
	{"peer frozen", func(t *testing.T, mesh *harness.Mesh) {
		must(t, mesh.Instances[3].Daemon.Freeze())
	}},
	{"peer killed", func(t *testing.T, mesh *harness.Mesh) {
		mesh.Instances[3].Daemon.Kill()
	}},
	{"platform away", func(t *testing.T, mesh *harness.Mesh) {
		must(t, mesh.Platform.Faults(`{"outage": "hang"}`))
	}},
	{"platform slow", func(t *testing.T, mesh *harness.Mesh) {
		must(t, mesh.Platform.Faults(`{"slow_ms": 1500}`))
	}},
	{"answers lost", func(t *testing.T, mesh *harness.Mesh) {
		must(t, mesh.Platform.Faults(`{"lose_percent": 60}`))
	}},
	{"all others killed", func(t *testing.T, mesh *harness.Mesh) {
		for _, instance := range mesh.Instances[1:] {
			instance.Daemon.Kill()
		}
	}},
	{"crashing requests", func(t *testing.T, mesh *harness.Mesh) {
		crash := startLoad(nil, 0, false, nil)
		for n, instance := range mesh.Instances[1:] {
			crash.sendBody(instance, fmt.Sprintf("crash-%d", n), "", "the crashing body", map[string]string{"X-Crash": "1"})
		}
	}},
}

// TestPlannedStopUnderFaults stops a daemon, and the upstream beside it, while
// something else is wrong; what they have in flight is finished.
func TestPlannedStopUnderFaults(t *testing.T) {
	for _, fault := range troubles {
		t.Run(fault.name, func(t *testing.T) {
			mesh := startReadyMesh(t, 2, "--service-time", "900ms")
			fault.begin(t, mesh)
			stopping := mesh.Instances[0]
			load := startLoad(mesh.Instances[:1], 6, false, map[string]string{"Godwitmount-Deadline-Ms": "8000"})
			awaitRuns(t, stopping, 3)
			must(t, stopping.Upstream.Stop())
			must(t, stopping.Daemon.Stop())
			all := load.end()
			checkHonest(t, mesh, all)
			for _, s := range all {
				if s.fate == cut || ranAt(t, stopping, s.tag) && s.fate != answered {
					t.Errorf("%s was cut off: fate %d, code %s, %s", s.tag, s.fate, s.code, s.detail)
				}
			}
		})
	}
}

// awaitRuns waits until an upstream has begun n requests.
func awaitRuns(t *testing.T, instance *harness.Instance, n int) {
	t.Helper()
	await(t, "requests in flight", func() bool { return runsAt(t, instance) >= n })
}

// ranAt reports whether an upstream ran the request with the tag.
func ranAt(t *testing.T, instance *harness.Instance, tag string) bool {
	t.Helper()
	byTag := map[string]int{}
	countRuns(t, instance.Upstream.LogFile, map[string]int{}, byTag)
	return byTag[tag] > 0
}

// TestHerdDeathKeepsCallsHonest kills all daemons but one at once, twice, while
// callers send through all of them.
func TestHerdDeathKeepsCallsHonest(t *testing.T) {
	mesh := startReadyMesh(t, 2, "--service-time", "10ms")
	keyed := startLoad(mesh.Instances, 4, true, nil)
	plain := startLoad(mesh.Instances, 4, false, nil)
	for range 2 {
		time.Sleep(500 * time.Millisecond)
		for _, instance := range mesh.Instances[1:] {
			instance.Daemon.Kill()
		}
		for _, instance := range mesh.Instances[1:] {
			must(t, instance.StartDaemon())
		}
		awaitVersion(t, mesh.Instances, 1)
		awaitUpstreams(t, mesh.Instances, len(mesh.Instances))
	}
	all := append(keyed.end(), plain.end()...)
	checkHonest(t, mesh, all)
	if count(all, answered) == 0 {
		t.Error("no request was answered")
	}
}

// TestCallerCutOffAndBack cuts the callers of keyed requests off while these
// run, and lets them send again under the same key.
func TestCallerCutOffAndBack(t *testing.T) {
	mesh := startReadyMesh(t, 1, "--service-time", "300ms")
	load := startLoad(nil, 0, false, nil)
	const keys = 12
	for n := range keys {
		entry := mesh.Instances[n%len(mesh.Instances)]
		key := fmt.Sprintf("cut-%d", n)
		sendAndLeave(t, entry, key, time.Duration(20*n)*time.Millisecond)
		for try := range 3 {
			if load.send(entry, fmt.Sprintf("%s-%d", key, try), key, nil) == answered {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	checkHonest(t, mesh, load.sent)
	if got := count(load.sent, answered); got != keys {
		t.Errorf("%d of %d keys answered when the caller came back", got, keys)
	}
}

// sendAndLeave sends a keyed request and closes the connection after a while.
func sendAndLeave(t *testing.T, entry *harness.Instance, key string, after time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Caller+"/order-lines", strings.NewReader("line for "+key))
	must(t, err)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Request-Tag", key+"-left")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}
