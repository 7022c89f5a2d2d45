package manifest

import (
	"net/netip"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

func (c *checker) checkRoutes() {
	c.count(strictjson.Path("routes"), len(c.manifest.Routes), 1, MaxRoutes)
	seen := map[string]bool{}
	for i := range c.manifest.Routes {
		r := &c.manifest.Routes[i]
		path := strictjson.Path("routes", i)
		c.name(path+"/name", r.Name)
		c.unique(path+"/name", "route", r.Name, seen)
		c.durationRange(path+"/deadline", r.Deadline, MinDeadline, MaxDeadline)
		c.targets(path, r)
		c.durationRange(path+"/goal", r.Goal, 0, MaxDeadline)
		c.intRange(path+"/priority", int64(r.Priority), 0, MaxPriority)
		c.match(path+"/match", &r.Match)
		c.retry(path+"/retry", r)
	}
}

// targets checks that a route has either a service or a split, that all services
// named there exist, and that the weights are in range and not all 0.
func (c *checker) targets(path string, r *Route) {
	switch {
	case r.Service == "" && len(r.Split) == 0:
		c.Add(path+"/service", code.ManifestMissingField, "route %q needs the field \"service\" or \"split\"", r.Name)
		return
	case r.Service != "" && len(r.Split) > 0:
		c.Add(path+"/split", code.ManifestOutOfRange, "a route has either \"service\" or \"split\"")
		return
	case r.Service != "":
		c.target(path+"/service", r, r.Service)
		return
	}
	seen := map[string]bool{}
	total := 0
	for i, share := range r.Split {
		entry := path + strictjson.Path("split", i)
		c.unique(entry+"/service", "service", share.Service, seen)
		c.target(entry+"/service", r, share.Service)
		c.intRange(entry+"/weight", int64(share.Weight), 0, MaxWeight)
		total += share.Weight
	}
	if total == 0 {
		c.Add(path+"/split", code.ManifestOutOfRange, "the weights of route %q add up to 0", r.Name)
	}
}

func (c *checker) target(path string, r *Route, service string) {
	if c.Decoded("/services") && !c.services[service] {
		c.Add(path, code.ManifestDangling, "route %q refers to service %q, which does not exist", r.Name, service)
	}
}

func (c *checker) match(path string, m *Match) {
	if m.Host != "" && !validHost(m.Host) {
		c.Add(path+"/host", code.ManifestOutOfRange, "host %q must be a host name or IP address without a port", m.Host)
	}
	if m.Path != "" && m.PathPrefix != "" {
		c.Add(path+"/path_prefix", code.ManifestOutOfRange, "a route has either \"path\" or \"path_prefix\"")
	}
	c.path(path+"/path", m.Path)
	c.path(path+"/path_prefix", m.PathPrefix)
	c.methods(path, m.Methods)
	c.headers(path, m.Headers)
}

func (c *checker) path(path, value string) {
	if !c.Present(path) {
		return
	}
	if !validPath(value) {
		c.Add(path, code.ManifestOutOfRange, "path %q must begin with a slash, have no '?', '#', control character or segment \".\" or \"..\", and at most %d bytes", value, MaxPathLength)
	}
}

func (c *checker) methods(path string, methods []string) {
	if c.Present(path+"/methods") && len(methods) == 0 {
		c.Add(path+"/methods", code.ManifestOutOfRange, "the list is empty; leave the field out to match every method")
	}
	seen := map[string]bool{}
	for i, method := range methods {
		entry := path + strictjson.Path("methods", i)
		c.unique(entry, "method", method, seen)
		if !httpguts.ValidHeaderFieldName(method) || strings.ToUpper(method) != method {
			c.Add(entry, code.ManifestOutOfRange, "method %q must be an HTTP method in upper case", method)
		}
	}
}

func (c *checker) headers(path string, headers []HeaderMatch) {
	if len(headers) > MaxHeaders {
		c.Add(path+"/headers", code.ManifestOutOfRange, "%d headers; want at most %d", len(headers), MaxHeaders)
	}
	seen := map[string]bool{}
	for i, h := range headers {
		entry := path + strictjson.Path("headers", i)
		c.unique(entry+"/name", "header", strings.ToLower(h.Name), seen)
		if !httpguts.ValidHeaderFieldName(h.Name) {
			c.Add(entry+"/name", code.ManifestOutOfRange, "%q is not a header name", h.Name)
		}
		if strings.EqualFold(h.Name, "Host") {
			c.Add(entry+"/name", code.ManifestOutOfRange, "use the field \"host\" to match the host")
		}
		if !httpguts.ValidHeaderFieldValue(h.Value) || len(h.Value) > MaxHeaderValue || strings.TrimSpace(h.Value) != h.Value {
			c.Add(entry+"/value", code.ManifestOutOfRange, "%q is not a header value of at most %d bytes without leading or trailing spaces", h.Value, MaxHeaderValue)
		}
	}
}

// retry checks that the route's retry rule exists and doesn't retry a
// non-idempotent request that may have run.
func (c *checker) retry(path string, r *Route) {
	if r.Retry == "" {
		if c.Present(path) {
			c.Add(path, code.ManifestOutOfRange, "the name is empty; leave the field out for no retries")
		}
		return
	}
	if !c.Decoded("/retry_rules") || !c.Decoded(strings.TrimSuffix(path, "/retry")) {
		return
	}
	rule, ok := c.rules[r.Retry]
	if !ok {
		c.Add(path, code.ManifestDangling, "route %q refers to retry rule %q, which does not exist", r.Name, r.Retry)
		return
	}
	method, ok := r.nonIdempotentMethod()
	if !ok {
		return
	}
	for _, on := range rule.On {
		if on != RetryNotRun {
			c.Add(path, code.ManifestUnsafeRetry, "retry rule %q retries on %q, but route %q matches %s, which is not idempotent", rule.Name, on, r.Name, method)
		}
	}
}

// validHost reports whether host consists of at most MaxHostLength letters,
// digits and "-._", without a port or a trailing dot, or is an IPv6 address without
// brackets.
func validHost(host string) bool {
	if strings.Contains(host, ":") {
		address, err := netip.ParseAddr(host)
		return err == nil && address.Is6()
	}
	if len(host) > MaxHostLength {
		return false
	}
	for _, b := range []byte(host) {
		alphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !alphanumeric && !strings.ContainsRune("-._", rune(b)) {
			return false
		}
	}
	return !strings.HasSuffix(host, ".")
}

func validPath(path string) bool {
	if !strings.HasPrefix(path, "/") || len(path) > MaxPathLength {
		return false
	}
	if strings.ContainsAny(path, "?#") {
		return false
	}
	if slices.ContainsFunc([]byte(path), func(b byte) bool { return b < ' ' || b == 0x7f }) {
		return false
	}
	return !hasDotSegment(normalizePath(path))
}
