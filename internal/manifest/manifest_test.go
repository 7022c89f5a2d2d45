package manifest

import (
	"os"
	"path/filepath"
	"testing"
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
		if _, err := Compile(again); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}
