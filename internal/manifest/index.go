package manifest

import "strings"

// routeIndex finds the first route in match order for a host and path without
// looking at routes whose host or path differs.
type routeIndex struct {
	hosts   map[string]*pathIndex
	anyHost *pathIndex
}

// pathIndex holds the positions of routes by their exact path and by their
// prefix, in ascending order.
type pathIndex struct {
	exact  map[string][]int32
	prefix map[string][]int32
	// longest is the length of the longest prefix in bytes.
	longest int
}

// noRoute is a position behind every route.
const noRoute int32 = 1<<31 - 1

func newPathIndex() *pathIndex {
	return &pathIndex{exact: map[string][]int32{}, prefix: map[string][]int32{}}
}

func indexRoutes(routes []Route) *routeIndex {
	index := &routeIndex{hosts: map[string]*pathIndex{}, anyHost: newPathIndex()}
	for i := range routes {
		index.add(int32(i), &routes[i].Match)
	}
	return index
}

func (x *routeIndex) add(position int32, m *Match) {
	paths := x.anyHost
	if m.Host != "" {
		paths = x.hosts[m.Host]
		if paths == nil {
			paths = newPathIndex()
			x.hosts[m.Host] = paths
		}
	}
	paths.add(position, m)
}

func (p *pathIndex) add(position int32, m *Match) {
	if m.Path != "" {
		p.exact[m.Path] = append(p.exact[m.Path], position)
		return
	}
	prefix := m.prefix()
	p.prefix[prefix] = append(p.prefix[prefix], position)
	p.longest = max(p.longest, len(prefix))
}

// prefix returns the match's prefix; without one every path matches.
func (m *Match) prefix() string {
	if m.PathPrefix == "" {
		return "/"
	}
	return m.PathPrefix
}

// first returns the smallest position that accept takes, among the routes
// whose host and path match, or noRoute.
func (x *routeIndex) first(host, path string, accept func(int32) bool) int32 {
	best := x.anyHost.first(path, noRoute, accept)
	if host == "" {
		return best
	}
	if paths := x.hosts[host]; paths != nil {
		best = paths.first(path, best, accept)
	}
	return best
}

func (p *pathIndex) first(path string, best int32, accept func(int32) bool) int32 {
	best = firstOf(p.exact[path], best, accept)
	best = firstOf(p.prefix["/"], best, accept)
	best = p.firstBelow(path, best, accept)
	limit := min(len(path), p.longest)
	for end := 1; end <= limit; end++ {
		segment := strings.IndexByte(path[end:], '/')
		if segment < 0 {
			segment = len(path) - end
		}
		end += segment
		if end > 1 && end <= limit {
			best = firstOf(p.prefix[path[:end]], best, accept)
		}
	}
	return best
}

// firstOf returns the first accepted position before best, or best.
func firstOf(positions []int32, best int32, accept func(int32) bool) int32 {
	for _, position := range positions {
		if position >= best {
			return best
		}
		if accept(position) {
			return position
		}
	}
	return best
}

// firstBelow looks at the prefixes that end in a slash.
func (p *pathIndex) firstBelow(path string, best int32, accept func(int32) bool) int32 {
	limit := min(len(path), p.longest)
	for end := 1; end < limit; end++ {
		if path[end] == '/' {
			best = firstOf(p.prefix[path[:end+1]], best, accept)
		}
	}
	return best
}
