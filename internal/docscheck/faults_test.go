package docscheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// promises and faultKinds are the size of the matrix.
const (
	promises   = 9
	faultKinds = 14
)

var (
	sectionTitle = regexp.MustCompile(`(?m)^## ([1-9])\. .*$`)
	testName     = regexp.MustCompile("^`([a-z0-9/]+)\\.(Test[A-Za-z0-9]+)`$")
)

// cell is one promise under one fault.
type cell struct {
	promise      int
	fault, tests string
}

// state is what the overview says of a cell.
func (c cell) state() string {
	switch {
	case c.tests == "not proved":
		return "not proved"
	case strings.HasPrefix(c.tests, "n/a: "):
		return "n/a"
	}
	return "test"
}

// faultCells reads the sections of docs/FAULTS.md, one for each promise.
func faultCells(t *testing.T) [][]cell {
	t.Helper()
	page := readPage(t, "FAULTS.md")
	starts := sectionTitle.FindAllStringIndex(page, -1)
	if len(starts) != promises {
		t.Fatalf("docs/FAULTS.md has %d promises, want %d", len(starts), promises)
	}
	all := make([][]cell, promises)
	for i, start := range starts {
		section := page[start[1]:]
		if end := strings.Index(section, "\n## "); end >= 0 {
			section = section[:end]
		}
		for _, row := range tableRows(section)[1:] {
			all[i] = append(all[i], cell{promise: i + 1, fault: row[0], tests: row[1]})
		}
		if len(all[i]) != faultKinds {
			t.Fatalf("promise %d has %d faults, want %d", i+1, len(all[i]), faultKinds)
		}
	}
	return all
}

// TestFaultCellsNameTests checks that each test that a cell names exists.
func TestFaultCellsNameTests(t *testing.T) {
	known := map[string]map[string]bool{}
	for _, row := range faultCells(t) {
		for _, c := range row {
			if c.state() != "test" {
				continue
			}
			for _, name := range strings.Split(c.tests, ", ") {
				found := testName.FindStringSubmatch(name)
				if found == nil {
					t.Errorf("promise %d, %s: %q is no test's name", c.promise, c.fault, name)
					continue
				}
				if known[found[1]] == nil {
					known[found[1]] = testsOf(t, found[1])
				}
				if !known[found[1]][found[2]] {
					t.Errorf("promise %d, %s: there is no %s.%s", c.promise, c.fault, found[1], found[2])
				}
			}
		}
	}
}

// testsOf returns the names of the tests of a package.
func testsOf(t *testing.T, dir string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range parsed.Decls {
			if name := testFunc(declaration); name != "" {
				names[name] = true
			}
		}
	}
	return names
}

// testFunc returns the name of a test's declaration, or "".
func testFunc(declaration ast.Decl) string {
	function, ok := declaration.(*ast.FuncDecl)
	if !ok || function.Recv != nil || !strings.HasPrefix(function.Name.Name, "Test") {
		return ""
	}
	return function.Name.Name
}

// TestFaultSummaryHidesNothing checks counts, overview and the list of cells
// that are not proved against the sections.
func TestFaultSummaryHidesNothing(t *testing.T) {
	page := readPage(t, "FAULTS.md")
	summary, _, _ := strings.Cut(page, "\n## Overview")
	_, overview, _ := strings.Cut(page, "\n## Overview")
	rows := tableRows(overview)
	counts := map[string]int{}
	for i, row := range faultCells(t) {
		for j, c := range row {
			counts[c.state()]++
			if rows[0][j+1] != c.fault || rows[i+1][j+1] != c.state() {
				t.Errorf("overview of promise %d, %s: %q under %q, want %q", c.promise, c.fault, rows[i+1][j+1], rows[0][j+1], c.state())
			}
			listed := strings.Contains(summary, fmt.Sprintf("\n- %d, %s: ", c.promise, c.fault))
			if listed != (c.state() == "not proved") {
				t.Errorf("promise %d, %s is %q; listed as not proved: %v", c.promise, c.fault, c.state(), listed)
			}
		}
	}
	line := fmt.Sprintf("%d promises, %d faults, %d cells: %d with a test, %d n/a, %d not proved.",
		promises, faultKinds, promises*faultKinds, counts["test"], counts["n/a"], counts["not proved"])
	if !strings.Contains(summary, line) {
		t.Errorf("the summary lacks %q", line)
	}
}
