package proxy

import (
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Header names that callers and upstreams see.
const (
	// HeaderDeadline is the time left for the request, in milliseconds.
	HeaderDeadline = "Godwitmount-Deadline-Ms"
	// HeaderOutcome is not-run or unknown, on answers of the system itself.
	HeaderOutcome = "Godwitmount-Outcome"
	// HeaderCode is the numbered result code, on answers of the system itself.
	HeaderCode = "Godwitmount-Code"
	// HeaderUpstreamRefused marks a 503 of an upstream that did not run the
	// request.
	HeaderUpstreamRefused = "Godwitmount-Upstream-Refused"
	// HeaderIdempotencyKey is the caller's key for at-most-once execution.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Header names between daemons only.
const (
	// HeaderAttempt is the unique id of one send.
	HeaderAttempt = "Godwitmount-Attempt"
	// HeaderTarget is the instance the send is meant for.
	HeaderTarget = "Godwitmount-Target"
	// HeaderService and HeaderRoute are names of the manifest.
	HeaderService = "Godwitmount-Service"
	HeaderRoute   = "Godwitmount-Route"
	// HeaderFingerprint is the hex SHA-256 of the request.
	HeaderFingerprint = "Godwitmount-Fingerprint"
	// HeaderLoad is the number of other requests at the upstream.
	HeaderLoad = "Godwitmount-Load"
	// HeaderUpstreamTime is how long the upstream took, in microseconds.
	HeaderUpstreamTime = "Godwitmount-Upstream-Us"
)

// internalPrefix starts every header that is the system's own.
const internalPrefix = "Godwitmount-"

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// extraHeaders is room for the headers that a daemon adds.
const extraHeaders = 8

// forwardable copies a header without what concerns one connection only and
// without the system's own fields.
func forwardable(header http.Header) http.Header {
	listed := header["Connection"]
	out := make(http.Header, len(header)+extraHeaders)
	for name, values := range header {
		if hopByHop[name] || strings.HasPrefix(name, internalPrefix) || named(listed, name) {
			continue
		}
		out[name] = values
	}
	return out
}

// named tells whether a Connection header lists the name.
func named(connection []string, name string) bool {
	if len(connection) == 0 {
		return false
	}
	return httpguts.HeaderValuesContainsToken(connection, name)
}

// headerBytes is the size of all names and values.
func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

// asksUpgrade tells whether a request wants to change the protocol.
func asksUpgrade(header http.Header) bool {
	return len(header["Upgrade"]) > 0
}
