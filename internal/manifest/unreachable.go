package manifest

import (
	"slices"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// checkReachable reports each route that an earlier one hides completely.
func checkReachable(m *Manifest, doc *strictjson.Document) {
	normal := m.clone()
	normal.normalize()
	routes := normal.Routes
	index := indexRoutes(routes)
	for i := range routes {
		match := &routes[i].Match
		earlier := index.first(match.Host, match.probe(), func(j int32) bool {
			return int(j) < i && routes[j].Match.hides(match)
		})
		if int(earlier) >= i {
			continue
		}
		line := doc.Line(strictjson.Path("routes", int(earlier)))
		doc.Add(strictjson.Path("routes", i), code.ManifestUnreachable, "route %q is never taken: route %q (line %d) takes all its requests", routes[i].Name, routes[earlier].Name, line)
	}
}

// probe returns the path that every route hiding this one matches.
func (m *Match) probe() string {
	if m.Path != "" {
		return m.Path
	}
	return m.prefix()
}

// hides reports whether m takes every request that other takes.
func (m *Match) hides(other *Match) bool {
	return m.hidesPath(other) && m.hidesMethods(other) && m.hidesHeaders(other) && m.takesHost(other.Host)
}

func (m *Match) hidesPath(other *Match) bool {
	if m.Path != "" {
		return m.Path == other.Path
	}
	return underPrefix(other.probe(), m.prefix())
}

func (m *Match) hidesMethods(other *Match) bool {
	if len(m.Methods) == 0 {
		return true
	}
	if len(other.Methods) == 0 {
		return false
	}
	for _, method := range other.Methods {
		if !slices.Contains(m.Methods, method) {
			return false
		}
	}
	return true
}

// hidesHeaders reports whether other asks for every header that m asks for.
func (m *Match) hidesHeaders(other *Match) bool {
	for _, want := range m.Headers {
		if !slices.Contains(other.Headers, want) {
			return false
		}
	}
	return true
}
