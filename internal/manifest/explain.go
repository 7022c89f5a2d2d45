package manifest

import (
	"fmt"
	"strings"
)

// Explanation says why one route does or does not take a request.
type Explanation struct {
	Route   string `json:"route"`
	Service string `json:"service"`
	// Matches tells whether the route alone would take the request.
	Matches bool `json:"matches"`
	// Taken is set for the first route that matches, and for no other.
	Taken  bool   `json:"taken"`
	Reason string `json:"reason"`
}

// Explain judges every route for the request, in match order. It agrees with
// Match on which route is taken.
func (t *Table) Explain(req Request) []Explanation {
	explanations := make([]Explanation, len(t.routes))
	taken := ""
	for i := range t.routes {
		route := &t.routes[i]
		e := Explanation{Route: route.Name, Service: route.Service}
		e.Reason = route.Match.refuses(req)
		e.Matches = e.Reason == ""
		switch {
		case e.Matches && taken == "":
			taken = route.Name
			e.Taken = true
			e.Reason = "first route that matches"
		case e.Matches:
			e.Reason = fmt.Sprintf("matches, but route %q stands before it", taken)
		}
		explanations[i] = e
	}
	return explanations
}

// refuses says why the match does not take the request, or returns "".
func (m *Match) refuses(req Request) string {
	host := hostOf(req.Host)
	switch {
	case !matchable(req.Path):
		return fmt.Sprintf("path %q does not begin with a slash or has a \".\" or \"..\" segment", req.Path)
	case !m.takesHost(host):
		return fmt.Sprintf("host is %q, route wants %q", host, m.Host)
	case !m.takesPath(req.Path) && m.Path != "":
		return fmt.Sprintf("path is %q, route wants %q", req.Path, m.Path)
	case !m.takesPath(req.Path):
		return fmt.Sprintf("path is %q, route wants it under %q", req.Path, m.prefix())
	case !m.takesMethod(req.Method):
		return fmt.Sprintf("method is %s, route wants %s", req.Method, strings.Join(m.Methods, " or "))
	case !m.takesHeader(req.Header):
		return m.refusesHeader(req)
	default:
		return ""
	}
}

func (m *Match) refusesHeader(req Request) string {
	for _, want := range m.Headers {
		values, present := req.Header[want.Name]
		if !present {
			return fmt.Sprintf("header %s is absent, route wants %q", want.Name, want.Value)
		}
		one := Match{Headers: []HeaderMatch{want}}
		if !one.takesHeader(req.Header) {
			return fmt.Sprintf("header %s is %q, route wants %q", want.Name, strings.Join(values, ", "), want.Value)
		}
	}
	return ""
}
