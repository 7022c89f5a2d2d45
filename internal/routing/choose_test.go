package routing

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestChoose runs transcripts of choices: "upstreams" lists what is known,
// "choose" draws with a row of random numbers and counts who is chosen why.
func TestChoose(t *testing.T) {
	datadriven.Walk(t, "testdata/choose", func(t *testing.T, path string) {
		var groups []Group
		now := time.Minute
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "upstreams":
				groups = readGroups(t, d.Input, now)
				return ""
			case "choose":
				return drawMany(t, d, groups, now)
			default:
				t.Fatalf("unknown command %q", d.Cmd)
				return ""
			}
		})
	})
}

// readGroups reads lines of "instance data-centre key=value...".
func readGroups(t *testing.T, text string, now time.Duration) []Group {
	var groups []Group
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		c := Candidate{Upstream: Upstream{Instance: fields[0], DataCentre: fields[1], Slots: 10}, Stats: &Stats{}}
		c.loadAt.Store(int64(-loadFade))
		for _, field := range fields[2:] {
			setCandidate(t, &c, field, now)
		}
		groups = addTo(groups, c)
	}
	return groups
}

func setCandidate(t *testing.T, c *Candidate, field string, now time.Duration) {
	name, text, _ := strings.Cut(field, "=")
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	switch name {
	case "slots":
		c.Slots = int(number)
	case "outstanding":
		c.outstanding.Store(number)
	case "others":
		c.othersLoad.Store(number)
		c.loadAt.Store(int64(now))
	case "ejected-ms":
		c.ejectedUntil.Store(int64(now + time.Duration(number)*time.Millisecond))
	case "avoid-ms":
		c.avoidUntil.Store(int64(now + time.Duration(number)*time.Millisecond))
	case "ready-for-ms":
		c.since.Store(int64(now - time.Duration(number)*time.Millisecond))
		c.SlowStart = 10 * time.Second
	default:
		t.Fatalf("unknown field %q", field)
	}
}

func drawMany(t *testing.T, d *datadriven.TestData, groups []Group, now time.Duration) string {
	ask := Ask{Local: "a", Now: now}
	draws := 1000
	d.MaybeScanArgs(t, "draws", &draws)
	d.MaybeScanArgs(t, "key-home", &ask.KeyHome)
	var tried string
	d.MaybeScanArgs(t, "tried", &tried)
	if tried != "" {
		ask.Tried = strings.Split(tried, "+")
	}
	counts := map[string]int{}
	for i := range draws {
		ask.Random = uint64(i) * 0x9e3779b97f4a7c15
		decision := Choose(groups, ask)
		counts[describe(decision)]++
	}
	return table(groups, counts)
}

func describe(d Decision) string {
	if d.Chosen == nil {
		return d.Reason.String()
	}
	text := d.Chosen.Instance + " " + d.Reason.String()
	if d.Saturated {
		text += " saturated"
	}
	return text
}

// table prints the counts in the order of the upstreams.
func table(groups []Group, counts map[string]int) string {
	var out strings.Builder
	for _, group := range groups {
		for _, c := range group.Candidates {
			for _, reason := range []Reason{LocalLighter, SpillOver, OtherDataCentre, KeyHome, AllPassedOver} {
				for _, full := range []string{"", " saturated"} {
					name := c.Instance + " " + reason.String() + full
					if counts[name] > 0 {
						fmt.Fprintf(&out, "%s: %d\n", name, counts[name])
					}
				}
			}
		}
	}
	if counts[None.String()] > 0 {
		fmt.Fprintf(&out, "none: %d\n", counts[None.String()])
	}
	return out.String()
}
