package manifest

import (
	"net/http"
	"slices"
	"strings"
)

// Request holds the parts of an HTTP request that select its route.
type Request struct {
	Method string
	// Host may have a port and upper-case letters.
	Host string
	// Path is the path as it is sent, without the query; see PathOf.
	Path string
	// Header has canonical names, as from net/http. It may be nil.
	Header http.Header
}

// Match returns the first route that matches the request, and reports whether
// there is one. No route matches a path with a "." or ".." segment or without a
// leading slash: an upstream might resolve it to another path than the matched
// one.
func (t *Table) Match(req Request) (*CompiledRoute, bool) {
	path := normalizePath(req.Path)
	if !matchable(path) {
		return nil, false
	}
	position := t.index.first(normalizeHost(req.Host), path, func(i int32) bool {
		m := &t.routes[i].Match
		return m.matchesMethod(req.Method) && m.matchesHeaders(req.Header)
	})
	if position == noRoute {
		return nil, false
	}
	return &t.routes[position], true
}

// matchable reports whether routes can match the normal form of a path; see Match.
func matchable(path string) bool {
	return strings.HasPrefix(path, "/") && !hasDotSegment(path)
}

// normalizePaths replaces the paths of routes by their normal forms.
func normalizePaths(routes []Route) {
	for i := range routes {
		m := &routes[i].Match
		m.Path, m.PathPrefix = normalizePath(m.Path), normalizePath(m.PathPrefix)
	}
}

func (m *Match) matchesHost(host string) bool {
	return m.Host == "" || m.Host == host
}

func (m *Match) matchesPath(path string) bool {
	if m.Path != "" {
		return path == m.Path
	}
	return hasPathPrefix(path, m.prefix())
}

func (m *Match) matchesMethod(method string) bool {
	return len(m.Methods) == 0 || slices.Contains(m.Methods, method)
}

func (m *Match) matchesHeaders(header http.Header) bool {
	for i := range m.Headers {
		if !slices.Contains(header[m.Headers[i].Name], m.Headers[i].Value) {
			return false
		}
	}
	return true
}

// hasPathPrefix reports whether the path equals the prefix or extends it by whole
// segments. For a prefix that ends in a slash, the path must begin with it, slash
// included.
func hasPathPrefix(path, prefix string) bool {
	if strings.HasSuffix(prefix, "/") {
		return strings.HasPrefix(path, prefix)
	}
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// hasDotSegment reports whether a segment of the path is "." or "..".
func hasDotSegment(path string) bool {
	for from := 0; ; {
		dot := strings.Index(path[from:], "/.")
		if dot < 0 {
			return false
		}
		rest := strings.TrimPrefix(path[from+dot+len("/."):], ".")
		if rest == "" || rest[0] == '/' {
			return true
		}
		from += dot + len("/.")
	}
}

// normalizeHost returns the host in lower case, without the port, the brackets
// of an IPv6 address, and a trailing dot.
func normalizeHost(host string) string {
	if end := strings.IndexByte(host, ']'); end > 0 && host[0] == '[' {
		return strings.ToLower(host[1:end])
	}
	if colon := strings.IndexByte(host, ':'); colon >= 0 && strings.LastIndexByte(host, ':') == colon {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
