package manifest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"godwitmount/internal/code"
)

// The random manifests draw from few values, so that routes overlap often.
var (
	someHosts    = []string{"", "", "h", "g"}
	somePaths    = []string{"/", "/a", "/a/b", "/a/b/c", "/a/bc", "/b"}
	someMethods  = []string{"GET", "POST", "PUT"}
	someHeaders  = []string{"X-A", "X-B"}
	someRequests = []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/a/b/c/d", "/a/bc", "/a/bc/d", "/a/bcd", "/b", "/b/c", "/c", "//", "/a//b"}
)

func pick(r *rand.Rand, from []string) string { return from[r.IntN(len(from))] }

func randomMatch(r *rand.Rand) Match {
	m := Match{Host: pick(r, someHosts)}
	switch r.IntN(3) {
	case 0:
		m.Path = pick(r, somePaths)
	case 1:
		m.PathPrefix = pick(r, somePaths)
	}
	for _, method := range someMethods {
		if r.IntN(3) == 0 {
			m.Methods = append(m.Methods, method)
		}
	}
	for _, name := range someHeaders {
		if r.IntN(4) == 0 {
			m.Headers = append(m.Headers, HeaderMatch{Name: name, Value: fmt.Sprint(r.IntN(2))})
		}
	}
	return m
}

func randomManifest(r *rand.Rand) *Manifest {
	m := large(1, 0)
	for i := range 1 + r.IntN(12) {
		m.Routes = append(m.Routes, Route{
			Name:     fmt.Sprintf("r%d", i),
			Match:    randomMatch(r),
			Service:  "service-0",
			Deadline: Duration(DefaultDeadline),
		})
	}
	return m
}

func randomRequest(r *rand.Rand) Request {
	request := Request{Method: pick(r, someMethods), Host: pick(r, someHosts), Path: pick(r, someRequests), Header: http.Header{}}
	for _, name := range someHeaders {
		if r.IntN(2) == 0 {
			request.Header.Add(name, fmt.Sprint(r.IntN(2)))
		}
	}
	return request
}

// TestMatchFindsTheFirstRoute compares the index with a walk over all routes,
// and checks that a route reported as unreachable is never taken.
func TestMatchFindsTheFirstRoute(t *testing.T) {
	const manifests, requests = 200, 100
	r := rand.New(rand.NewPCG(4, 5))
	hidden := 0
	for range manifests {
		m := randomManifest(r)
		table, err := Compile(m)
		if err != nil {
			t.Fatal(err)
		}
		unreachable := unreachableRoutes(m)
		hidden += len(unreachable)
		for range requests {
			request := randomRequest(r)
			want := firstTaken(table, request)
			got := ""
			if route, ok := table.Match(request); ok {
				got = route.Name
			}
			if got != want {
				t.Fatalf("%+v: Match gives %q, the walk %q\n%s", request, got, want, m.Canonical())
			}
			if unreachable[got] {
				t.Fatalf("%+v takes %q, which counts as unreachable\n%s", request, got, m.Canonical())
			}
		}
	}
	if hidden < manifests {
		t.Errorf("only %d unreachable routes in %d manifests", hidden, manifests)
	}
}

func firstTaken(table *Table, request Request) string {
	for _, e := range table.Explain(request) {
		if e.Taken {
			return e.Route
		}
	}
	return ""
}

func unreachableRoutes(m *Manifest) map[string]bool {
	_, problems := Parse("m", m.Canonical())
	routes := map[string]bool{}
	for _, p := range problems {
		var i int
		if _, err := fmt.Sscanf(p.Path, "/routes/%d", &i); err == nil && p.Code == code.ManifestUnreachable {
			routes[m.Routes[i].Name] = true
		}
	}
	return routes
}

// TestHidesIsExact checks hides against all requests of the random values: it
// holds exactly when the earlier route takes every request of the later one.
func TestHidesIsExact(t *testing.T) {
	r := rand.New(rand.NewPCG(6, 7))
	for range 600 {
		earlier, later := randomMatch(r), randomMatch(r)
		if earlier.hides(&later) == someRequestOnlyFor(&later, &earlier) {
			t.Fatalf("%+v hides %+v: found %t", earlier, later, earlier.hides(&later))
		}
	}
}

// someRequestOnlyFor reports whether a request exists that m takes and other
// does not. It tries every request of the random values and one more of each
// kind.
func someRequestOnlyFor(m, other *Match) bool {
	for _, host := range append(someHosts, "other") {
		for _, path := range append(someRequests, "/other") {
			for _, method := range append(someMethods, "OTHER") {
				request := Request{Method: method, Host: host, Path: path, Header: http.Header{}}
				for _, h := range m.Headers {
					request.Header.Add(h.Name, h.Value)
				}
				if m.refuses(request) == "" && other.refuses(request) != "" {
					return true
				}
			}
		}
	}
	return false
}
