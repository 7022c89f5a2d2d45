package manifest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"godwitmount/internal/code"
)

// exampleFiles returns the paths of the committed example manifests.
func exampleFiles(t testing.TB) []string {
	t.Helper()
	files, err := filepath.Glob("../../examples/*.hujson")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples found: %v", err)
	}
	return files
}

func mustParse(t testing.TB, file string) *Manifest {
	t.Helper()
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	m, problems := Parse(file, source)
	if problems != nil {
		t.Fatal(problems)
	}
	return m
}

// largeManifest returns a valid manifest with the given numbers of services and
// routes.
func largeManifest(services, routes int) *Manifest {
	m := &Manifest{
		Mesh:        "large",
		DataCentres: []string{"a", "b"},
		RetryRules:  []RetryRule{{Name: "read", Attempts: 3, On: []RetryOn{RetryNotRun, RetryUnknown}, BudgetPercent: 20}},
	}
	for i := range services {
		m.Services = append(m.Services, Service{Name: fmt.Sprintf("service-%d", i), SlowStart: Duration(time.Second), MaxRequestBodyBytes: 1 << 20})
	}
	for i := range routes {
		m.Routes = append(m.Routes, Route{
			Name:     fmt.Sprintf("route-%d", i),
			Match:    Match{PathPrefix: fmt.Sprintf("/area-%d/items-%d", i%services, i), Methods: []string{"GET", "HEAD"}},
			Service:  fmt.Sprintf("service-%d", i%services),
			Deadline: Duration(time.Duration(i%7+1) * time.Second),
			Retry:    "read",
		})
	}
	return m
}

func TestExamplesHaveOneCanonicalForm(t *testing.T) {
	for _, file := range exampleFiles(t) {
		m := mustParse(t, file)
		body := m.Canonical()
		again, err := ParseCanonical(body)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		if again.Digest() != m.Digest() || DigestOf(body) != m.Digest() {
			t.Errorf("%s: the digest changes when the canonical form is parsed", file)
		}
		if changes := Diff(m, again); len(changes) != 0 {
			t.Errorf("%s: %v", file, changes)
		}
	}
}

func TestParseCanonicalRejectsOtherForms(t *testing.T) {
	body := largeManifest(2, 3).Canonical()
	others := map[string][]byte{
		"space":    append(bytes.Clone(body), ' '),
		"comment":  append([]byte("// x\n"), body...),
		"order":    bytes.Replace(body, []byte(`["a","b"]`), []byte(`["b","a"]`), 1),
		"default":  bytes.Replace(body, []byte(`"queue_limit":0,`), nil, 1),
		"truncate": body[:len(body)/2],
		"empty":    nil,
	}
	for name, other := range others {
		if _, err := ParseCanonical(other); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := ParseCanonical(body); err != nil {
		t.Errorf("canonical form rejected: %v", err)
	}
}

func TestParseRejectsOversizedAndInvalidInput(t *testing.T) {
	cases := map[string]struct {
		source []byte
		want   code.Code
	}{
		"size":          {bytes.Repeat([]byte(" "), MaxSourceSize+1), code.ManifestTooLarge},
		"depth":         {bytes.Repeat([]byte("["), MaxSourceSize), code.ManifestSyntax},
		"hidden depth":  {[]byte(`/* [ */ "[" // [` + "\n" + strings.Repeat("[", 1000)), code.ManifestSyntax},
		"invalid utf-8": {[]byte("{\"mesh\": \"\xff\"}"), code.ManifestSyntax},
		"no value":      {[]byte("// only a comment"), code.ManifestSyntax},
	}
	for name, c := range cases {
		m, problems := Parse("m", c.source)
		if m != nil || len(problems) != 1 || problems[0].Code != c.want {
			t.Errorf("%s: %v", name, problems)
		}
	}
}

// TestDepthIgnoresCommentsAndStrings checks that brackets in comments and strings
// don't count as nesting, also after an escaped quote.
func TestDepthIgnoresCommentsAndStrings(t *testing.T) {
	brackets := strings.Repeat("[{", 100)
	source := "// " + brackets + "\n/* " + brackets + " */\n" + `{"mesh": "\"` + brackets + `"}`
	_, problems := Parse("m", []byte(source))
	if problems.Has(code.ManifestSyntax) {
		t.Error(problems[0])
	}
}

func TestCompileRejectsUnresolvedReferences(t *testing.T) {
	noService := largeManifest(1, 1)
	noService.Routes[0].Service = "absent"
	noRule := largeManifest(1, 1)
	noRule.Routes[0].Retry = "absent"
	for name, m := range map[string]*Manifest{"service": noService, "rule": noRule, "panic": nil} {
		table, err := Compile(m)
		if err == nil || table != nil {
			t.Errorf("%s: compiled without an error", name)
		}
	}
}

func TestCompileDoesNotModifyTheManifest(t *testing.T) {
	m := &Manifest{
		Mesh:        "m",
		DataCentres: []string{"b", "a"},
		Services:    []Service{{Name: "z"}, {Name: "a"}},
		Routes:      []Route{{Name: "r", Service: "z", Match: Match{Host: "H", Methods: []string{"PUT", "GET"}}}},
	}
	table, err := Compile(m)
	if err != nil {
		t.Fatal(err)
	}
	if m.Services[0].Name != "z" || m.Services[0].MaxRequestBodyBytes != 0 || m.DataCentres[0] != "b" || m.Routes[0].Match.Methods[0] != "PUT" {
		t.Errorf("Compile modified the manifest: %+v", m)
	}
	route, ok := table.Match(Request{Method: "GET", Host: "h", Path: "/"})
	if !ok || route.Deadline.Std() != DefaultDeadline || route.Targets[0].MaxRequestBodyBytes != DefaultMaxRequestBodyBytes {
		t.Errorf("route %+v, found %t", route, ok)
	}
}

func TestMatchDoesNotAllocate(t *testing.T) {
	table, err := Compile(largeManifest(120, 1000))
	if err != nil {
		t.Fatal(err)
	}
	request := Request{Method: "GET", Host: "shop.example:8080", Path: "/area-39/items-999/7"}
	allocations := testing.AllocsPerRun(100, func() {
		if route, ok := table.Match(request); !ok || route.Name != "route-999" {
			t.Fatal("wrong route")
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
}
