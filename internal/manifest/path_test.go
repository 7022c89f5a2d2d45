package manifest

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
)

func TestNormalFormOfAPath(t *testing.T) {
	for path, want := range map[string]string{
		"/desk/17":       "/desk/17",
		"/desk/read%2F7": "/desk/read%2F7",
		"/desk/read%2f7": "/desk/read%2F7",
		"/%64esk/%7e":    "/desk/~",
		"/a%20b":         "/a%20b",
		"/a b":           "/a%20b",
		"/caf\u00e9":     "/caf%C3%A9",
		"/caf%c3%a9":     "/caf%C3%A9",
		"/a%3Bb;c":       "/a%3Bb;c",
		"/%2e%2E/x":      "/../x",
		"/100%":          "/100%25",
		"/100%25":        "/100%25",
		"/%252F":         "/%252F",
		"/a\\b#c":        "/a%5Cb%23c",
		"//a//":          "//a//",
		"":               "",
	} {
		if got := normalizePath(path); got != want {
			t.Errorf("%q: %q, want %q", path, got, want)
		}
	}
}

// pathRoutes are the routes of TestEncodedSlashSeparatesNothing and FuzzRouteOfATarget.
func pathRoutes(t testing.TB) *Table {
	t.Helper()
	m := largeManifest(1, 0)
	for _, prefix := range []string{"/desk/read/", "/desk/", "/caf\u00e9/", "/"} {
		m.Routes = append(m.Routes, Route{Name: prefix, Match: Match{PathPrefix: prefix}, Service: "service-0", Deadline: Duration(DefaultDeadline)})
	}
	table, err := Compile(m)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestEncodedSlashSeparatesNothing guards against a request that takes the kind, the timeout and the
// access of a route whose prefix does not begin the path that the upstream gets.
func TestEncodedSlashSeparatesNothing(t *testing.T) {
	table := pathRoutes(t)
	for target, want := range map[string]string{
		"/desk/17":                  "/desk/",
		"/desk/read/17":             "/desk/read/",
		"/desk/read%2F17":           "/desk/",
		"/desk%2Fread/17":           "/",
		"/desk/%72ead/17?x=/desk/":  "/desk/read/",
		"/caf%c3%A9/x":              "/caf\u00e9/",
		"/desk//read/17":            "/desk/",
		"/desk/read":                "/desk/",
		"/desk":                     "/",
		"http://h/desk/read%2F17?x": "/desk/",
		"http://h/desk/read/17":     "/desk/read/",
		"/desk/%2e%2e/x":            "",
		"/desk/..%2fread/x":         "/desk/",
		"*":                         "",
	} {
		if got := routeOf(t, table, target); got != want {
			t.Errorf("%s: route %q, want %q", target, got, want)
		}
	}
}

// routeOf returns the name of the route of a target, or "".
func routeOf(t testing.TB, table *Table, target string) string {
	t.Helper()
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return ""
	}
	request := Request{Method: http.MethodPost, Host: "h", Path: PathOf(target, parsed)}
	route, ok := table.Match(request)
	for _, e := range table.Explain(request) {
		if e.Taken != (ok && e.Route == route.Name) {
			t.Errorf("%q: Match and Explain differ about %s", target, e.Route)
		}
	}
	if !ok {
		return ""
	}
	return route.Name
}

// FuzzRouteOfATarget checks for any target that the segments of its route's prefix are the first
// segments of the path that is sent, each decoded by itself.
func FuzzRouteOfATarget(f *testing.F) {
	for _, seed := range []string{"/desk/17", "/desk/read%2F17", "/desk%2fread/17", "/%64esk/r%65ad/", "/caf%c3%a9/", "//desk/", "/desk/..", "http://h/desk/", "/desk/%"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, target string) {
		table := pathRoutes(t)
		prefix := routeOf(t, table, target)
		if prefix == "" || !strings.HasPrefix(target, "/") {
			return
		}
		sent, _, _ := strings.Cut(target, "?")
		segments := strings.Split(sent, "/")
		wanted := strings.Split(strings.TrimSuffix(prefix, "/"), "/")
		if len(segments) <= len(wanted) {
			t.Fatalf("%q has too few segments for %q", target, prefix)
		}
		for i, want := range wanted {
			if got, err := url.PathUnescape(segments[i]); err != nil || got != want {
				t.Errorf("%q: segment %q is not %q of %q, %v", target, segments[i], want, prefix, err)
			}
		}
	})
}
