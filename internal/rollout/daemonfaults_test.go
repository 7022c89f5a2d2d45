package rollout

import (
	"testing"
	"time"

	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

// drawFaultOfOne begins or ends a fault of one daemon: it is cut off from the others, from the
// store, or does not run for a while.
func (c *cluster) drawFaultOfOne() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(4) {
	case 0:
		n.cut = !n.cut
	case 1:
		n.storeCut = !n.storeCut
	case 2:
		c.pause(n, time.Duration(500+c.random.IntN(9500))*time.Millisecond)
	case 3:
		if n.alive {
			n.alive = false
		} else {
			c.start(n)
		}
	}
}

// TestRolloutThroughFaultsOfDaemons replays rollouts through faults of single daemons, which
// may begin and end at each step: pauses, cuts from all others or from the store, kills and
// restarts, together with lost answers and late writes. Every third version turns bad while
// the service is moved. No old upstream may be open or busy from the completion on.
func TestRolloutThroughFaultsOfDaemons(t *testing.T) {
	t.Parallel()
	results := map[string]int{}
	for seed := range uint64(*faultSeeds) {
		c := newCluster(t, seed+1000)
		c.bad = seed%3 == 0
		c.badFrom = time.Duration(6500+c.random.IntN(4000)) * time.Millisecond
		for c.now < 20*time.Second {
			c.advance()
			if c.now > time.Second && c.random.IntN(12) == 0 {
				c.drawFaultOfOne()
			}
			if c.random.IntN(40) == 0 {
				c.loseAnswers = !c.loseAnswers
			}
		}
		c.heal()
		for end := c.now + 20*time.Second; c.now < end; {
			c.advance()
		}
		results[c.final]++
		for _, n := range c.nodes {
			if n.view == nil || n.view.Phase.String() != c.final {
				t.Errorf("seed %d: %s is in another phase than the store, %q", seed, n.instance, c.final)
			}
		}
		if c.final == "" || !c.bad && c.final != Completed.String() {
			t.Errorf("seed %d: the store has %q", seed, c.final)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("final states: %v", results)
}

// during replays the cluster to a time and calls act at each step.
func (c *cluster) during(end time.Duration, act func()) {
	for c.now < end {
		c.advance()
		act()
	}
}

// TestRestartWithoutPeersGetsNoRequests covers a daemon beside an old upstream that was
// restarted while it reaches the store and no other daemon. It learns the phase trial from
// the store, and the others count it as gone: its upstream must be closed when they complete
// the rollout.
func TestRestartWithoutPeersGetsNoRequests(t *testing.T) {
	c := newCluster(t, 1)
	c.bad = false
	c.during(3*time.Second, func() {})
	n := c.nodes[0]
	n.cut, n.alive = true, false
	c.during(3500*time.Millisecond, func() {})
	c.start(n)
	c.during(25*time.Second, func() {})
	if c.final != Completed.String() {
		t.Errorf("the store has %q", c.final)
	}
}

// TestPartOfADataCentreIsCutOff covers a cut that goes through data centres, as of a rack with
// a switch of its own. Daemons on the smaller side reach each other and must not take the
// others' side for the one that is gone, nor be counted as gone while they go on.
func TestPartOfADataCentreIsCutOff(t *testing.T) {
	t.Parallel()
	// Its clusters are larger.
	for seed := range uint64(max(*faultSeeds/3, 1)) {
		c := newClusterOf(t, seed+3000, 15)
		c.bad = false
		c.during(time.Duration(c.random.IntN(8000))*time.Millisecond, func() {})
		for _, n := range c.nodes {
			n.side = c.random.IntN(2)
			n.storeCut = n.side == 1 && seed%2 == 0
		}
		c.during(20*time.Second, func() {})
		c.heal()
		c.during(40*time.Second, func() {})
		if c.final != Completed.String() {
			t.Errorf("the store has %q", c.final)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestLateCompletionMeetsARevert covers a write of the completion that the store performs
// seconds later, or without an answer, while the new version turns bad and in half of the cases
// the coordinator is killed. Before, daemons may be cut off, suspended or restarted, so that some
// are counted as gone, and all reach each other again soon after. Whatever they decide, no old upstream may be open or busy once
// the store has the completion, and none may be opened by a reversion that the store does not
// have.
func TestLateCompletionMeetsARevert(t *testing.T) {
	t.Parallel()
	results := map[string]int{}
	for seed := range uint64(*faultSeeds) {
		c := newCluster(t, seed+5000)
		c.bad, c.badFrom = true, time.Hour
		c.writing = func(n *node, e Write) {
			if e.Saved.Phase != Completed.String() || c.badFrom < time.Hour {
				return
			}
			c.loseAnswers, c.badFrom = true, c.now
			n.alive = seed%2 == 0
		}
		c.during(25*time.Second, func() {
			if c.now > c.badFrom+100*time.Millisecond {
				c.loseAnswers = false
				c.healDaemons()
			}
			if c.badFrom == time.Hour && seed%3 > 0 && c.random.IntN(15) == 0 {
				c.drawFaultOfOne()
			}
		})
		c.heal()
		c.during(40*time.Second, func() {})
		results[c.final]++
		if c.final == "" {
			t.Errorf("the store has no final state")
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("final states: %v", results)
}

// TestRestartedDaemonDoesNotTrustAnEarlierPhase covers a daemon beside an old upstream that is
// restarted after it has confirmed, and hears first from a peer that does not know phase full
// yet. The coordinator may still have the confirmation, so that the upstream must stay closed.
func TestRestartedDaemonDoesNotTrustAnEarlierPhase(t *testing.T) {
	core := New(Config{Instance: "a-1", DataCentre: "a", Service: "desk"})
	request := Request{Service: "desk", To: "v2", Period: 12 * time.Second, Position: store.Position{Version: 5}}
	var view View
	now := time.Duration(0)
	run := func(events ...step.Event) {
		for _, ev := range events {
			for _, effect := range core.Step(step.Env{Now: now}, ev) {
				if published, ok := effect.(Publish); ok {
					view = published.Views[0]
				}
			}
		}
	}
	peer := Member{Instance: "a-2", DataCentre: "a", Service: "desk"}
	run(MembersChanged{Members: []Member{peer}, Complete: true}, UpstreamChanged{Service: "desk", Version: "v1"},
		PeerReachability{Instance: "a-2", Reachable: true}, PeerState{Instance: "a-2", Service: "desk", Version: "v2"},
		ProgressReceived{Instance: "a-2", Progress: []Progress{{Request: request, Phase: StepTwo}}}, RequestsRead{Requests: []Request{request}})
	for ; now < confirmationLasts; now += 100 * time.Millisecond {
		run(step.Tick{}, RowsRead{Err: store.ErrOutcomeUnknown})
		if view.Opens("v1") {
			t.Fatalf("the old upstream is open after %s, without a word of the store", now)
		}
	}
	run(step.Tick{})
	if !view.Opens("v1") {
		t.Errorf("the old upstream is closed for longer than a confirmation lasts")
	}
	// The next process is told by the store that no daemon has confirmed.
	core, now = New(core.cfg), 0
	run(UpstreamChanged{Service: "desk", Version: "v1"}, MembersChanged{Complete: true}, RequestsRead{Requests: []Request{request}})
	if view.Opens("v1") {
		t.Error("the old upstream is open before the phase is known")
	}
	run(RowsRead{Phases: map[string]PhaseRow{"desk": {Version: 6, Saved: Saved{Version: 5, To: "v2", Phase: "trial"}}}})
	if !view.Opens("v1") {
		t.Error("the old upstream is closed although the store has the trial")
	}
}

// TestLateNoticeOfACutIsInTime covers a daemon that is cut off while its connections are idle, so
// that it notices it 2.4 s later, after a ping, and the others at once: it must have closed its old
// upstream, and that have ended its requests, when they count it as gone.
func TestLateNoticeOfACutIsInTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*faultSeeds) {
		c := newCluster(t, seed+7000)
		c.bad = false
		for _, n := range c.nodes {
			n.lag = 400 * time.Millisecond
		}
		c.nodes[0].lag = 2400 * time.Millisecond
		c.during(time.Duration(1000+c.random.IntN(7000))*time.Millisecond, func() {})
		c.nodes[0].cut = true
		c.during(25*time.Second, func() {})
		if c.final != Completed.String() {
			t.Errorf("the store has %q", c.final)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
