package manifest

import (
	"bytes"
	"os"
	"testing"
)

// FuzzParse checks that Parse never panics and returns either a manifest or
// problems, and that an accepted manifest has a stable canonical form and
// compiles.
func FuzzParse(f *testing.F) {
	for _, file := range exampleFiles(f) {
		source, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(source)
	}
	f.Add(largeManifest(2, 5).Canonical())
	f.Fuzz(func(t *testing.T, source []byte) {
		m, problems := Parse("fuzz", source)
		if (m == nil) == (len(problems) == 0) {
			t.Fatalf("manifest %v with problems %v", m, problems)
		}
		if m == nil {
			return
		}
		body := m.Canonical()
		again, err := ParseCanonical(body)
		if err != nil {
			t.Fatalf("canonical form rejected: %v\n%s", err, body)
		}
		if !bytes.Equal(again.Canonical(), body) {
			t.Fatalf("canonical form changes when it is parsed:\n%s", body)
		}
		if _, err := Compile(m); err != nil {
			t.Fatal(err)
		}
	})
}
