// Package e2e tests real processes on loopback: kills, freezes, cuts, outages,
// races and planned stops.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"godwitmount/test/harness"
)

const (
	meshName = "kendal-brine"
	// settle bounds each wait for something that must come about.
	settle = 90 * time.Second
)

var dataCentres = []string{"kendal-a", "penrith-b", "lancaster-c"}

var binaries harness.Binaries

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "godwitmount-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries, err = harness.Build(context.Background(), "../..", dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startMesh starts a platform and perDC instances of orders-desk in each data
// centre.
func startMesh(t *testing.T, perDC int, upstreamArgs ...string) *harness.Mesh {
	t.Helper()
	mesh := harness.NewMesh(meshName, t.TempDir(), binaries)
	t.Cleanup(func() { finish(t, mesh) })
	must(t, mesh.StartPlatform())
	for range perDC {
		for _, dataCentre := range dataCentres {
			_, err := mesh.Add(dataCentre, "orders-desk", 10, append([]string{"--log-runs"}, upstreamArgs...)...)
			must(t, err)
		}
	}
	return mesh
}

// startReadyMesh starts a mesh and waits until each instance has version 1 in
// force and knows all upstreams.
func startReadyMesh(t *testing.T, perDC int, upstreamArgs ...string) *harness.Mesh {
	t.Helper()
	mesh := startMesh(t, perDC, upstreamArgs...)
	publishManifest(t, mesh, manifestSource(0))
	awaitVersion(t, mesh.Instances, 1)
	awaitUpstreams(t, mesh.Instances, len(mesh.Instances))
	return mesh
}

// finish ends the mesh, after a failure with the last log lines of each
// process.
func finish(t *testing.T, mesh *harness.Mesh) {
	mesh.Close()
	if !t.Failed() {
		return
	}
	const tail = 4000
	logs, _ := filepath.Glob(filepath.Join(mesh.Dir, "*.daemon.log"))
	for _, file := range logs {
		text, _ := os.ReadFile(file)
		t.Logf("%s:\n%s", filepath.Base(file), text[max(0, len(text)-tail):])
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	must(t, harness.Await(ctx, what, done))
}

// manifestSource is a manifest whose one route gives everything to
// orders-desk; the extra routes make versions differ.
func manifestSource(extra int) string {
	var routes strings.Builder
	for i := range extra {
		fmt.Fprintf(&routes, `{"name": "extra-%d", "match": {"path_prefix": "/extra/%d"}, "service": "orders-desk"},`, i, i)
	}
	return fmt.Sprintf(`{
  "mesh": %q,
  "data_centres": ["kendal-a", "penrith-b", "lancaster-c"],
  "services": [{"name": "orders-desk", "slow_start": "0s"}],
  "routes": [%s {"name": "all", "match": {"path_prefix": "/"}, "service": "orders-desk", "deadline": "5s", "retry": "reads"}],
  "retry_rules": [{"name": "reads", "attempts": 3, "on": ["not-run"], "budget_percent": 50}],
}`, meshName, routes.String())
}

// tool runs godwitmountctl and returns its output and exit code.
func tool(t *testing.T, mesh *harness.Mesh, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(filepath.Join(mesh.Binaries.Dir, "godwitmountctl"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// propose stores a manifest and returns its digest.
func propose(t *testing.T, mesh *harness.Mesh, source string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "manifest.hujson")
	must(t, os.WriteFile(file, []byte(source), 0o644))
	out, code := tool(t, mesh, "propose", file, "--json", "--platform", mesh.Platform.URL)
	if code != 0 {
		t.Fatalf("propose: exit %d\n%s", code, out)
	}
	var proposal struct{ Digest string }
	if err := json.Unmarshal([]byte(out), &proposal); err != nil {
		t.Fatalf("propose: %v\n%s", err, out)
	}
	return proposal.Digest
}

// publishManifest proposes and accepts a manifest.
func publishManifest(t *testing.T, mesh *harness.Mesh, source string) {
	t.Helper()
	digest := propose(t, mesh, source)
	out, code := tool(t, mesh, "accept", digest, "--platform", mesh.Platform.URL)
	if code != 0 {
		t.Fatalf("accept: exit %d\n%s", code, out)
	}
}

// awaitVersion waits until each of the instances has the version in force.
func awaitVersion(t *testing.T, instances []*harness.Instance, version int) {
	t.Helper()
	prefix := fmt.Sprintf("%d/", version)
	for _, instance := range instances {
		await(t, fmt.Sprintf("version %d on %s", version, instance.Instance), func() bool {
			return strings.HasPrefix(instance.Config(), prefix)
		})
	}
}

// awaitUpstreams waits until each of the instances routes to n upstreams.
func awaitUpstreams(t *testing.T, instances []*harness.Instance, n int) {
	t.Helper()
	line := fmt.Sprintf("godwitmount_upstreams %d\n", n)
	for _, instance := range instances {
		await(t, fmt.Sprintf("%d upstreams at %s", n, instance.Instance), func() bool {
			return strings.Contains(metricsOf(instance), line)
		})
	}
}

func metricsOf(instance *harness.Instance) string { return getText(instance.Local + "/metrics") }

// getText returns what a page answers, or "" when it cannot be reached.
func getText(page string) string {
	resp, err := http.Get("http://" + page)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// seeded returns the random numbers of a test, the same in every run.
func seeded(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}
