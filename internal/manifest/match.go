package manifest

import (
	"net/http"
	"slices"
	"strings"
)

// Request is what a route is chosen by.
type Request struct {
	Method string
	// Host may carry a port and upper case.
	Host string
	// Path is the decoded path, without query.
	Path string
	// Header has canonical names, as net/http delivers it. It may be nil.
	Header http.Header
}

// Match returns the first route that takes the request. No route takes a path
// that has a "." or ".." segment or does not begin with a slash: an upstream
// might read it as another path than the one matched.
func (t *Table) Match(req Request) (*CompiledRoute, bool) {
	if !matchable(req.Path) {
		return nil, false
	}
	position := t.index.first(hostOf(req.Host), req.Path, func(i int32) bool {
		m := &t.routes[i].Match
		return m.takesMethod(req.Method) && m.takesHeader(req.Header)
	})
	if position == noRoute {
		return nil, false
	}
	return &t.routes[position], true
}

func matchable(path string) bool {
	return strings.HasPrefix(path, "/") && !hasDotSegment(path)
}

func (m *Match) takesHost(host string) bool {
	return m.Host == "" || m.Host == host
}

func (m *Match) takesPath(path string) bool {
	if m.Path != "" {
		return path == m.Path
	}
	return underPrefix(path, m.prefix())
}

func (m *Match) takesMethod(method string) bool {
	return len(m.Methods) == 0 || slices.Contains(m.Methods, method)
}

func (m *Match) takesHeader(header http.Header) bool {
	for i := range m.Headers {
		if !slices.Contains(header[m.Headers[i].Name], m.Headers[i].Value) {
			return false
		}
	}
	return true
}

// underPrefix reports whether the path is the prefix or continues it with
// whole segments. A prefix that ends in a slash takes only what continues it.
func underPrefix(path, prefix string) bool {
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

// hostOf returns the host in lower case, without port and brackets.
func hostOf(host string) string {
	if end := strings.IndexByte(host, ']'); end > 0 && host[0] == '[' {
		return strings.ToLower(host[1:end])
	}
	if colon := strings.IndexByte(host, ':'); colon >= 0 && strings.LastIndexByte(host, ':') == colon {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
