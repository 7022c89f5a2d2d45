// Command demo runs a whole mesh in one process on loopback: a stand-in for the
// platform's store and, in three data centres, nine daemons with their upstreams.
// It publishes a configuration, sends requests, changes the configuration, drains
// an upstream and performs planned stops.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"godwitmount/platform/platformtest"
)

const (
	// timeout bounds the demonstration. With -keep, it bounds the part before the
	// wait for Enter and the planned stops after it, each by itself.
	timeout = time.Minute
	// workTime is how long an upstream runs each request.
	workTime = 20 * time.Millisecond
	host     = "stockist.example"
)

func main() {
	keep := flag.Bool("keep", false, "keep the mesh running until Enter is pressed")
	logs := flag.Bool("logs", false, "show the daemons' logs")
	flag.Parse()
	if err := run(*keep, *logs); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(keep, logs bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	output := io.Discard
	if logs {
		output = os.Stderr
	}
	mesh, err := platformtest.StartMesh(nodeConfigs(), workTime, output)
	if err != nil {
		return err
	}
	defer mesh.Close()
	mesh.Store.Publish(configuration(1, "orders-desk"))
	if err := mesh.Ready(ctx); err != nil {
		return err
	}
	fmt.Printf("%d daemons in 3 data centres are ready with version 1\n", len(mesh.Nodes))
	if err := showFeatures(ctx, mesh); err != nil {
		return err
	}
	if keep {
		for _, node := range mesh.Nodes {
			fmt.Printf("%-14s callers at %s, metrics at %s\n", node.Settings.Instance, node.Settings.CallerListen, node.Settings.MetricsListen)
		}
		fmt.Println("press Enter to stop")
		// The end of standard input stops the demonstration as well.
		_, _ = fmt.Scanln()
		ctx, cancel = context.WithTimeout(context.Background(), timeout)
		defer cancel()
	}
	return stopAll(ctx, mesh)
}

// nodeConfigs returns the nine instances: three in each of three data centres.
func nodeConfigs() []platformtest.NodeConfig {
	var all []platformtest.NodeConfig
	for _, dataCentre := range []string{"kendal-a", "penrith-b", "lancaster-c"} {
		all = append(all,
			platformtest.NodeConfig{DataCentre: dataCentre, Service: "orders-desk"},
			platformtest.NodeConfig{DataCentre: dataCentre, Service: "orders-desk"},
			platformtest.NodeConfig{DataCentre: dataCentre, Service: "dispatch-desk"})
	}
	return all
}

// configuration returns the manifest of the demonstration in the platform's
// format. sheetsService serves the paths under /sheets/.
func configuration(version uint64, sheetsService string) []byte {
	return platformtest.Config(version, []string{"orders-desk", "dispatch-desk"},
		platformtest.Route{Host: host, Prefix: "/stock/", Kind: platformtest.Idempotent, Service: "orders-desk", TimeoutMS: 1000, GoalMS: 300, Priority: 2, MaxAttempts: 2},
		platformtest.Route{Host: host, Prefix: "/orders/", Kind: platformtest.NonIdempotent, Service: "orders-desk", TimeoutMS: 1200, GoalMS: 400, Priority: 1, MaxAttempts: 2},
		platformtest.Route{Host: host, Prefix: "/sheets/", Kind: platformtest.Download, Service: sheetsService, TimeoutMS: 1000, GoalMS: 300, Priority: 2, MaxAttempts: 2})
}

// showFeatures shows single requests, a change of the configuration, and many
// requests while an upstream drains.
func showFeatures(ctx context.Context, mesh *platformtest.Mesh) error {
	for _, request := range []struct{ method, path string }{
		{http.MethodGet, "/stock/pickle"}, {http.MethodPost, "/orders/"}, {http.MethodGet, "/sheets/2026"}, {http.MethodGet, "/nowhere"},
	} {
		status, body, err := send(ctx, mesh.Nodes[0], request.method, request.path)
		if err != nil {
			return err
		}
		fmt.Printf("%-4s %-14s %d %s\n", request.method, request.path, status, strings.TrimSpace(body))
	}
	mesh.Store.Publish(configuration(2, "dispatch-desk"))
	began := time.Now()
	// Version 2 is in force on a daemon once it sends the path to an instance of
	// dispatch-desk: number 3, 6 or 9.
	for _, node := range mesh.Nodes {
		for {
			_, body, err := send(ctx, node, http.MethodGet, "/sheets/2026")
			if err != nil {
				return err
			}
			if strings.HasPrefix(body, "i-"+node.Settings.DataCentre+"-3") || strings.Contains(body, "-6 ") || strings.Contains(body, "-9 ") {
				break
			}
		}
	}
	fmt.Printf("version 2 is in force on all daemons after %s\n", time.Since(began).Round(time.Millisecond))
	draining := mesh.Nodes[1]
	draining.StopReports()
	if _, err := draining.Upstream.Report(ctx, "draining"); err != nil {
		return err
	}
	counts, err := burst(ctx, mesh)
	if err != nil {
		return err
	}
	fmt.Printf("while %s drains, 200 concurrent requests: %v\n", draining.Settings.Instance, counts)
	return nil
}

// burst sends concurrent requests through all daemons and counts their HTTP
// statuses; status 0 is a request without a complete response. The error is that
// of one such request, or nil if there is none.
func burst(ctx context.Context, mesh *platformtest.Mesh) (map[int]int, error) {
	const requests = 200
	var mu sync.Mutex
	var lastErr error
	counts := map[int]int{}
	var wg sync.WaitGroup
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _, err := send(ctx, mesh.Nodes[i%len(mesh.Nodes)], http.MethodGet, "/stock/"+strconv.Itoa(i))
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
			if err != nil {
				lastErr = err
			}
		}()
	}
	wg.Wait()
	return counts, lastErr
}

// send sends one request to a node's daemon and returns the response's status and
// body.
func send(ctx context.Context, node *platformtest.Node, method, path string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.Settings.CallerListen+path, http.NoBody)
	if err != nil {
		return 0, "", fmt.Errorf("%s %s: %w", method, path, err)
	}
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", fmt.Errorf("%s %s: %w", method, path, err)
	}
	return response.StatusCode, string(body), nil
}

// stopAll performs planned stops of all daemons at the same time.
func stopAll(ctx context.Context, mesh *platformtest.Mesh) error {
	errs := make(chan error, len(mesh.Nodes))
	for _, node := range mesh.Nodes {
		go func() { errs <- node.Daemon.Stop(ctx) }()
	}
	for range mesh.Nodes {
		if err := <-errs; err != nil {
			return err
		}
	}
	fmt.Println("all daemons have stopped; no request was cut off")
	return nil
}
