package manifest

import "strings"

// routeIndex finds the first matching route for a host and path without testing
// routes with another host or path.
type routeIndex struct {
	hosts   map[string]*pathIndex
	anyHost *pathIndex
}

// pathIndex maps exact paths and prefixes to the positions of their routes in
// match order, ascending.
type pathIndex struct {
	exact  map[string][]int32
	prefix map[string][]int32
	// longest is the length of the longest prefix in bytes.
	longest int
}

// noRoute is greater than the position of every route.
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

// prefix returns the match's path prefix. Without one it is "/", which matches
// every path.
func (m *Match) prefix() string {
	if m.PathPrefix == "" {
		return "/"
	}
	return m.PathPrefix
}

// first returns the smallest position that accept returns true for, among the
// routes whose host and path match, or noRoute.
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

// first returns the smallest accepted position of a route whose path matches, or
// best if none is smaller. It looks up the exact path, then each prefix of the
// path that ends at a segment boundary.
func (p *pathIndex) first(path string, best int32, accept func(int32) bool) int32 {
	best = firstAccepted(p.exact[path], best, accept)
	best = firstAccepted(p.prefix["/"], best, accept)
	best = p.firstSlashPrefix(path, best, accept)
	limit := min(len(path), p.longest)
	for end := 1; end <= limit; end++ {
		segment := strings.IndexByte(path[end:], '/')
		if segment < 0 {
			segment = len(path) - end
		}
		end += segment
		if end > 1 && end <= limit {
			best = firstAccepted(p.prefix[path[:end]], best, accept)
		}
	}
	return best
}

// firstAccepted returns the first accepted position that is smaller than best,
// or best.
func firstAccepted(positions []int32, best int32, accept func(int32) bool) int32 {
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

// firstSlashPrefix does the same as first for prefixes that end in a slash, other
// than "/".
func (p *pathIndex) firstSlashPrefix(path string, best int32, accept func(int32) bool) int32 {
	limit := min(len(path), p.longest)
	for end := 1; end < limit; end++ {
		if path[end] == '/' {
			best = firstAccepted(p.prefix[path[:end+1]], best, accept)
		}
	}
	return best
}
