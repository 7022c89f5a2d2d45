package claim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
)

// worldEvent is something that happens to the whole of an instance, a link or the
// platform.
type worldEvent struct {
	name string
	run  func(w *world)
}

func outage(d time.Duration) func(w *world) {
	return func(w *world) {
		w.table.down = true
		w.After(d, func() { w.table.down = false })
	}
}

func cut(d time.Duration, names ...string) func(w *world) {
	return func(w *world) {
		for _, name := range names {
			w.sites[name] = 1
		}
		w.After(d, func() { w.sites = map[string]int{} })
	}
}

func restart(name string) func(w *world) {
	return func(w *world) {
		n := w.nodes[name]
		n.Down = true
		w.After(500*time.Millisecond, n.start)
	}
}

func kill(name string) func(w *world) {
	return func(w *world) { w.nodes[name].Down = true }
}

func freeze(name string, d time.Duration) func(w *world) {
	return func(w *world) {
		if n := w.nodes[name]; !n.Down {
			n.freeze(d)
		}
	}
}

func join(name string) func(w *world) {
	return func(w *world) {
		if w.nodes[name] == nil {
			w.join(name)
		}
	}
}

func leave(name string) func(w *world) {
	return func(w *world) {
		n := w.nodes[name]
		incarnation := n.incarnation
		n.step(LeaveRequested{})
		w.After(2*time.Second, func() {
			if !n.Down && n.incarnation == incarnation {
				n.left, n.Down = true, true
			}
		})
	}
}

// worldEvents are the events that are caused at every moment of a call, alone
// and in pairs.
var worldEvents = []worldEvent{
	{"nothing", func(*world) {}},
	{"platform away 25s", outage(25 * time.Second)},
	{"platform away 3s", outage(3 * time.Second)},
	{"platform away from a", func(w *world) {
		w.table.away["a"] = true
		w.After(40*time.Second, func() { w.table.away["a"] = false })
	}},
	{"cut a y from the rest", cut(20*time.Second, "a", "y")},
	{"cut a b y from the rest", cut(30*time.Second, "a", "b", "y")},
	{"restart a", restart("a")},
	{"restart all", func(w *world) {
		for _, name := range []string{"a", "b", "c"} {
			restart(name)(w)
		}
	}},
	{"kill a", kill("a")},
	{"kill a and b", func(w *world) { kill("a")(w); kill("b")(w) }},
	{"freeze a 2s", freeze("a", 2*time.Second)},
	{"freeze a 15s", freeze("a", 15*time.Second)},
	{"a leaves", leave("a")},
	{"d joins", join("d")},
}

// callKeys have each pair of a, b and c as holder and backup.
var callKeys = sync.OnceValue(func() []Hash {
	var keys []Hash
	for _, name := range []string{"ab", "ac", "ba", "bc", "ca", "cb"} {
		for i := range 2 {
			keys = append(keys, keyFor(fmt.Sprint(name, i)))
		}
	}
	return keys
})

// warmUp is long enough for every holder to be tenured.
const warmUp = worldHorizon + 5*time.Second

// play lets callers send and repeat while a scenario runs, and returns the
// world after it.
func play(scenario func(w *world)) *world {
	w := newWorld("a", "b", "c")
	w.RunTo(warmUp)
	scenario(w)
	for i, key := range callKeys() {
		start := time.Duration(i) * 370 * time.Millisecond
		for repeat := range 9 {
			executor := []string{"x", "y"}[(i+repeat)%2]
			id := fmt.Sprintf("%d.%d", i, repeat)
			at := start + time.Duration(repeat*repeat)*900*time.Millisecond
			if at > worldHorizon-10*time.Second {
				continue
			}
			w.After(at, func() { w.attempt(executor, key, id) })
		}
	}
	w.RunTo(warmUp + worldHorizon)
	return w
}

// checkRuns is the invariant: under each key at most one attempt ran.
func checkRuns(t *testing.T, name string, w *world) {
	t.Helper()
	for key, runs := range w.runs {
		if len(runs) > 1 {
			t.Errorf("%s: key %s ran %d times, as attempts %s", name, key, len(runs), strings.Join(runs, " "))
		}
	}
}

func TestNothingHappens(t *testing.T) {
	w := play(func(*world) {})
	checkRuns(t, "no fault", w)
	if len(w.runs) != len(callKeys()) {
		t.Errorf("%d keys ran, want %d", len(w.runs), len(callKeys()))
	}
	if refused := w.outcomes[peerv1.ClaimOutcome_CLAIM_OUTCOME_REFUSED]; refused != 0 {
		t.Errorf("%d refused, want none", refused)
	}
}

// TestMessageFaults loses, repeats, crosses and delays each of the first
// messages of each kind, with the platform there and away.
func TestMessageFaults(t *testing.T) {
	faults := []faultKind{lost, repeated, crossed, late, repeatLate}
	for _, kind := range []string{"acquire", "write", "read", "finish", "hand-over"} {
		for _, message := range []string{kind, kind + " answer"} {
			t.Run(message, func(t *testing.T) {
				t.Parallel()
				for _, fault := range faults {
					for nth := 1; nth <= 8; nth++ {
						playMessageFault(t, message, fault, nth)
					}
				}
			})
		}
	}
}

// backgrounds are what happens beside a message's fault: nothing, an outage in
// the middle of the calls, and a holder that dies after late messages came.
var backgrounds = []struct {
	worldEvent
	at time.Duration
}{
	{worldEvent{"nothing", func(*world) {}}, 0},
	{worldEvent{"platform away 25s", outage(25 * time.Second)}, 1500 * time.Millisecond},
	{worldEvent{"kill a", kill("a")}, 10 * time.Second},
}

func playMessageFault(t *testing.T, message string, fault faultKind, nth int) {
	for _, background := range backgrounds {
		w := play(func(w *world) {
			base := w.sent[message]
			w.fault = func(sent string, n int) faultKind {
				if sent == message && n == base+nth {
					return fault
				}
				return noFault
			}
			w.After(background.at, func() { background.run(w) })
		})
		checkRuns(t, fmt.Sprintf("%s %d %s, %s", message, nth, fault, background.name), w)
	}
}

// TestEventPairs causes each pair of events at several moments of the calls.
func TestEventPairs(t *testing.T) {
	for _, first := range worldEvents {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			for _, second := range worldEvents {
				playPair(t, first, second)
			}
		})
	}
}

func playPair(t *testing.T, first, second worldEvent) {
	for _, moment := range []time.Duration{400 * time.Millisecond, 2222 * time.Millisecond} {
		for _, gap := range []time.Duration{0, 1300 * time.Millisecond, 6 * time.Second} {
			w := play(func(w *world) {
				w.After(moment, func() { first.run(w) })
				w.After(moment+gap, func() { second.run(w) })
			})
			checkRuns(t, fmt.Sprintf("%s at %s, %s after %s", first.name, moment, second.name, gap), w)
		}
	}
}

// TestRandomSchedules mixes several events with faults of any messages. The
// first seeds are those that have found faults in the rules.
func TestRandomSchedules(t *testing.T) {
	seeds := []uint64{100144, 300416, 100484, 200761, 300911, 202315, 3543}
	for seed := range uint64(300) {
		seeds = append(seeds, seed)
	}
	const workers = 4
	for worker := range workers {
		t.Run(fmt.Sprint("worker ", worker), func(t *testing.T) {
			t.Parallel()
			for i := worker; i < len(seeds); i += workers {
				checkRuns(t, fmt.Sprint("seed ", seeds[i]), playRandom(seeds[i]))
			}
		})
	}
}

func playRandom(seed uint64) *world {
	random := rand.New(rand.NewPCG(seed, 1))
	faults := []faultKind{lost, repeated, crossed, late, repeatLate}
	return play(func(w *world) {
		percent := []int{0, 0, 2, 5, 15}[random.IntN(5)]
		w.fault = func(string, int) faultKind {
			if random.IntN(100) >= percent {
				return noFault
			}
			return faults[random.IntN(len(faults))]
		}
		for range 2 + random.IntN(4) {
			ev := worldEvents[random.IntN(len(worldEvents))]
			at := time.Duration(random.IntN(20000)) * time.Millisecond
			w.After(at, func() { ev.run(w) })
		}
	})
}
