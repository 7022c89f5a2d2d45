// Command upstream-standin is an upstream for tests and the quick start.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"godwitmount/internal/event"
	"godwitmount/internal/upstreamstandin"
)

// options is the command line.
type options struct {
	Instance    string        `long:"instance" description:"name in answers" default:"standin"`
	Service     string        `long:"service" description:"service of the manifest that this is an upstream of" required:"true"`
	Listen      string        `long:"listen" description:"host:port for requests" default:"127.0.0.1:0"`
	Control     string        `long:"control" description:"host:port for counts (GET /stats)" default:"127.0.0.1:0"`
	Daemon      string        `long:"daemon" description:"host:port of the local listener of its daemon; empty announces nothing"`
	Slots       int           `long:"slots" description:"requests that run at once" default:"10"`
	ColdStart   time.Duration `long:"cold-start" description:"time before it is ready" default:"0s"`
	ServiceTime time.Duration `long:"service-time" description:"time a request runs" default:"5ms"`
	Drain       time.Duration `long:"drain" description:"longest wait for running requests in a planned stop" default:"30s"`
	LogRuns     bool          `long:"log-runs" description:"write a log line for each request before it runs"`
	Linger      time.Duration `long:"linger" description:"time that requests are still taken after a planned stop was announced" default:"200ms"`
}

// Exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitCrashed = 3
)

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var asked *flags.Error
		if errors.As(err, &asked) && asked.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func run(opts options) error {
	if opts.Slots < 1 {
		return fmt.Errorf("--slots must be at least 1")
	}
	log, err := zap.NewProduction()
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Sync() }()
	standin, err := upstreamstandin.New(config(opts, log))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	event.DaemonStarted.Info(log, zap.String("listen", standin.Address()), zap.String("control", standin.ControlAddress()))
	if err := standin.Run(ctx); err != nil {
		return err
	}
	event.DaemonStopped.Info(log)
	return nil
}

func config(opts options, log *zap.Logger) upstreamstandin.Config {
	return upstreamstandin.Config{
		LogRuns:     opts.LogRuns,
		Instance:    opts.Instance,
		Service:     opts.Service,
		Listen:      opts.Listen,
		Control:     opts.Control,
		Daemon:      opts.Daemon,
		Slots:       opts.Slots,
		ColdStart:   opts.ColdStart,
		ServiceTime: opts.ServiceTime,
		DrainBound:  opts.Drain,
		Linger:      opts.Linger,
		Exit:        func() { os.Exit(exitCrashed) },
		Log:         log,
	}
}
