package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/claim"
	"godwitmount/internal/step"
	"godwitmount/internal/steptest"
)

func hashOf(name string) claim.Hash { return claim.FingerprintOf("POST", name, "", nil) }

// mesh is a few quarantines and the names of the fingerprints used.
type mesh struct {
	cores  map[string]*Core
	now    step.Moment
	names  map[claim.Hash]string
	spread []*peerv1.Fingerprint
}

func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		m := &mesh{
			cores: map[string]*Core{},
			names: map[claim.Hash]string{},
			now:   step.Moment{Wall: time.UnixMilli(1_000_000)},
		}
		datadriven.RunTest(t, path, m.run)
	})
}

// run steps the quarantine named by at. "arrive" brings it what was spread
// last.
func (m *mesh) run(t *testing.T, d *datadriven.TestData) string {
	name := steptest.Text(t, d, "print")
	m.names[hashOf(name)] = name
	core := m.core(steptest.Text(t, d, "at"), steptest.Number[int](t, d, "bound"))
	switch d.Cmd {
	case "crash":
		return m.step(core, Crashed{Fingerprint: hashOf(name), Crash: steptest.Number[uint64](t, d, "crash")})
	case "clear":
		return m.step(core, Cleared{Fingerprint: hashOf(name)})
	case "arrive":
		return m.step(core, FingerprintsArrived{Fingerprints: m.spread})
	case "advance":
		m.now.Wall = m.now.Wall.Add(steptest.Duration(t, d, "by"))
		return m.step(core, step.Tick{})
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

func (m *mesh) core(at string, bound int) *Core {
	if m.cores[at] == nil {
		cfg := DefaultConfig(at)
		if bound > 0 {
			cfg.MaxFingerprints = bound
		}
		m.cores[at] = New(cfg, m.now)
	}
	return m.cores[at]
}

func (m *mesh) step(core *Core, ev step.Event) string {
	var lines []string
	for _, effect := range core.Step(m.now, ev) {
		switch e := effect.(type) {
		case Spread:
			m.spread = e.Fingerprints
			for _, f := range e.Fingerprints {
				hash, _ := claim.HashFrom(f.GetHash())
				lines = append(lines, fmt.Sprintf("spread %s crashes=%d ids=%d", m.names[hash], f.GetCrashes(), len(f.GetCrashIds())))
			}
		case SetChanged:
			lines = append(lines, "set "+m.setText(e))
		case step.Log:
			lines = append(lines, "log "+e.Event.String())
		}
	}
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

func (m *mesh) setText(e SetChanged) string {
	var entries []string
	for hash, entry := range e.Entries {
		word := "suspect"
		if entry.Refused {
			word = "refused"
		}
		entries = append(entries, m.names[hash]+"="+word)
	}
	slices.Sort(entries)
	return "{" + strings.Join(entries, " ") + "}"
}

// tracked is a tracker whose reports go straight to a reducer.
func tracked() (*Tracker, *time.Time) {
	now := time.UnixMilli(1_000_000)
	set := NewSet()
	core := New(DefaultConfig("a"), step.Moment{Wall: now})
	tracker := NewTracker(set, func(ev step.Event) {
		for _, effect := range core.Step(step.Moment{Wall: now}, ev) {
			if changed, ok := effect.(SetChanged); ok {
				set.Replace(changed.Entries)
			}
		}
	}, func() time.Time { return now })
	return tracker, &now
}

func wantRefused(t *testing.T, tracker *Tracker, name string, want bool) {
	t.Helper()
	if refused, retry := tracker.Refused(hashOf(name)); refused != want || refused && retry <= 0 {
		t.Errorf("%s refused %t (retry after %s), want %t", name, refused, retry, want)
	}
}

// TestInnocentBystander has a poisonous and an innocent request in flight at a
// crash, and both sent again together.
func TestInnocentBystander(t *testing.T) {
	tracker, now := tracked()
	tracker.Started(hashOf("poison"))
	tracker.Started(hashOf("innocent"))
	tracker.Crashed(hashOf("poison"))
	tracker.Crashed(hashOf("innocent"))

	*now = now.Add(2 * time.Second)
	wantRefused(t, tracker, "poison", false)
	tracker.Started(hashOf("poison"))
	wantRefused(t, tracker, "innocent", true)
	tracker.Crashed(hashOf("poison"))

	wantRefused(t, tracker, "poison", true)
	wantRefused(t, tracker, "innocent", false)
	tracker.Started(hashOf("innocent"))
	tracker.Finished(hashOf("innocent"))
	wantRefused(t, tracker, "innocent", false)
	wantRefused(t, tracker, "poison", true)
}

// TestOneCrashCountsOnce has two copies of one request in flight at a crash.
func TestOneCrashCountsOnce(t *testing.T) {
	tracker, now := tracked()
	for range 2 {
		tracker.Started(hashOf("twin"))
	}
	for range 2 {
		tracker.Crashed(hashOf("twin"))
		*now = now.Add(100 * time.Millisecond)
	}
	wantRefused(t, tracker, "twin", false)
}

// TestPopularRequest is in flight at every crash but keeps ending well.
func TestPopularRequest(t *testing.T) {
	tracker, now := tracked()
	for range 5 {
		tracker.Started(hashOf("popular"))
		tracker.Finished(hashOf("popular"))
		tracker.Started(hashOf("popular"))
		tracker.Crashed(hashOf("popular"))
		*now = now.Add(5 * time.Second)
		wantRefused(t, tracker, "popular", false)
	}
}

func BenchmarkTrackerOfAGoodRequest(b *testing.B) {
	tracker := NewTracker(NewSet(), func(step.Event) {}, time.Now)
	fingerprint := hashOf("good")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if refused, _ := tracker.Refused(fingerprint); refused {
				b.Fatal("refused")
			}
			tracker.Started(fingerprint)
			tracker.Finished(fingerprint)
		}
	})
}
