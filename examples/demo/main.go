// Command demo builds the commands, runs a whole mesh of real processes on
// loopback, publishes a manifest, sends a few calls and stops everything as
// planned, printing each step.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"godwitmount/test/harness"
)

// options is the command line.
type options struct {
	Manifest string `long:"manifest" default:"examples/stockist.hujson" description:"manifest to publish"`
	Keep     bool   `long:"keep" description:"keep the mesh running until Enter is pressed"`
}

// stepTimeout bounds each step.
const stepTimeout = 60 * time.Second

// worker is one instance of the demonstration.
type worker struct {
	dataCentre, service string
}

const (
	meshName    = "kendal-brine"
	workerSlots = 10
)

// workers are the instances of the stockist mesh: six orders-desk and three
// dispatch-desk over three data centres.
func workers() []worker {
	var all []worker
	for _, dataCentre := range []string{"kendal-a", "penrith-b", "lancaster-c"} {
		all = append(all,
			worker{dataCentre, "orders-desk"},
			worker{dataCentre, "orders-desk"},
			worker{dataCentre, "dispatch-desk"})
	}
	return all
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	dir, err := os.MkdirTemp("", "godwitmount-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	say("building the commands")
	binaries, err := harness.Build(context.Background(), ".", dir)
	if err != nil {
		return err
	}
	mesh := harness.NewMesh(meshName, dir, binaries)
	defer mesh.Close()
	if err := start(mesh); err != nil {
		return err
	}
	if err := publish(mesh, opts.Manifest); err != nil {
		return err
	}
	if err := calls(mesh); err != nil {
		return err
	}
	if opts.Keep {
		describe(mesh)
		_, _ = fmt.Scanln()
	}
	return stop(mesh)
}

func say(format string, args ...any) {
	fmt.Printf("== "+format+"\n", args...)
}

func start(mesh *harness.Mesh) error {
	if err := mesh.StartPlatform(); err != nil {
		return err
	}
	say("platform stand-in at %s", mesh.Platform.URL)
	for _, w := range workers() {
		instance, err := mesh.Add(w.dataCentre, w.service, workerSlots)
		if err != nil {
			return err
		}
		fmt.Printf("   %-12s %-13s callers %s, peers %s\n", w.dataCentre, w.service, instance.Caller, instance.Peer)
	}
	return nil
}

// publish proposes and accepts the manifest and waits until it is in force.
func publish(mesh *harness.Mesh, file string) error {
	say("godwitmountctl propose %s", file)
	out, err := tool(mesh, "propose", file, "--platform", mesh.Platform.URL)
	if err != nil {
		return err
	}
	digest := lastHex(out)
	say("godwitmountctl accept %s --wait", digest)
	_, err = tool(mesh, "accept", digest, "--platform", mesh.Platform.URL, "--by", "demo", "--wait",
		"--timeout", stepTimeout.String(), "--daemon", mesh.Instances[0].Peer)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	say("waiting until each data centre knows all upstreams")
	if err := harness.Await(ctx, "upstreams", func() bool { return allKnown(mesh) }); err != nil {
		return err
	}
	_, err = tool(mesh, "status", "--daemon", mesh.Instances[0].Peer)
	return err
}

// allKnown reports whether every daemon routes to every upstream.
func allKnown(mesh *harness.Mesh) bool {
	want := fmt.Sprintf("godwitmount_upstreams %d\n", len(mesh.Instances))
	for _, instance := range mesh.Instances {
		if !strings.Contains(get("http://"+instance.Local+"/metrics"), want) {
			return false
		}
	}
	return true
}

func get(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// tool runs godwitmountctl and prints what it says.
func tool(mesh *harness.Mesh, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(mesh.Binaries.Dir, "godwitmountctl"), args...)
	var out bytes.Buffer
	cmd.Stdout = io.MultiWriter(os.Stdout, &out)
	cmd.Stderr = os.Stdout
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("godwitmountctl %s: %w", args[0], err)
	}
	return out.String(), nil
}

// lastHex returns the digest that propose printed.
func lastHex(out string) string {
	const digits = 64
	for _, word := range strings.Fields(out) {
		if len(word) == digits {
			return word
		}
	}
	return ""
}

// call is one request of the demonstration.
type call struct {
	from         int
	method, path string
	key          string
}

func calls(mesh *harness.Mesh) error {
	say("a few calls")
	for _, c := range []call{
		{0, http.MethodGet, "/stock/pickle", ""},
		{4, http.MethodGet, "/price-sheets/autumn", ""},
		{8, http.MethodPost, "/order-lines", "grocer-17-2026-12-04"},
		{1, http.MethodPost, "/order-lines", "grocer-17-2026-12-04"},
		{2, http.MethodGet, "/nowhere", ""},
	} {
		if err := send(mesh.Instances[c.from], c); err != nil {
			return err
		}
	}
	return nil
}

func send(entry *harness.Instance, c call) error {
	req, err := http.NewRequest(c.method, "http://"+entry.Caller+c.path, strings.NewReader(""))
	if err != nil {
		return err
	}
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	fmt.Printf("   %s %s at %s -> %s %s %s\n      %s\n", c.method, c.path, entry.DataCentre, resp.Status,
		resp.Header.Get("Godwitmount-Outcome"), resp.Header.Get("Godwitmount-Code"), bytes.TrimSpace(body))
	return nil
}

func describe(mesh *harness.Mesh) {
	say("running; logs are in %s; press Enter to stop", mesh.Dir)
	for _, instance := range mesh.Instances {
		fmt.Printf("   %s: callers http://%s, metrics http://%s/metrics, daemon pid %d\n",
			instance.Instance, instance.Caller, instance.Local, instance.Daemon.Pid())
	}
}

// stop ends every process with SIGTERM and reports any that did not end well.
func stop(mesh *harness.Mesh) error {
	say("planned stop of every process")
	var failed error
	for _, instance := range mesh.Instances {
		failed = errors.Join(failed, instance.Upstream.Stop(), instance.Daemon.Stop())
	}
	failed = errors.Join(failed, mesh.Platform.Stop())
	if failed == nil {
		say("done: nothing was cut off")
	}
	return failed
}
