package manifest

import (
	"net/http"
	"slices"
	"strings"
)

// retryOns lists all kinds of failure, in the order of the documentation.
var retryOns = []RetryOn{RetryNotRun, RetryUnknown, RetryTimeout, RetryStatus5xx}

func (on RetryOn) known() bool { return slices.Contains(retryOns, on) }

// retryOnNames returns the names of all kinds of failure, for messages.
func retryOnNames() string {
	names := make([]string, len(retryOns))
	for i, on := range retryOns {
		names[i] = string(on)
	}
	return strings.Join(names, ", ")
}

// RetriesOn reports whether the rule retries after this kind of failure. A nil
// rule never does.
func (r *RetryRule) RetriesOn(on RetryOn) bool {
	return r != nil && slices.Contains(r.On, on)
}

// IsIdempotent reports whether a request with this method may be retried even if
// it may have run. The route's Idempotent field overrides the method's default.
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

// nonIdempotentMethod returns a method that the route matches and that is not
// idempotent, and reports whether there is one. For a route that matches every
// method, it tests only POST.
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
