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
	// raised finds the events that are logged above info level.
	raised  = regexp.MustCompile(`\.Warn\(event\.([A-Z]\w+)|c\.log\(event\.([A-Z]\w+), true`)
	capital = regexp.MustCompile(`([a-z])([A-Z])`)
)

// TestAlarmsAreExplained checks that the operators' page says what to do on
// each event that is logged above info level.
func TestAlarmsAreExplained(t *testing.T) {
	numbers := map[string]event.Number{}
	for _, info := range event.All() {
		numbers[info.Name] = info.Number
	}
	page := readPage(t, "OPERATIONS.md")
	names := raisedEvents(t)
	if len(names) < 10 {
		t.Fatalf("only %d events found in the source: %v", len(names), names)
	}
	for name := range names {
		number, known := numbers[name]
		if !known {
			t.Errorf("the source raises %q, which the catalogue does not hold", name)
		}
		if !strings.Contains(page, fmt.Sprintf("%d %s", number, name)) {
			t.Errorf("docs/OPERATIONS.md does not explain %d %s", number, name)
		}
	}
}

// raisedEvents returns the names of the events that daemons and the tool log
// above info level.
func raisedEvents(t *testing.T) map[string]bool {
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
		for _, found := range raised.FindAllStringSubmatch(string(source), -1) {
			identifier := found[1] + found[2]
			names[strings.ToLower(capital.ReplaceAllString(identifier, "$1-$2"))] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
