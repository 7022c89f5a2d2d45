// Command control measures the control plane on one machine: how fast and at
// what cost configurations and member records spread among real daemons on
// loopback, beside simple baselines in the same run, and what one reducer
// costs with large member tables. There is no simulated network.
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

// meshName is the mesh of all runs.
const meshName = "measure"

// dataCentres hold the daemons in turn.
var dataCentres = []string{"dc-a", "dc-b", "dc-c"}

// sizes are the fleets of real daemons to measure.
type sizes struct {
	Daemons []int `long:"daemons" default:"12" default:"24" default:"48" default:"96" description:"how many daemons; may be repeated"`
}

// target is the fleet that fitted lines are drawn out to.
const target = 2200

// maxDaemons bounds the processes of one run.
const maxDaemons = 150

func main() {
	parser := flags.NewNamedParser("control", flags.Default)
	commands := []struct {
		name, short string
		data        any
	}{
		{"config", "spread of configurations, start storm and two baselines", &configCommand{}},
		{"members", "cost at rest, detection and drain of real daemons", &membersCommand{}},
		{"tables", "one reducer and a few real daemons with large member tables", &tablesCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	if _, err := parser.Parse(); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

// withFleets builds the commands and runs measure for each size on a fleet of
// its own.
func withFleets(counts []int, measure func(*fleet) error) error {
	dir, err := os.MkdirTemp("", "godwitmount-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	binaries, err := harness.Build(context.Background(), ".", dir)
	if err != nil {
		return err
	}
	for _, count := range counts {
		if count > maxDaemons {
			return fmt.Errorf("%d daemons exceed the bound of %d", count, maxDaemons)
		}
		if err := withFleet(binaries, dir, count, measure); err != nil {
			return fmt.Errorf("%d daemons: %w", count, err)
		}
	}
	return nil
}

func withFleet(binaries harness.Binaries, dir string, count int, measure func(*fleet) error) error {
	dir, err := os.MkdirTemp(dir, fmt.Sprintf("fleet-%d-", count))
	if err != nil {
		return err
	}
	f := newFleet(harness.NewMesh(meshName, dir, binaries), count)
	defer f.mesh.Close()
	began := time.Now()
	if err := f.start(); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "%d daemons know each other after %.1f s\n", count, time.Since(began).Seconds())
	return measure(f)
}
