package docscheck

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"godwitmount/internal/event"
)

var (
	// warnCall matches the calls that log an event above info level.
	warnCall = regexp.MustCompile(`\.Warn\(event\.([A-Z]\w+)|c\.log\(event\.([A-Z]\w+), true`)
	// wordBoundary matches where a new word of an identifier begins.
	wordBoundary = regexp.MustCompile(`([a-z])([A-Z])`)
)

// TestWarningsAreExplained checks that docs/OPERATIONS.md, which says what to do
// about warnings, names each event that is logged above info level.
func TestWarningsAreExplained(t *testing.T) {
	numbers := map[string]event.Number{}
	for _, info := range event.All() {
		numbers[info.Name] = info.Number
	}
	page := readPage(t, "OPERATIONS.md")
	names := warnedEvents(t)
	if len(names) < 10 {
		t.Fatalf("only %d events found in the source: %v", len(names), names)
	}
	for name := range names {
		number, known := numbers[name]
		if !known {
			t.Errorf("the source logs %q, which is not in the event catalogue", name)
		}
		if !strings.Contains(page, fmt.Sprintf("%d %s", number, name)) {
			t.Errorf("docs/OPERATIONS.md does not explain %d %s", number, name)
		}
	}
}

// warnedEvents returns the names of the events that the source under internal/
// logs above info level.
func warnedEvents(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, found := range warnCall.FindAllStringSubmatch(string(source), -1) {
			identifier := found[1] + found[2]
			names[strings.ToLower(wordBoundary.ReplaceAllString(identifier, "$1-$2"))] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
