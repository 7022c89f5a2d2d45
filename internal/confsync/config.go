// Package confsync finds, fetches, spreads and applies configuration versions.
//
// Core is a pure reducer: events go in, effects come out, and it does no I/O,
// reads no clock and draws no random numbers of its own. Two daemons of each
// data centre poll the platform's head; news spreads from them by small
// notices, and receivers pull the body from the peer that told them. A version
// is compiled whole before it replaces the one in force, and an instance never
// applies a version below one it applied before, also across a restart: a few
// peers remember its floor.
package confsync

import (
	"reflect"
	"time"

	"godwitmount/internal/manifest"
)

// Config tunes a Core. Unset fields take the values of DefaultConfig.
type Config struct {
	// Mesh is the name of the mesh, sent in each request.
	Mesh string
	// Instance is the id of this daemon.
	Instance string
	// DataCentre is where this daemon runs.
	DataCentre string
	// Incarnation is larger at each start of the process.
	Incarnation uint64
	// Compile parses and compiles a canonical body. It may panic.
	Compile func(body []byte) (*manifest.Table, error)
	// MakeDelta returns target compressed with base, which may be empty, as
	// its dictionary.
	MakeDelta func(base, target []byte) []byte
	// ApplyDelta returns the target that MakeDelta was given with the same
	// base, or an error, or a wrong body.
	ApplyDelta func(base, delta []byte) ([]byte, error)

	// Pollers is how many daemons of a data centre poll the platform.
	Pollers int
	// PollInterval is the mean time between two polls of one polling daemon.
	PollInterval time.Duration
	// PollBackoff is the longest pause between polls while the platform is
	// away.
	PollBackoff time.Duration
	// PollTimeout is after how long a poll without an answer counts as failed.
	PollTimeout time.Duration
	// BackgroundInterval is the mean time between two polls by all daemons of
	// a data centre that do not poll regularly, taken together.
	BackgroundInterval time.Duration

	// Fanout is how many peers a daemon tells of a version it applied.
	Fanout int
	// NoticeHops is how often a notice may be passed on.
	NoticeHops uint32

	// FetchTimeout is after how long a first fetch without an answer counts as
	// failed; each failure adds as much, up to four times.
	FetchTimeout time.Duration
	// FetchBackoff is the longest pause after a failed fetch; it starts at a
	// sixteenth and doubles, with full jitter.
	FetchBackoff time.Duration
	// RumourAfter is how long after a peer last said that it has a version in
	// force one that cannot be had gives way to the platform's head.
	RumourAfter time.Duration
	// FetchFailures is after how many failed fetches a version is forgotten
	// until it is heard of again.
	FetchFailures int
	// ObjectInterval is the mean time between two last-resort reads of a body
	// from the platform by all daemons of a data centre that do not poll
	// regularly, taken together.
	ObjectInterval time.Duration
	// PeerFetches is how many failed fetches from peers come before one from
	// the platform.
	PeerFetches int
	// RemoteDelay is how long news from another data centre waits for the own
	// data centre to bring it; only the first polling daemon does not wait.
	RemoteDelay time.Duration

	// FloorPeers is how many peers remember this instance's floor.
	FloorPeers int
	// FloorTimeout bounds one round of telling them.
	FloorTimeout time.Duration
	// FloorRounds is how many rounds are made before the version is applied
	// without an answer.
	FloorRounds int
	// MaxFloors is how many instances' floors this daemon remembers.
	MaxFloors int
	// StartPeers is how many peers of the own data centre a starting daemon
	// asks, and StartRemotePeers how many of other ones.
	StartPeers       int
	StartRemotePeers int
	// StartSettle is how long a starting daemon waits at least while it knows
	// fewer than StartAnswers peers.
	StartSettle time.Duration
	// StartAnswers is how many answers are enough at any time.
	StartAnswers int
	// StartWait bounds how long a starting daemon waits for their answers.
	StartWait time.Duration
	// StartAlone is how long a starting daemon waits that knows nobody to ask.
	StartAlone time.Duration
	// StartConfirm bounds how long it then waits for the platform's head.
	StartConfirm time.Duration
	// StartJitter spreads the first poll of starting daemons.
	StartJitter time.Duration

	// History is how many recent bodies are kept for making deltas.
	History int
	// MaxBody is the largest manifest body in bytes.
	MaxBody int
	// ServeBytes is how many bytes a second are served to peers, and
	// ServeBurst how many at once.
	ServeBytes float64
	ServeBurst float64
	// ServeRequests is how many fetches a second are answered with a body, and
	// ServeRequestBurst how many at once.
	ServeRequests     float64
	ServeRequestBurst float64
}

// DefaultConfig returns the settings of a daemon without its identity and
// functions.
func DefaultConfig() Config {
	return Config{
		Pollers:            2,
		PollInterval:       500 * time.Millisecond,
		PollBackoff:        4 * time.Second,
		PollTimeout:        3 * time.Second,
		BackgroundInterval: 2 * time.Second,
		Fanout:             4,
		NoticeHops:         16,
		FetchTimeout:       time.Second,
		FetchBackoff:       2 * time.Second,
		RumourAfter:        10 * time.Second,
		FetchFailures:      40,
		ObjectInterval:     100 * time.Millisecond,
		PeerFetches:        3,
		RemoteDelay:        400 * time.Millisecond,
		FloorPeers:         3,
		FloorTimeout:       250 * time.Millisecond,
		FloorRounds:        2,
		MaxFloors:          4096,
		StartPeers:         5,
		StartRemotePeers:   2,
		StartSettle:        500 * time.Millisecond,
		StartAnswers:       3,
		StartWait:          3 * time.Second,
		StartAlone:         1500 * time.Millisecond,
		StartConfirm:       time.Second,
		StartJitter:        time.Second,
		History:            8,
		MaxBody:            4 << 20,
		ServeBytes:         4 << 20,
		ServeBurst:         4 << 20,
		ServeRequests:      50,
		ServeRequestBurst:  50,
	}
}

// withDefaults fills fields that are zero from DefaultConfig.
func (cfg Config) withDefaults() Config {
	filled := DefaultConfig()
	value, defaults := reflect.ValueOf(&cfg).Elem(), reflect.ValueOf(filled)
	for i := range value.NumField() {
		if value.Field(i).IsZero() {
			value.Field(i).Set(defaults.Field(i))
		}
	}
	return cfg
}
