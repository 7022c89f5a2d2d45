// Command calls measures the data path on one machine: latency, processor time
// and allocations that two daemons add to a call, the transport between
// daemons, and goodput under overload against two baselines. All parts run in
// one process over loopback connections; there is no simulated network.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// options is the command line.
type options struct {
	Part   string        `long:"part" description:"what to measure" choice:"latency" choice:"transport" choice:"goodput" choice:"all" default:"all"`
	Length time.Duration `long:"time" description:"length of each run" default:"5s"`
	Rates  []int         `long:"rate" description:"calls per second of the latency and transport runs" default:"150" default:"1500" default:"6000"`
	Loads  []float64     `long:"load" description:"offered load of the goodput runs, in multiples of capacity" default:"0.5" default:"1" default:"2" default:"4"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var asked *flags.Error
		if errors.As(err, &asked) && asked.Type == flags.ErrHelp {
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
	parts := []struct {
		name string
		run  func(options) error
	}{
		{"transport", measureTransport},
		{"latency", measureLatency},
		{"goodput", measureGoodput},
	}
	for _, part := range parts {
		if opts.Part != "all" && opts.Part != part.name {
			continue
		}
		if err := part.run(opts); err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return nil
}
