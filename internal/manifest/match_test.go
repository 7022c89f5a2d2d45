package manifest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"godwitmount/internal/code"
)

// Random matches and requests use few values, so that routes overlap often.
var (
	sampleHosts        = []string{"", "", "h", "g"}
	samplePaths        = []string{"/", "/a", "/a/b", "/a/b/c", "/a/bc", "/b"}
	sampleMethods      = []string{"GET", "POST", "PUT"}
	sampleHeaders      = []string{"X-A", "X-B"}
	sampleRequestPaths = []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/a/b/c/d", "/a/bc", "/a/bc/d", "/a/bcd", "/b", "/b/c", "/c", "//", "/a//b"}
)

func pick(r *rand.Rand, from []string) string { return from[r.IntN(len(from))] }

func randomMatch(r *rand.Rand) Match {
	m := Match{Host: pick(r, sampleHosts)}
	switch r.IntN(3) {
	case 0:
		m.Path = pick(r, samplePaths)
	case 1:
		m.PathPrefix = pick(r, samplePaths)
	}
	for _, method := range sampleMethods {
		if r.IntN(3) == 0 {
			m.Methods = append(m.Methods, method)
		}
	}
	for _, name := range sampleHeaders {
		if r.IntN(4) == 0 {
			m.Headers = append(m.Headers, HeaderMatch{Name: name, Value: fmt.Sprint(r.IntN(2))})
		}
	}
	return m
}

func randomManifest(r *rand.Rand) *Manifest {
	m := largeManifest(1, 0)
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
	request := Request{Method: pick(r, sampleMethods), Host: pick(r, sampleHosts), Path: pick(r, sampleRequestPaths), Header: http.Header{}}
	for _, name := range sampleHeaders {
		if r.IntN(2) == 0 {
			request.Header.Add(name, fmt.Sprint(r.IntN(2)))
		}
	}
	return request
}

// TestMatchFindsTheFirstRoute compares Match, which uses the index, with Explain,
// which tests every route, and checks that Match never returns a route that is
// reported as unreachable.
func TestMatchFindsTheFirstRoute(t *testing.T) {
	const manifests, requests = 200, 100
	r := rand.New(rand.NewPCG(4, 5))
	unreachableCount := 0
	for range manifests {
		m := randomManifest(r)
		table, err := Compile(m)
		if err != nil {
			t.Fatal(err)
		}
		unreachable := unreachableRoutes(m)
		unreachableCount += len(unreachable)
		for range requests {
			request := randomRequest(r)
			want := firstMatch(table, request)
			got := ""
			if route, ok := table.Match(request); ok {
				got = route.Name
			}
			if got != want {
				t.Fatalf("%+v: Match returns %q, Explain %q\n%s", request, got, want, m.Canonical())
			}
			if unreachable[got] {
				t.Fatalf("%+v matches %q, which is reported as unreachable\n%s", request, got, m.Canonical())
			}
		}
	}
	if unreachableCount < manifests {
		t.Errorf("only %d unreachable routes in %d manifests", unreachableCount, manifests)
	}
}

// firstMatch returns the name of the route that Explain marks as taken, or "".
func firstMatch(table *Table, request Request) string {
	for _, e := range table.Explain(request) {
		if e.Taken {
			return e.Route
		}
	}
	return ""
}

// unreachableRoutes returns the names of the routes that Parse reports as
// unreachable.
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

// TestShadowsIsExact compares shadows with matching all requests built from the
// sample values: the earlier match must shadow the later one exactly when it
// matches every request that the later one matches.
func TestShadowsIsExact(t *testing.T) {
	r := rand.New(rand.NewPCG(6, 7))
	for range 600 {
		earlier, later := randomMatch(r), randomMatch(r)
		if earlier.shadows(&later) == someRequestOnlyMatchedBy(&later, &earlier) {
			t.Fatalf("%+v shadows %+v: got %t", earlier, later, earlier.shadows(&later))
		}
	}
}

// someRequestOnlyMatchedBy reports whether a request exists that m matches and
// other does not. It tries all combinations of the sample values and of one more
// value of each kind.
func someRequestOnlyMatchedBy(m, other *Match) bool {
	for _, host := range append(sampleHosts, "other") {
		for _, path := range append(sampleRequestPaths, "/other") {
			for _, method := range append(sampleMethods, "OTHER") {
				request := Request{Method: method, Host: host, Path: path, Header: http.Header{}}
				for _, h := range m.Headers {
					request.Header.Add(h.Name, h.Value)
				}
				if m.mismatch(request) == "" && other.mismatch(request) != "" {
					return true
				}
			}
		}
	}
	return false
}
