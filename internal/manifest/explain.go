package manifest

import (
	"fmt"
	"strings"
)

// Explanation says why one route matches a request or not.
type Explanation struct {
	Route string `json:"route"`
	// Service is empty for a route with a split.
	Service string `json:"service"`
	// Matches reports whether the route matches the request, regardless of the
	// other routes.
	Matches bool `json:"matches"`
	// Taken reports whether the route is the first that matches.
	Taken  bool   `json:"taken"`
	Reason string `json:"reason"`
}

// Explain tests every route against the request, in match order. The taken route
// is the one that Match returns.
func (t *Table) Explain(req Request) []Explanation {
	req.Path = normalizePath(req.Path)
	explanations := make([]Explanation, len(t.routes))
	taken := ""
	for i := range t.routes {
		route := &t.routes[i]
		e := Explanation{Route: route.Name, Service: route.Service}
		e.Reason = route.Match.mismatch(req)
		e.Matches = e.Reason == ""
		switch {
		case e.Matches && taken == "":
			taken = route.Name
			e.Taken = true
			e.Reason = "first route that matches"
		case e.Matches:
			e.Reason = fmt.Sprintf("matches, but route %q comes first", taken)
		}
		explanations[i] = e
	}
	return explanations
}

// mismatch returns the reason why m does not match the request, or "" if it does.
func (m *Match) mismatch(req Request) string {
	host := normalizeHost(req.Host)
	switch {
	case !matchable(req.Path):
		return fmt.Sprintf("path %q does not begin with a slash or has a \".\" or \"..\" segment", req.Path)
	case !m.matchesHost(host):
		return fmt.Sprintf("host is %q, route wants %q", host, m.Host)
	case !m.matchesPath(req.Path) && m.Path != "":
		return fmt.Sprintf("path is %q, route wants %q", req.Path, m.Path)
	case !m.matchesPath(req.Path):
		return fmt.Sprintf("path is %q, route wants it under %q", req.Path, m.prefix())
	case !m.matchesMethod(req.Method):
		return fmt.Sprintf("method is %s, route wants %s", req.Method, strings.Join(m.Methods, " or "))
	case !m.matchesHeaders(req.Header):
		return m.headerMismatch(req)
	default:
		return ""
	}
}

// headerMismatch returns the reason why the first header condition that fails
// does not match the request, or "" if all match.
func (m *Match) headerMismatch(req Request) string {
	for _, want := range m.Headers {
		values, present := req.Header[want.Name]
		if !present {
			return fmt.Sprintf("header %s is absent, route wants %q", want.Name, want.Value)
		}
		single := Match{Headers: []HeaderMatch{want}}
		if !single.matchesHeaders(req.Header) {
			return fmt.Sprintf("header %s is %q, route wants %q", want.Name, strings.Join(values, ", "), want.Value)
		}
	}
	return ""
}
