// Package docscheck holds the tests that compare the pages under docs/ with the
// code, and checks of the source text.
package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the root directory of the repository.
const root = "../.."

func readPage(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "docs", file))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// tableRows returns the trimmed cells of all rows of all Markdown tables, without
// the separator rows.
func tableRows(text string) [][]string {
	var rows [][]string
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "|---") {
			continue
		}
		rows = append(rows, cells(line))
	}
	return rows
}

func cells(line string) []string {
	parts := strings.Split(strings.Trim(line, "|"), "|")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// linkTarget captures the target of a Markdown link without its anchor.
var linkTarget = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// TestLinkedFilesExist checks that each file that a page links to exists.
func TestLinkedFilesExist(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	notes, err := filepath.Glob(filepath.Join(root, "docs", "notes", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	top, err := filepath.Glob(filepath.Join(root, "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range append(append(pages, notes...), top...) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range linkTarget.FindAllStringSubmatch(string(text), -1) {
			target := found[1]
			if strings.Contains(target, "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
				t.Errorf("%s links to %s: %v", page, target, err)
			}
		}
	}
}
