// Command godwitmountd is the mesh daemon that runs beside each upstream.
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

	"godwitmount/internal/asynclog"
	"godwitmount/internal/daemon"
	"godwitmount/internal/event"
	"godwitmount/internal/settings"
	"godwitmount/internal/version"
	"godwitmount/platform"
)

// options are the command-line options.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file, JSON with comments; without it the platform's own settings file is read"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Exit codes. The help text lists them, too.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitSettings   = 3
	exitIncomplete = 4
)

// settingsPollInterval is how often the modification time of the settings file
// is checked: the file may change without a SIGHUP.
const settingsPollInterval = time.Second

// stopMargin is how much longer than the shutdown grace a planned stop may take
// before it is aborted.
const stopMargin = time.Second

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	parser.LongDescription = "Exit codes: 0 planned stop, 1 failed to start, 2 invalid command line, 3 invalid settings, 4 stopped before all requests in flight had ended."
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

// load reads the given settings file or, if file is empty, the platform's.
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

// stopAndReload holds the channels of the signals that the daemon handles. Each has
// its own, so that an unread SIGHUP does not displace a SIGTERM.
type stopAndReload struct {
	stop, reload chan os.Signal
}

// notifySignals starts the delivery of signals.
func notifySignals() stopAndReload {
	signals := stopAndReload{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(signals.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(signals.reload, syscall.SIGHUP)
	return signals
}

// watchSettings reloads the settings on SIGHUP and when their file changes.
// Daemon.Reload says which of them take effect before the next start. It returns
// on SIGTERM or SIGINT.
func watchSettings(opts options, d *daemon.Daemon, signals stopAndReload) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := settingsModTime(opts.Settings)
	for {
		select {
		case <-signals.stop:
			return
		case <-signals.reload:
		case <-ticker.C:
			if settingsModTime(opts.Settings).Equal(lastModified) {
				continue
			}
		}
		lastModified = settingsModTime(opts.Settings)
		reloaded, err := load(opts.Settings)
		if err != nil {
			d.LogReloadError(err)
			continue
		}
		d.Reload(reloaded)
	}
}

// settingsModTime returns the modification time of the settings file, or zero if
// it is unknown.
func settingsModTime(file string) time.Time {
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// serve runs the daemon until SIGTERM or SIGINT, performs a planned stop and
// returns the exit code.
func serve(opts options, loaded *settings.Daemon) int {
	signals := notifySignals()
	level, err := zapcore.ParseLevel(loaded.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, "godwitmountd: log_level:", err)
		return exitSettings
	}
	log := asynclog.New(os.Stdout, loaded.Instance, level, loaded.LogLinesPerSecond)
	defer log.Close()
	debug.SetMemoryLimit(loaded.MemoryLimitBytes)
	readSettings := func() (*settings.Daemon, error) { return load(opts.Settings) }
	d, err := daemon.Start(daemon.Config{Settings: loaded, Platform: platform.NewAdapter(loaded), Log: log, ReadSettings: readSettings})
	if err != nil {
		log.Warn(event.ListenFailed, zap.Error(err))
		return exitFailed
	}
	watchSettings(opts, d, signals)
	ctx, cancel := context.WithTimeout(context.Background(), loaded.ShutdownGrace.Std()+stopMargin)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		return exitIncomplete
	}
	return exitOK
}
