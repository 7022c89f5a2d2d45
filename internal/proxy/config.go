// Package proxy is the data path: it takes calls from callers, gives each to
// an upstream through the daemon beside it, and tells callers truthfully what
// became of their requests.
//
// The entry daemon matches the route, chooses the upstream and sends the call
// to the executing daemon, which admits it, obtains the claim if the call has
// an Idempotency-Key, and sends it to the upstream on the loopback interface.
// When the entry daemon's own upstream is chosen, both run in one process.
package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"godwitmount/internal/claim"
	"godwitmount/internal/membership"
	"godwitmount/internal/routing"
	"godwitmount/internal/step"
)

// Config is the limits and times of the data path. The zero value of a field
// takes its default.
type Config struct {
	// Instance and Incarnation name this daemon.
	Instance    string
	Incarnation uint64
	// DataCentre is where this daemon runs.
	DataCentre string
	// MaxHeaderBytes bounds names and values of a request's header together.
	// Default 32 KiB.
	MaxHeaderBytes int
	// BufferedBody is the largest request body in bytes that is held so that
	// it can be sent again. Default 64 KiB.
	BufferedBody int
	// KeyedBody is the largest body in bytes of a request with an
	// Idempotency-Key; such a body is always held. Default 1 MiB.
	KeyedBody int
	// MaxBody bounds request bodies of services that set no limit. Default
	// 64 MiB.
	MaxBody int64
	// BufferedAnswer is the largest answer body in bytes that is held until
	// it is whole; longer ones are streamed. Default 64 KiB.
	BufferedAnswer int
	// DefaultDeadline is for routes that set none. Default 10 s.
	DefaultDeadline time.Duration
	// MaxDeadline bounds the deadline a caller may ask for. Default 1 h.
	MaxDeadline time.Duration
	// FenceBound is how long to wait for the answer to a fence. Default 50 ms.
	FenceBound time.Duration
	// DialTimeout bounds the opening of a connection. Default 250 ms.
	DialTimeout time.Duration
	// IdleConnections is how many idle connections are kept for each peer.
	// Default 32.
	IdleConnections int
	// IdleTimeout is how long an idle connection is kept. The servers of peers
	// must keep theirs longer. Default 2 min.
	IdleTimeout time.Duration
	// QueuePerSlot is the queue limit for each slot of services that set no
	// limit. Default 2.
	QueuePerSlot int
	// ClaimWait bounds how long a repeat waits for the first request with its
	// key to finish. Default 500 ms.
	ClaimWait time.Duration
	// Redirects is how many times a call may be given to another upstream
	// because the chosen one proved to be gone or leaving; they need no retry
	// rule and take nothing from its budget. Default 2.
	Redirects int
	// DecisionBuffer is how many decision lines may wait to be written.
	// Default 8192.
	DecisionBuffer int
	// Ejection is when an upstream is passed over because of its failures.
	Ejection routing.EjectionConfig
}

// withDefaults fills the fields that are zero.
func (c Config) withDefaults() Config {
	setDefault(&c.MaxHeaderBytes, 32<<10)
	setDefault(&c.BufferedBody, 64<<10)
	setDefault(&c.KeyedBody, 1<<20)
	setDefault(&c.MaxBody, 64<<20)
	setDefault(&c.BufferedAnswer, 64<<10)
	setDefault(&c.DefaultDeadline, 10*time.Second)
	setDefault(&c.MaxDeadline, time.Hour)
	setDefault(&c.FenceBound, 50*time.Millisecond)
	setDefault(&c.DialTimeout, 250*time.Millisecond)
	setDefault(&c.IdleConnections, 32)
	setDefault(&c.IdleTimeout, 2*time.Minute)
	setDefault(&c.QueuePerSlot, 2)
	setDefault(&c.ClaimWait, 500*time.Millisecond)
	setDefault(&c.Redirects, 2)
	setDefault(&c.DecisionBuffer, 8192)
	if c.Ejection == (routing.EjectionConfig{}) {
		c.Ejection = routing.DefaultEjection()
	}
	return c
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Fences remembers which attempts were started and which must never be. Both
// methods may be called from any goroutine.
type Fences interface {
	// Start records that the attempt starts now; false means that it was
	// fenced and must not.
	Start(attempt string) bool
	// Fence records that the attempt must never start; false means that it
	// has started.
	Fence(attempt string) bool
}

// Quarantine tells which requests crash upstreams. The methods may be called
// from any goroutine.
type Quarantine interface {
	// Refused tells whether requests with the fingerprint are refused, and
	// when coming back makes sense.
	Refused(fingerprint claim.Hash) (bool, time.Duration)
	// Started, Finished and Crashed tell that the local upstream began a
	// request, ended it, or was lost while it ran it. Each Started is followed
	// by one of the others.
	Started(fingerprint claim.Hash)
	Finished(fingerprint claim.Hash)
	Crashed(fingerprint claim.Hash)
}

// Deps is what the data path works with.
type Deps struct {
	// Snapshot returns the newest routes and upstreams, or nil while the
	// daemon has no configuration.
	Snapshot func() *routing.Snapshot
	// Claims may be nil; requests with an Idempotency-Key are refused then.
	Claims claim.Claims
	Fences Fences
	// Quarantine may be nil.
	Quarantine Quarantine
	// FencePeer asks the daemon at the address to fence the attempt; nil means
	// that fates stay unknown.
	FencePeer func(ctx context.Context, address, attempt string) (notRun bool, err error)
	// DialPeer opens connections to other daemons; nil dials directly.
	DialPeer DialFunc
	// Report receives what the control core should know; it must not block.
	// It may be nil.
	Report func(step.Event)
	Log    *zap.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
	// Rand returns a random number; nil takes math/rand/v2.
	Rand func() uint64
}

func (d Deps) check() error {
	if d.Snapshot == nil || d.Fences == nil || d.Log == nil {
		return fmt.Errorf("proxy: Snapshot, Fences and Log must be set")
	}
	return nil
}

func (d Deps) withDefaults(cfg Config) Deps {
	if d.DialPeer == nil {
		d.DialPeer = directDial(cfg.DialTimeout)
	}
	if d.Rand == nil {
		d.Rand = rand.Uint64
	}
	if d.Report == nil {
		d.Report = func(step.Event) {}
	}
	if d.Registerer == nil {
		d.Registerer = prometheus.NewRegistry()
	}
	return d
}

// Upstream is the local upstream as it last announced itself.
type Upstream struct {
	Service string
	// Address is host:port of its HTTP listener.
	Address string
	Slots   int
	State   membership.UpstreamState
}

// LocalUpstreamLost tells the control core that the local upstream accepts no
// connections or broke one while it ran a request.
type LocalUpstreamLost struct {
	Address string
}

// EventName implements step.Event.
func (LocalUpstreamLost) EventName() string { return "local-upstream-lost" }

// PeerUnreachable tells the control core that another daemon accepted no
// connection.
type PeerUnreachable struct {
	Instance string
	Address  string
}

// EventName implements step.Event.
func (PeerUnreachable) EventName() string { return "peer-unreachable" }
