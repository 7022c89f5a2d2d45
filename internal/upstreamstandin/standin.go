// Package upstreamstandin is a small upstream for tests and the quick start:
// it announces itself to its daemon, has slots, a cold start and a service
// time, sheds what exceeds its slots, drains on a planned stop, and counts
// what it ran. Its health and load endpoints mislead on purpose.
package upstreamstandin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"godwitmount/internal/membership"
)

// Config is how a stand-in behaves.
type Config struct {
	// Instance names the stand-in in its answers.
	Instance string
	Service  string
	// Listen is host:port for requests; Control is host:port for counts.
	Listen  string
	Control string
	// Daemon is host:port of the local listener of its daemon; empty announces
	// nothing.
	Daemon string
	Slots  int
	// ColdStart is how long it is starting before it is ready.
	ColdStart time.Duration
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// DrainBound bounds the wait for running requests in a planned stop.
	DrainBound time.Duration
	// Linger is how long it goes on taking requests after it announced that it
	// is draining.
	Linger time.Duration
	// Exit ends the process at a request that crashes it; nil takes a panic of
	// the listener: all connections are closed.
	Exit func()
	// LogRuns writes a line for each request before it runs, so that runs can
	// be counted also after the process was killed.
	LogRuns bool
	Log     *zap.Logger
}

// Standin is one running upstream.
type Standin struct {
	cfg       Config
	listener  net.Listener
	control   net.Listener
	server    *http.Server
	counts    *counts
	slots     chan struct{}
	announcer *announcer
	ready     time.Time
}

// New opens the listeners; Run serves.
func New(cfg Config) (*Standin, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	control, err := net.Listen("tcp", cfg.Control)
	if err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("listen on %s: %w", cfg.Control, err)
	}
	s := &Standin{
		cfg:      cfg,
		listener: listener,
		control:  control,
		counts:   newCounts(),
		slots:    make(chan struct{}, cfg.Slots),
	}
	s.announcer = newAnnouncer(cfg, listener.Addr().String())
	s.server = &http.Server{Handler: s.requests()}
	return s, nil
}

// Address is host:port for requests.
func (s *Standin) Address() string { return s.listener.Addr().String() }

// ControlAddress is host:port for counts.
func (s *Standin) ControlAddress() string { return s.control.Addr().String() }

// Run serves until ctx ends, then drains: it announces that it is draining,
// finishes what runs, announces that it is gone, and returns.
func (s *Standin) Run(ctx context.Context) error {
	s.ready = time.Now().Add(s.cfg.ColdStart)
	controlServer := &http.Server{Handler: s.controlPaths()}
	failed := make(chan error, 2)
	go serve(s.server, s.listener, failed)
	go serve(controlServer, s.control, failed)
	announcing, stopAnnouncing := context.WithCancel(context.Background())
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		s.announcer.run(announcing, s.cfg.ColdStart)
	}()
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	s.announcer.set(membership.UpstreamDraining)
	time.Sleep(s.cfg.Linger)
	bounded, cancel := context.WithTimeout(context.Background(), s.cfg.DrainBound)
	defer cancel()
	err = errors.Join(err, s.server.Shutdown(bounded))
	s.announcer.set(membership.UpstreamGone)
	stopAnnouncing()
	<-announced
	return errors.Join(err, controlServer.Close())
}

func serve(server *http.Server, listener net.Listener, failed chan<- error) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// requests are the paths that a daemon sends calls to; every other path is
// the echo.
func (s *Standin) requests() http.Handler {
	e := newEcho()
	e.GET("/bytes/:n", s.run(s.bytes))
	e.Any("/*", s.run(s.echo))
	e.GET("/healthz", misleadingHealth)
	e.GET("/load", misleadingLoad)
	return e
}

func (s *Standin) controlPaths() http.Handler {
	e := newEcho()
	e.GET("/stats", func(c echo.Context) error {
		return c.JSON(http.StatusOK, s.counts.snapshot())
	})
	return e
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// misleadingHealth always says well, even during the cold start and a drain.
func misleadingHealth(c echo.Context) error {
	return c.String(http.StatusOK, "ok")
}

// misleadingLoad always says idle.
func misleadingLoad(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string]int{"running": 0})
}
