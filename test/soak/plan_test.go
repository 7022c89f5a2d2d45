package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is the kind of a fault.
type kind uint8

const (
	killDaemon kind = iota
	pauseDaemon
	stopDaemon
	slowLink
	blockedLink
	oneWayLink
	resetLink
	busyStore
	unresponsiveStore
	lostWriteResponses
	truncatedHistory
	publish
	drainingUpstream
	crashedUpstream
	// numDrawn is the number of the kinds above. Each plan draws from all of them,
	// so that their number must stay for a seed to keep its plan.
	numDrawn
	// The kinds below are in each plan once.
	restoredStore     = numDrawn
	silentConnections = numDrawn + 1
	namedLimit        = numDrawn + 2
	// earlyPublish is a publish in the first third of the plan, so that each seed has a
	// version that comes into force during the faults.
	earlyPublish = numDrawn + 3
	numKinds     = numDrawn + 4
)

var kindNames = [numKinds]string{"kill-daemon", "pause-daemon", "stop-daemon", "slow-link", "blocked-link", "one-way-link",
	"reset-link", "busy-store", "unresponsive-store", "lost-write-responses", "truncated-history", "publish", "draining-upstream", "crashed-upstream",
	"restored-store", "silent-connections", "named-limit", "early-publish"}

// fault is one entry of a plan.
type fault struct {
	// start is when the fault begins, measured from the start of the plan.
	start time.Duration
	kind  kind
	// node is the index of the affected node. Faults of the store, silent connections
	// and publish ignore it.
	node int
	// duration is how long a fault of a link or the store, or a pause, lasts, and
	// how old the copy is that the store comes back from. The other kinds ignore
	// it.
	duration time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%s %s, node %d, for %s", f.start.Round(time.Millisecond), kindNames[f.kind], f.node, f.duration.Round(time.Millisecond))
}

const (
	// faultInterval is the mean time between the starts of successive faults,
	// which may overlap.
	faultInterval    = 400 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// drawPlan draws the faults of a seed, in the order of their start.
func drawPlan(seed uint64, nodes int, planLength time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var plan []fault
	for range int(planLength / faultInterval) {
		plan = append(plan, fault{
			start:    time.Duration(random.Int64N(int64(planLength))),
			kind:     kind(random.IntN(int(numDrawn))),
			node:     random.IntN(nodes),
			duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	for i, once := range []kind{restoredStore, silentConnections, namedLimit} {
		random := rand.New(rand.NewPCG(seed, uint64(2+i)))
		plan = append(plan, fault{
			start:    time.Duration(random.Int64N(int64(planLength))),
			kind:     once,
			duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			node:     random.IntN(nodes),
		})
	}
	random = rand.New(rand.NewPCG(seed, uint64(earlyPublish)))
	plan = append(plan, fault{start: time.Duration(random.Int64N(int64(planLength / 3))), kind: earlyPublish})
	slices.SortFunc(plan, func(a, b fault) int { return int(a.start - b.start) })
	return plan
}
