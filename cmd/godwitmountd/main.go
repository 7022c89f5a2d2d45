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

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = time.Second

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
	return serve(opts, loaded)
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

// follow takes changed settings, with SIGHUP or without, until the daemon is
// told to stop.
func follow(opts options, d *daemon.Daemon, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := settingsTime(opts.Settings)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
			if settingsTime(opts.Settings).Equal(seen) {
				continue
			}
		}
		seen = settingsTime(opts.Settings)
		fresh, err := load(opts.Settings)
		if err != nil {
			d.RefuseReload(err)
			continue
		}
		d.Reload(fresh)
	}
}

// settingsTime is when the settings file was last changed; zero if it cannot
// be told.
func settingsTime(file string) time.Time {
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// serve runs the daemon until SIGTERM or SIGINT, then stops it as planned.
func serve(opts options, loaded *settings.Daemon) int {
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
	follow(opts, d, signals)
	ctx, cancel := context.WithTimeout(context.Background(), loaded.ShutdownGrace.Std()+stopMargin)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		return exitCutOff
	}
	return exitOK
}
