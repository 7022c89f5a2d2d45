// Command config measures how versions spread through real daemons on loopback:
// convergence time, control bytes, platform reads, processor time and memory at
// growing counts of daemons, and two baselines in the same run: every process
// polls the platform for the whole manifest, and whole manifests are pushed.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"godwitmount/test/harness"
)

// options is the command line.
type options struct {
	Counts   []int         `long:"daemons" default:"12" default:"24" default:"48" default:"96" description:"counts of daemons"`
	Versions int           `long:"versions" default:"5" description:"versions published at each count"`
	Pause    time.Duration `long:"pause" default:"4s" description:"time between two versions"`
	Idle     time.Duration `long:"idle" default:"10s" description:"length of the idle window before them"`
	Manifest string        `long:"manifest" default:"examples/stockist.hujson" description:"manifest to publish; a route's deadline changes with each version"`
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
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	dir, err := os.MkdirTemp("", "measure-config-")
	if err != nil {
		return fmt.Errorf("work folder: %w", err)
	}
	defer os.RemoveAll(dir)
	binaries, err := harness.Build(context.Background(), ".", dir)
	if err != nil {
		return err
	}
	bodies, err := bodiesOf(opts.Manifest, opts.Versions+1)
	if err != nil {
		return err
	}
	fmt.Printf("manifest %s: %d bytes canonical; each version changes one route\n", opts.Manifest, len(bodies[0].body))
	for _, count := range opts.Counts {
		err := errors.Join(
			measureDaemons(opts, binaries, dir, count, bodies),
			measurePolling(opts, binaries, dir, count, bodies),
			measurePush(opts, count, bodies),
		)
		if err != nil {
			return err
		}
	}
	return nil
}
