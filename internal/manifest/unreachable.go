package manifest

import (
	"slices"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// checkReachable adds a problem for each route that can never match because one
// earlier route matches all its requests.
func checkReachable(m *Manifest, doc *strictjson.Document) {
	canonical := m.clone()
	canonical.normalize()
	routes := canonical.Routes
	normalizePaths(routes)
	index := indexRoutes(routes)
	for i := range routes {
		match := &routes[i].Match
		earlier := index.first(match.Host, match.pathOrPrefix(), func(j int32) bool {
			return int(j) < i && routes[j].Match.shadows(match)
		})
		if int(earlier) >= i {
			continue
		}
		line := doc.Line(strictjson.Path("routes", int(earlier)))
		doc.Add(strictjson.Path("routes", i), code.ManifestUnreachable, "route %q can never match: route %q (line %d) matches all its requests", routes[i].Name, routes[earlier].Name, line)
	}
}

// pathOrPrefix returns the match's exact path or its prefix. Every route that
// shadows this one matches a request with that path.
func (m *Match) pathOrPrefix() string {
	if m.Path != "" {
		return m.Path
	}
	return m.prefix()
}

// shadows reports whether m matches every request that other matches.
func (m *Match) shadows(other *Match) bool {
	return m.shadowsPath(other) && m.shadowsMethods(other) && m.shadowsHeaders(other) && m.matchesHost(other.Host)
}

func (m *Match) shadowsPath(other *Match) bool {
	if m.Path != "" {
		return m.Path == other.Path
	}
	return hasPathPrefix(other.pathOrPrefix(), m.prefix())
}

func (m *Match) shadowsMethods(other *Match) bool {
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

// shadowsHeaders reports whether other requires every header that m requires.
func (m *Match) shadowsHeaders(other *Match) bool {
	for _, want := range m.Headers {
		if !slices.Contains(other.Headers, want) {
			return false
		}
	}
	return true
}
