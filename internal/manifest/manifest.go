// Package manifest is the configuration that operators publish: its types,
// strict parsing, validation, canonical form, compilation into a route table,
// and differences between two manifests.
//
// The same code runs in the tool and in the daemon, so what the tool accepts
// compiles in every daemon of the same release.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"godwitmount/internal/strictjson"
)

// Manifest is one whole configuration. A value returned by Parse is valid and
// must not be changed.
type Manifest struct {
	// Mesh is the name of the mesh; daemons of another mesh refuse it.
	Mesh string `json:"mesh" strict:"required"`
	// DataCentres lists the data centres of the mesh.
	DataCentres []string  `json:"data_centres" strict:"required"`
	Services    []Service `json:"services" strict:"required"`
	// Routes are tried in order; the first that matches is taken.
	Routes     []Route     `json:"routes" strict:"required"`
	RetryRules []RetryRule `json:"retry_rules,omitempty"`
	// Limits bound what a caller may send.
	Limits Limits `json:"limits"`
}

// Limits bound what a caller may send, and how long it may take or stay idle.
// 0 leaves the daemon's own bound in force.
type Limits struct {
	MaxHeaderBytes int      `json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64    `json:"max_body_bytes,omitempty"`
	HeaderTimeout  Duration `json:"header_timeout,omitempty"`
	IdleTimeout    Duration `json:"idle_timeout,omitempty"`
}

// Service is a set of upstreams that run the same program.
type Service struct {
	Name string `json:"name" strict:"required"`
	// QueueLimit is how many requests may wait for a slot at one instance; 0
	// leaves that to the goals of the requests.
	QueueLimit int `json:"queue_limit"`
	// SlowStart is how long other daemons are told of a part of a newly ready
	// upstream's slots only, which grows. A manifest without it gets DefaultSlowStart; 0 gives the full share at
	// once.
	SlowStart Duration `json:"slow_start"`
	// MaxBody is the largest request body in bytes. A manifest without it gets
	// DefaultMaxBody.
	MaxBody int64 `json:"max_body_bytes"`
	// MaxConnections is how many connections one upstream accepts, and so how
	// many requests it gets at once at most; 0 means that it is not known.
	MaxConnections int `json:"max_connections,omitempty"`
}

// Route gives the requests it matches to a service.
type Route struct {
	Name  string `json:"name" strict:"required"`
	Match Match  `json:"match" strict:"required"`
	// Service is the name of the service that runs the request. It is empty
	// when Split is given.
	Service string `json:"service,omitempty"`
	// Split shares the requests out among services by weight.
	Split []Share `json:"split,omitempty"`
	// Deadline bounds a request that brings no deadline of its own. A manifest
	// without it gets DefaultDeadline.
	Deadline Duration `json:"deadline"`
	// Idempotent overrides what the method says: GET, HEAD, OPTIONS, TRACE,
	// PUT and DELETE are idempotent, all others are not.
	Idempotent *bool `json:"idempotent,omitempty"`
	// Retry is the name of a retry rule, or empty for no retries.
	Retry string `json:"retry,omitempty"`
	// Goal is the time within which an answer has its full value to the
	// caller. 0 means that any answer within the deadline has.
	Goal Duration `json:"goal,omitempty"`
	// Priority ranks requests that wait for the same upstream; 0 goes first.
	Priority int `json:"priority,omitempty"`
}

// Share is one service of a split route.
type Share struct {
	Service string `json:"service" strict:"required"`
	// Weight is the service's share of the requests, relative to the weights
	// of the other shares. 0 gives it none.
	Weight int `json:"weight" strict:"required"`
}

// Match says which requests a route takes. Absent parts match everything.
type Match struct {
	// Host is compared without its port, in lower case.
	Host string `json:"host,omitempty"`
	// Path matches exactly; PathPrefix matches whole segments, and with a
	// slash at its end only what continues it. At most one of them is set.
	Path       string        `json:"path,omitempty"`
	PathPrefix string        `json:"path_prefix,omitempty"`
	Methods    []string      `json:"methods,omitempty"`
	Headers    []HeaderMatch `json:"headers,omitempty"`
}

// HeaderMatch asks for a header with exactly this value.
type HeaderMatch struct {
	Name  string `json:"name" strict:"required"`
	Value string `json:"value" strict:"required"`
}

// RetryOn is a kind of failure after which an attempt may be repeated.
type RetryOn string

// The kinds of failure a retry rule may name.
const (
	// RetryNotRun is a proved not-run; safe for every method.
	RetryNotRun RetryOn = "not-run"
	// RetryUnknown is an attempt that may have run; idempotent routes only.
	RetryUnknown RetryOn = "unknown"
	// RetryTimeout is an attempt past its per-try timeout; idempotent routes
	// only.
	RetryTimeout RetryOn = "per-try-timeout"
	// RetryStatus5xx is a 502, 503 or 504 answered by the upstream itself;
	// idempotent routes only.
	RetryStatus5xx RetryOn = "upstream-5xx"
)

// RetryRule is when and how often a request is tried again.
type RetryRule struct {
	Name string `json:"name" strict:"required"`
	// Attempts counts all sends, the first included.
	Attempts int `json:"attempts" strict:"required"`
	// PerTryTimeout bounds one attempt; 0 leaves only the deadline.
	PerTryTimeout Duration  `json:"per_try_timeout,omitempty"`
	On            []RetryOn `json:"on" strict:"required"`
	// BudgetPercent is how many retries are allowed for each 100 first sends
	// through one daemon. A manifest without it gets DefaultBudgetPercent.
	BudgetPercent int `json:"budget_percent"`
}

// Duration is a time.Duration written as a Go duration string ("250ms").
type Duration = strictjson.Duration

// DigestSize is the size of a digest in bytes.
const DigestSize = sha256.Size

// Digest is the SHA-256 of a canonical manifest body.
type Digest [DigestSize]byte

// DigestOf returns the digest of a canonical body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// String returns the digest in lower-case hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hex digits, for logs.
func (d Digest) Short() string { return d.String()[:12] }

// ParseDigest reads a digest in hex.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != DigestSize {
		return d, fmt.Errorf("digest %q: want %d hex digits", text, 2*DigestSize)
	}
	copy(d[:], raw)
	return d, nil
}

// ID names one accepted configuration. The zero ID means none.
type ID struct {
	// Version counts accepted configurations from 1.
	Version uint64
	Digest  Digest
}

// IsZero reports whether the ID names no configuration.
func (id ID) IsZero() bool { return id.Version == 0 }

// String returns version and short digest.
func (id ID) String() string {
	if id.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d/%s", id.Version, id.Digest.Short())
}
