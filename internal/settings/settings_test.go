package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"godwitmount/internal/code"
)

// TestTranscripts runs the files under testdata. "parse" prints the settings with
// defaults filled in, or all problems.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			daemon, problems := Parse("d", []byte(d.Input))
			if problems != nil {
				return problems.Error() + "\n"
			}
			text, err := json.MarshalIndent(daemon, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			return string(text)
		})
	})
}

func TestExampleSettingsAreValid(t *testing.T) {
	daemon, problems := Load("../../dist/godwitmountd.hujson")
	if problems != nil {
		t.Fatal(problems)
	}
	if daemon.Instance != "kendal-a-1" {
		t.Errorf("instance id %q", daemon.Instance)
	}
}

func TestLoadRejectsUnreadableAndOversizedFiles(t *testing.T) {
	large := filepath.Join(t.TempDir(), "large")
	if err := os.WriteFile(large, []byte(strings.Repeat(" ", MaxSourceSize+1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for file, want := range map[string]code.Code{
		"testdata/absent": code.SettingsUnreadable,
		"testdata":        code.SettingsUnreadable,
		large:             code.SettingsOutOfRange,
	} {
		if daemon, problems := Load(file); daemon != nil || !problems.Has(want) {
			t.Errorf("%s: %v", file, problems)
		}
	}
}
