package manifest

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestTranscripts runs the files under testdata/transcripts. "parse" prints the
// canonical form or all problems, and keeps a valid manifest as the current one.
// "match" and "explain" match requests against the current manifest, one "METHOD
// host path [name=value]" per line, with "-" for no host. "diff" compares the
// current manifest with the given one.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata/transcripts", func(t *testing.T, path string) {
		var current *Manifest
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "parse":
				m, problems := Parse("m", []byte(d.Input))
				if problems != nil {
					return problems.Error() + "\n"
				}
				current = m
				return string(m.Canonical())
			case "match":
				return matchRequests(t, current, d.Input, false)
			case "explain":
				return matchRequests(t, current, d.Input, true)
			case "diff":
				return diffText(t, current, d.Input)
			default:
				t.Fatalf("unknown directive %s", d.Cmd)
				return ""
			}
		})
	})
}

// matchRequests prints the route and service of each request and, if explain is
// set, the reason for each route. It checks that Explain and Match agree.
func matchRequests(t *testing.T, m *Manifest, input string, explain bool) string {
	table, err := Compile(m)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for line := range strings.Lines(input) {
		request := parseRequest(strings.Fields(line))
		route, ok := table.Match(request)
		name := "none"
		if ok {
			name = route.Name + " -> " + route.Targets[0].Name
		}
		fmt.Fprintf(&out, "%s: %s\n", strings.TrimSpace(line), name)
		for _, e := range table.Explain(request) {
			if e.Taken != (ok && e.Route == route.Name) {
				t.Errorf("%s: Explain and Match disagree on %s", line, e.Route)
			}
			if explain {
				fmt.Fprintf(&out, "  %s: %s\n", e.Route, e.Reason)
			}
		}
	}
	return out.String()
}

// parseRequest makes a request from the words of a line.
func parseRequest(words []string) Request {
	request := Request{Method: words[0], Path: words[2], Header: http.Header{}}
	if words[1] != "-" {
		request.Host = words[1]
	}
	for _, word := range words[3:] {
		name, value, _ := strings.Cut(word, "=")
		request.Header.Add(name, value)
	}
	return request
}

// diffText prints the differences between the current and the given manifest.
func diffText(t *testing.T, old *Manifest, source string) string {
	m, problems := Parse("m", []byte(source))
	if problems != nil {
		t.Fatal(problems)
	}
	base, target := old.Canonical(), m.Canonical()
	changes := Diff(old, m)
	if (len(changes) == 0) != bytes.Equal(base, target) {
		t.Errorf("%d changes, but canonical forms equal: %t", len(changes), bytes.Equal(base, target))
	}
	var out strings.Builder
	for _, change := range changes {
		fmt.Fprintln(&out, change)
	}
	if len(changes) == 0 {
		out.WriteString("no differences\n")
	}
	return out.String()
}
