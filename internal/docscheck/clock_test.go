package docscheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallClockUse matches what reduces a time.Time to the wall clock, which can
// jump.
var wallClockUse = regexp.MustCompile(`\.(Unix|UnixMilli|UnixMicro|UnixNano)\(\)|\.Round\(0\)`)

// wallClockFiles are the files that may use the wall clock, with the reason.
var wallClockFiles = map[string]string{
	"../control/control.go":   "compared with the start time that an upstream on the same machine reports",
	"../asynclog/asynclog.go": "log lines are limited per wall-clock second; a jump only starts a new second",
}

// TestDecisionsUseMonotonicClock checks that only wallClockFiles use the wall
// clock. Ages and pauses are measured on the monotonic clock, because the wall
// clock of a machine can jump by minutes.
func TestDecisionsUseMonotonicClock(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if wallClockFiles[filepath.ToSlash(path)] != "" {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := wallClockUse.Find(source); found != nil {
			t.Errorf("%s uses the wall clock: %s", path, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
