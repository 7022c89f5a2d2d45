package manifest

import (
	"net/http"
	"slices"
	"strings"
)

// retryOns are the kinds of failure in the order of the format's pages.
var retryOns = []RetryOn{RetryNotRun, RetryUnknown, RetryTimeout, RetryStatus5xx}

func (on RetryOn) known() bool { return slices.Contains(retryOns, on) }

func knownRetryOn() string {
	names := make([]string, len(retryOns))
	for i, on := range retryOns {
		names[i] = string(on)
	}
	return strings.Join(names, ", ")
}

// Covers reports whether the rule repeats after this kind of failure. A nil
// rule covers none.
func (r *RetryRule) Covers(on RetryOn) bool {
	return r != nil && slices.Contains(r.On, on)
}

// IsIdempotent reports whether a request with this method may be repeated
// although it may have run. The route's own word goes before the method's.
func (r *Route) IsIdempotent(method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	return idempotentMethod(method)
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// nonIdempotentMethod names a method of the route that must not be repeated
// blindly.
func (r *Route) nonIdempotentMethod() (string, bool) {
	if len(r.Match.Methods) == 0 {
		return http.MethodPost, !r.IsIdempotent(http.MethodPost)
	}
	for _, method := range r.Match.Methods {
		if !r.IsIdempotent(method) {
			return method, true
		}
	}
	return "", false
}
