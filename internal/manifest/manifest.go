// Package manifest defines the configuration of a mesh: its types, strict
// parsing, validation, canonical form, compilation into a route table, and the
// differences between two manifests.
//
// The tool and the daemon share this code, so a manifest that the tool accepts
// compiles in every daemon of the same release. The daemon doesn't call Parse:
// it builds its manifest from the configuration in the platform's store (see
// platform.ParseConfig) and checks it with Compile only.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"godwitmount/internal/strictjson"
)

// Manifest is one complete configuration. A manifest returned by Parse is valid
// and must not be modified.
type Manifest struct {
	// Mesh is the name of the mesh.
	Mesh string `json:"mesh" strict:"required"`
	// DataCentres lists the names of the mesh's data centres.
	DataCentres []string  `json:"data_centres" strict:"required"`
	Services    []Service `json:"services" strict:"required"`
	// Routes are matched in order; the first match is used.
	Routes     []Route     `json:"routes" strict:"required"`
	RetryRules []RetryRule `json:"retry_rules,omitempty"`
	// Customers are the parties whose callers may make requests. Without any, no
	// request needs a key.
	Customers []Customer `json:"customers,omitempty"`
	// Limits apply to the requests and connections of callers.
	Limits Limits `json:"limits"`
}

// Limits bound the size of callers' requests in bytes, the time to receive
// their headers, and the idle time of callers' connections. The daemon applies
// only MaxBodyBytes; its other limits are constants of package daemon.
type Limits struct {
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MaxBodyBytes is the largest request body. 0 means the daemon's default.
	MaxBodyBytes  int64    `json:"max_body_bytes,omitempty"`
	HeaderTimeout Duration `json:"header_timeout,omitempty"`
	IdleTimeout   Duration `json:"idle_timeout,omitempty"`
}

// Service is a group of upstreams that run the same program.
type Service struct {
	Name string `json:"name" strict:"required"`
	// QueueLimit is the maximum number of requests that wait for a slot at one
	// instance. 0 sets no maximum: then only the requests' goals and deadlines
	// bound the wait.
	QueueLimit int `json:"queue_limit"`
	// SlowStart is the time after an upstream becomes ready during which its
	// daemon advertises a growing fraction of the slots to other daemons. 0
	// advertises all slots immediately. A field absent from a file means
	// DefaultSlowStart.
	SlowStart Duration `json:"slow_start"`
	// MaxRequestBodyBytes is the largest request body in bytes. The tool shows
	// it, but the daemon applies Limits.MaxBodyBytes instead. An absent field
	// means DefaultMaxRequestBodyBytes.
	MaxRequestBodyBytes int64 `json:"max_body_bytes"`
	// MaxConnections is the number of connections that one upstream accepts,
	// which also caps its concurrent requests. 0 means unknown.
	MaxConnections int `json:"max_connections,omitempty"`
}

// Route sends the requests that it matches to one or more services.
type Route struct {
	Name  string `json:"name" strict:"required"`
	Match Match  `json:"match" strict:"required"`
	// Service is the name of the service that runs the requests. It is empty
	// if Split is set.
	Service string `json:"service,omitempty"`
	// Split distributes the requests among services by weight.
	Split []Share `json:"split,omitempty"`
	// Deadline is the longest time that a request may take. A caller may set an
	// earlier deadline, but not a later one. An absent field means
	// DefaultDeadline.
	Deadline Duration `json:"deadline"`
	// Idempotent overrides the default by method: GET, HEAD, OPTIONS, TRACE,
	// PUT and DELETE are idempotent, all others are not.
	Idempotent *bool `json:"idempotent,omitempty"`
	// Retry is the name of a retry rule; empty means no retries.
	Retry string `json:"retry,omitempty"`
	// Goal is the latency goal: an answer within it has its full value to the
	// caller. 0 means half of the time to the request's deadline.
	Goal Duration `json:"goal,omitempty"`
	// Priority orders requests that wait for the same upstream; 0 is served
	// first.
	Priority int `json:"priority,omitempty"`
	// Public exempts the route's requests from the customer's key.
	Public bool `json:"public,omitempty"`
}

// Share is one service of a split route, with its weight.
type Share struct {
	Service string `json:"service" strict:"required"`
	// Weight is relative to the weights of the route's other shares. A service
	// with weight 0 gets no requests.
	Weight int `json:"weight" strict:"required"`
}

// Match holds the conditions under which a route matches a request. An absent
// condition matches every request.
type Match struct {
	// Host is compared in lower case and without the request's port.
	Host string `json:"host,omitempty"`
	// Path matches exactly. PathPrefix matches whole segments; one that ends
	// in a slash doesn't match the path without that slash. At most one of the
	// two is set. Both are compared with the encoded path of a request, in the normal form
	// of RFC 3986.
	Path       string `json:"path,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	// Methods lists the methods that match.
	Methods []string `json:"methods,omitempty"`
	// Headers must all match.
	Headers []HeaderMatch `json:"headers,omitempty"`
}

// HeaderMatch requires a header with exactly this value. If the request has
// several headers of the name, one of them must have the value.
type HeaderMatch struct {
	Name  string `json:"name" strict:"required"`
	Value string `json:"value" strict:"required"`
}

// RetryOn is a kind of failure after which a request may be retried.
type RetryOn string

// The kinds of failure that a retry rule may list.
const (
	// RetryNotRun is an attempt that provably did not run; safe for every
	// method.
	RetryNotRun RetryOn = "not-run"
	// RetryUnknown is an attempt that may have run; idempotent requests only.
	RetryUnknown RetryOn = "unknown"
	// RetryTimeout is an attempt that exceeded its per-try timeout; idempotent
	// requests only.
	RetryTimeout RetryOn = "per-try-timeout"
	// RetryStatus5xx is an answer of the upstream itself with a status of 500 or
	// above; idempotent requests only.
	RetryStatus5xx RetryOn = "upstream-5xx"
)

// RetryRule defines after which failures and how often a request is retried.
type RetryRule struct {
	Name string `json:"name" strict:"required"`
	// Attempts is the maximum number of attempts that reached, or may have
	// reached, an upstream, the first included. Attempts that ended before are
	// not counted.
	Attempts int `json:"attempts" strict:"required"`
	// PerTryTimeout bounds one attempt; with 0 only the deadline does.
	PerTryTimeout Duration  `json:"per_try_timeout,omitempty"`
	On            []RetryOn `json:"on" strict:"required"`
	// BudgetPercent is the number of retries that one daemon allows per 100
	// requests with this rule, in the sliding window that the daemon's settings
	// define. An absent field means DefaultBudgetPercent.
	BudgetPercent int `json:"budget_percent"`
}

// Duration is a time.Duration written as a Go duration string ("250ms").
type Duration = strictjson.Duration

// DigestSize is the size of a digest in bytes.
const DigestSize = sha256.Size

// Digest is the SHA-256 of a manifest's canonical form.
type Digest [DigestSize]byte

// DigestOf returns the digest of body, a manifest in canonical form.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// String returns the digest in lower-case hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hex digits, for logs.
func (d Digest) Short() string { return d.String()[:12] }

// ParseDigest parses a digest in hex, as String writes it. It returns an error
// if the text is not exactly DigestSize bytes in hex.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != DigestSize {
		return d, fmt.Errorf("digest %q: want %d hex digits", text, 2*DigestSize)
	}
	copy(d[:], raw)
	return d, nil
}

// ID identifies one accepted configuration. The zero ID means none.
type ID struct {
	// Version is the number of the configuration, at least 1.
	Version uint64
	Digest  Digest
}

// IsZero reports whether the ID identifies no configuration.
func (id ID) IsZero() bool { return id.Version == 0 }

// String returns "VERSION/SHORT DIGEST", or "none" for the zero ID.
func (id ID) String() string {
	if id.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d/%s", id.Version, id.Digest.Short())
}
