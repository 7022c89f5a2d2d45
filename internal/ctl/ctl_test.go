package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestTranscripts runs the command lines under testdata and compares output and
// exit codes with the recorded ones.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		dir := t.TempDir()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				if err := os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(d.Input), 0o600); err != nil {
					t.Fatal(err)
				}
				return ""
			case "run":
				return runCommandLine(dir, d.Input)
			default:
				t.Fatalf("unknown directive %s", d.Cmd)
				return ""
			}
		})
	})
}

// runCommandLine runs one command line and returns its output and exit code. $DIR
// in the line and in the output is the directory of the files.
func runCommandLine(dir, line string) string {
	var stdout, stderr bytes.Buffer
	exit := Run(context.Background(), strings.Fields(strings.ReplaceAll(line, "$DIR", dir)), &stdout, &stderr)
	text := strings.ReplaceAll(stderr.String()+stdout.String(), dir, "$DIR")
	return fmt.Sprintf("%sexit %d\n", text, exit)
}

func TestExitCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for i, row := range exitCodes {
		if int(row.code) != i {
			t.Errorf("exit code %d is at index %d of exitCodes", row.code, i)
		}
		if line := fmt.Sprintf("| %d | %s |\n", row.code, row.text); !strings.Contains(string(page), line) {
			t.Errorf("docs/OPERATIONS.md lacks %q", line)
		}
	}
}
