package control

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// watcherReplay is one store watcher of a replay.
type watcherReplay struct {
	role SetStoreWatcher
	// ends is the true time at which its call ends, and silent says that the call does
	// not notice a change.
	ends time.Duration
	// storeTime and seenAt are its reading of the store's clock.
	storeTime, seenAt time.Duration
}

// TestACallOfTheDataCentreEndsEachInterval replays the store watchers of a data centre,
// with changes that end their calls early, delays of the network, waits that are cut
// short, and a clock of the store that is rounded. At any time, a call must end within the interval: a connection
// that has fallen silent shows only then. Two watchers make as many calls as one would.
func TestACallOfTheDataCentreEndsEachInterval(t *testing.T) {
	const ms = time.Millisecond
	const interval, duration, maxDelay, maxEarly = time.Second, 200 * time.Second, 5 * ms, 20 * ms
	for _, watchers := range []int{1, 2} {
		for _, changeEvery := range []time.Duration{0, 700 * ms, 3 * time.Second} {
			random := rand.New(rand.NewPCG(uint64(watchers), uint64(changeEvery)))
			all := make([]*watcherReplay, watchers)
			for i := range all {
				all[i] = &watcherReplay{role: SetStoreWatcher{On: true, Turn: i, Turns: watchers}, ends: time.Duration(random.Int64N(int64(time.Second)))}
			}
			storeStart := time.Duration(random.Int64N(int64(time.Hour)))
			changes, calls := 0, 0
			nextChange := changeEvery
			for now := time.Duration(0); now < duration; {
				next := slices.MinFunc(all, func(a, b *watcherReplay) int { return int(a.ends - b.ends) })
				if gap := next.ends - now; gap > interval+3*maxDelay+maxEarly && calls > watchers {
					t.Fatalf("%d watchers, changes every %s: no call ends for %s after %s", watchers, changeEvery, gap, now)
				}
				changed := changeEvery > 0 && nextChange < next.ends
				now = next.ends
				ended := []*watcherReplay{next}
				if changed {
					now, ended = nextChange, all
					nextChange += changeEvery + time.Duration(random.Int64N(int64(changeEvery)))
					changes++
				}
				for _, w := range ended {
					delay := time.Duration(random.Int64N(int64(maxDelay)))
					w.storeTime, w.seenAt = (storeStart + now).Truncate(ms), now+delay
					// The store's timer may end a wait early.
					early := time.Duration(random.Int64N(int64(maxEarly)))
					w.ends = w.seenAt + w.role.WatchCall(w.storeTime, interval, changed) + delay - early
					calls++
				}
			}
			// A change ends a call of each watcher, and the rest of the turn takes one more.
			allowed := int(duration/interval)*105/100 + 2*watchers*changes
			if calls > allowed {
				t.Errorf("%d watchers, changes every %s: %d calls, %d allowed", watchers, changeEvery, calls, allowed)
			}
		}
	}
}

// TestWatchCallWithoutTheStoresClock covers a store whose answers have no clock: turns
// are not possible, and each watcher makes calls of one interval.
func TestWatchCallWithoutTheStoresClock(t *testing.T) {
	role := SetStoreWatcher{On: true, Turn: 1, Turns: 2}
	if got := role.WatchCall(0, time.Second, false); got != time.Second {
		t.Errorf("the call waits %s", got)
	}
}

// TestWatchCallsOfADataCentreAreShort covers the length of single calls: none waits for
// longer than the turns of all watchers, so that a silent connection of a watcher whose
// partner has failed unnoticed shows then.
func TestWatchCallsOfADataCentreAreShort(t *testing.T) {
	for turn := range 2 {
		for storeNow := time.Millisecond; storeNow < 10*time.Second; storeNow += 7 * time.Millisecond {
			for _, changed := range []bool{false, true} {
				got := SetStoreWatcher{On: true, Turn: turn, Turns: 2}.WatchCall(storeNow, time.Second, changed)
				if ends := (storeNow + got) % (2 * time.Second); ends != time.Duration(turn)*time.Second || got <= 0 || got > 2*time.Second+turnTolerance {
					t.Fatalf("turn %d at %s: waits %s", turn, storeNow, got)
				}
			}
		}
	}
}
