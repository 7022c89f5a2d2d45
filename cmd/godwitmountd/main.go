// Command godwitmountd is the daemon beside each upstream.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"godwitmount/internal/daemon"
	"godwitmount/internal/event"
	"godwitmount/internal/logbook"
	"godwitmount/internal/settings"
	"godwitmount/internal/version"
	"godwitmount/platform"
)

// options is the command line.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file, JSON with comments; without it the platform's own settings file is read"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
	exitCutOff   = 4
)

// stopMargin is how much longer than the grace a stop is waited for.
const stopMargin = time.Second

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
	loaded, err := load(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "godwitmountd:", err)
		return exitSettings
	}
	return serve(loaded)
}

// load reads the product's settings file, or the platform's.
func load(file string) (*settings.Daemon, error) {
	if file == "" {
		return platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	}
	loaded, problems := settings.Load(file)
	if problems != nil {
		return nil, problems
	}
	return loaded, nil
}

// serve runs the daemon until SIGTERM or SIGINT, then stops it as planned.
func serve(loaded *settings.Daemon) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	level, err := zapcore.ParseLevel(loaded.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, "godwitmountd: log_level:", err)
		return exitSettings
	}
	log := logbook.New(os.Stdout, loaded.Instance, level, loaded.LogLines)
	defer log.Close()
	debug.SetMemoryLimit(loaded.MemoryLimit)
	d, err := daemon.Start(daemon.Config{Settings: loaded, Platform: platform.Join(loaded), Log: log})
	if err != nil {
		log.Warn(event.ListenFailed, zap.Error(err))
		return exitFailed
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		log.Event(event.SettingsReread)
	}
	ctx, cancel := context.WithTimeout(context.Background(), loaded.ShutdownGrace.Std()+stopMargin)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		return exitCutOff
	}
	return exitOK
}
