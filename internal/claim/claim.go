// Package claim makes a request with an Idempotency-Key run at most once. It
// holds the reducer of the claim holder, the rule for its tenure while the
// platform is away, and the fences of the executing daemon.
package claim

import (
	"context"
	"time"

	"godwitmount/internal/code"
)

// HashSize is the size of keys and fingerprints in bytes.
const HashSize = 32

// Hash is a SHA-256.
type Hash [HashSize]byte

// Request asks to run one attempt under a key.
type Request struct {
	// Key is the hash of route and Idempotency-Key.
	Key Hash
	// Fingerprint is the hash of method, path, query and body.
	Fingerprint Hash
	// Attempt is unique to this attempt.
	Attempt string
	// Executor is the instance that would run it.
	Executor string
	// Wait is how long to wait for a running attempt to finish.
	Wait time.Duration
}

// Outcome is the holder's decision.
type Outcome uint8

// The outcomes of Acquire.
const (
	Granted Outcome = iota + 1
	Running
	Done
	Mismatch
	Refused
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	names := [...]string{"none", "granted", "running", "done", "mismatch", "refused"}
	if int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// Answer is an upstream's answer kept for repeats.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header field of a kept answer.
type Header struct {
	Name, Value string
}

// Decision is the holder's answer to a Request.
type Decision struct {
	Outcome Outcome
	// Answer is set with Done when it is still kept.
	Answer *Answer
	// Code says why, unless granted.
	Code code.Code
	// RetryAfter is when coming back makes sense, or 0.
	RetryAfter time.Duration
	// Holder is the instance that decided.
	Holder string
}

// Claims is how the data path asks; it finds the holder and talks to it. The
// methods may be called from any goroutine.
type Claims interface {
	// Acquire asks the key's holder. An error never means granted: the attempt
	// must not start. It returns within ctx.
	Acquire(ctx context.Context, req Request) Decision
	// Finish reports that a granted attempt ran. answer may be nil.
	Finish(req Request, holder string, answer *Answer)
	// Release reports that a granted attempt is proved not to have run. It
	// returns once the holder has it or ctx ends, and reports which.
	Release(ctx context.Context, req Request, holder string) bool
	// HomeOf returns the key's home data centre, or "" without configuration.
	HomeOf(key Hash) string
}
