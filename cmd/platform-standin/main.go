// Command platform-standin takes the platform's place in tests and in the
// quick start. It keeps everything in memory.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"godwitmount/internal/event"
	"godwitmount/internal/platformstandin"
)

// version is set at link time.
var version = "dev"

// headerTimeout bounds reading a request's headers.
const headerTimeout = 10 * time.Second

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"host:port to serve on; port 0 takes a free one"`
	AddressFile string        `long:"address-file" description:"write the address in use to this file"`
	Reads       int           `long:"reads-per-second" default:"2000" description:"ceiling for reads, 0 for none"`
	Writes      int           `long:"writes-per-second" default:"500" description:"ceiling for rows written, 0 for none"`
	Grace       time.Duration `long:"grace" default:"10s" description:"how long a planned stop waits for requests in flight"`
	Version     bool          `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var opts options
	if _, err := flags.NewParser(&opts, flags.Default).ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitUsage
	}
	if opts.Version {
		fmt.Println("platform-standin", version)
		return exitOK
	}
	log, err := zap.NewProduction()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = log.Sync() }()
	if err := serve(opts, log); err != nil {
		log.Error("platform-standin failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

func serve(opts options, log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", opts.Listen, err)
	}
	address := listener.Addr().String()
	if err := writeAddress(opts.AddressFile, address); err != nil {
		return err
	}
	cfg := platformstandin.Config{ReadsPerSecond: opts.Reads, WritesPerSecond: opts.Writes}
	store := platformstandin.NewStore(cfg)
	server := &http.Server{Handler: platformstandin.NewHandler(store), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	event.DaemonStarted.Info(log, zap.String("address", address))
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return shutDown(server, store, opts.Grace, log)
}

// shutDown lets requests in flight finish; those that hang in an outage are
// refused so that they can.
func shutDown(server *http.Server, store *platformstandin.Store, grace time.Duration, log *zap.Logger) error {
	event.DaemonStopping.Info(log)
	if store.Faults().Outage == platformstandin.OutageHang {
		refuse := platformstandin.Faults{Outage: platformstandin.OutageRefuse}
		if err := store.SetFaults(refuse); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shut down: %w", err)
	}
	event.DaemonStopped.Info(log)
	return nil
}

// writeAddress writes the address whole or not at all, for others to read.
func writeAddress(file, address string) error {
	if file == "" {
		return nil
	}
	partial := file + ".partial"
	if err := os.WriteFile(partial, []byte(address+"\n"), 0o644); err != nil {
		return fmt.Errorf("address file: %w", err)
	}
	if err := os.Rename(partial, file); err != nil {
		return fmt.Errorf("address file: %w", err)
	}
	return nil
}
