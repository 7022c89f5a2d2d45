package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of trouble.
type kind uint8

const (
	killDaemon kind = iota
	pauseDaemon
	stopDaemon
	slowLine
	silentLine
	oneWayLine
	brokenLine
	busyStore
	silentStore
	lostWrites
	forgottenHistory
	publish
	leavingUpstream
	crashedUpstream
	kinds
)

var kindNames = [kinds]string{"kill-daemon", "pause-daemon", "stop-daemon", "slow-line", "silent-line", "one-way-line",
	"broken-line", "busy-store", "silent-store", "lost-writes", "forgotten-history", "publish", "leaving-upstream", "crashed-upstream"}

// trouble is one entry of a plan.
type trouble struct {
	at   time.Duration
	kind kind
	node int
	last time.Duration
}

func (t trouble) String() string {
	return fmt.Sprintf("%s %s of %d for %s", t.at.Round(time.Millisecond), kindNames[t.kind], t.node, t.last.Round(time.Millisecond))
}

const (
	// troubleEvery is the mean time between two troubles; they overlap.
	troubleEvery = 400 * time.Millisecond
	minTrouble   = 200 * time.Millisecond
	maxTrouble   = 2500 * time.Millisecond
)

// planOf draws the troubles of a seed.
func planOf(seed uint64, nodes int, length time.Duration) []trouble {
	random := rand.New(rand.NewPCG(seed, 1))
	var plan []trouble
	for range int(length / troubleEvery) {
		plan = append(plan, trouble{
			at:   time.Duration(random.Int64N(int64(length))),
			kind: kind(random.IntN(int(kinds))),
			node: random.IntN(nodes),
			last: minTrouble + time.Duration(random.Int64N(int64(maxTrouble-minTrouble))),
		})
	}
	slices.SortFunc(plan, func(a, b trouble) int { return int(a.at - b.at) })
	return plan
}
