// Command godwitmountd is the daemon in each upstream instance's slot.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"godwitmount/internal/code"
	"godwitmount/internal/daemon"
	"godwitmount/internal/event"
	"godwitmount/internal/settings"
	"godwitmount/internal/version"
)

// options is the command line.
type options struct {
	Settings    string `long:"settings" value-name:"FILE" description:"settings file, JSON with comments"`
	AddressFile string `long:"address-file" value-name:"FILE" description:"write the listening addresses to this file, as JSON"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
	exitCutOff   = 4
)

const addressFileMode = 0o644

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	parser.LongDescription = "Exit codes: 0 planned stop, 1 failed to start, 2 wrong use, 3 settings refused, 4 stopped before all work in flight was done."
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitUsage
	}
	if opts.Version {
		fmt.Println("godwitmountd", version.Get())
		return exitOK
	}
	if opts.Settings == "" {
		fmt.Fprintln(os.Stderr, "godwitmountd: --settings is required")
		return exitUsage
	}
	return runWith(opts)
}

func runWith(opts options) int {
	loaded, problems := settings.Load(opts.Settings)
	if problems != nil {
		for _, problem := range problems {
			fmt.Fprintln(os.Stderr, problem)
		}
		return exitSettings
	}
	log, err := newLogger(loaded)
	if err != nil {
		fmt.Fprintln(os.Stderr, "godwitmountd:", code.SettingsOutOfRange, err)
		return exitSettings
	}
	defer func() { _ = log.Sync() }()
	debug.SetMemoryLimit(loaded.MemoryLimit)
	return serve(opts, loaded, log)
}

// serve runs the daemon until SIGTERM or SIGINT, then stops it as planned.
func serve(opts options, loaded *settings.Daemon, log *zap.Logger) int {
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.Start(daemon.Config{Settings: loaded, Log: log})
	if err != nil {
		event.ListenFailed.Error(log, zap.Error(err))
		return exitFailed
	}
	if err := writeAddresses(opts.AddressFile, d.Addresses()); err != nil {
		log.Error("address file", zap.Error(err))
		return exitFailed
	}
	<-signals.Done()
	stop()
	ctx, cancel := context.WithTimeout(context.Background(), loaded.ShutdownGrace.Std())
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		return exitCutOff
	}
	return exitOK
}

func newLogger(s *settings.Daemon) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log_level: %w", err)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = level
	cfg.Encoding = string(s.LogFormat)
	cfg.Sampling = nil
	cfg.DisableCaller = true
	return cfg.Build()
}

// writeAddresses writes the file whole or not at all, so that a reader never
// sees a part.
func writeAddresses(file string, addresses daemon.Addresses) error {
	if file == "" {
		return nil
	}
	text, err := json.Marshal(addresses)
	if err != nil {
		return fmt.Errorf("encode addresses: %w", err)
	}
	part := file + ".part"
	if err := os.WriteFile(part, append(text, '\n'), addressFileMode); err != nil {
		return fmt.Errorf("write addresses: %w", err)
	}
	return os.Rename(part, file)
}
