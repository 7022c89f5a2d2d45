package docscheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// timeOfDay matches what turns a moment into the time of day, which jumps.
var timeOfDay = regexp.MustCompile(`\.(Unix|UnixMilli|UnixMicro|UnixNano)\(\)|\.Round\(0\)`)

// timeOfDayFiles may use it, for the reason that stands there.
var timeOfDayFiles = map[string]string{
	"../control/control.go": "compared with what the same machine's upstream says of its own clock",
	"../logbook/logbook.go": "stands in log lines; a jump begins a new second's allowance",
}

// TestDecisionsUseTheSteadyClock checks that ages and pauses are reckoned by the
// steady clock: the time of day of a machine can jump by minutes.
func TestDecisionsUseTheSteadyClock(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if timeOfDayFiles[filepath.ToSlash(path)] != "" {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := timeOfDay.Find(source); found != nil {
			t.Errorf("%s reckons by the time of day: %s", path, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
