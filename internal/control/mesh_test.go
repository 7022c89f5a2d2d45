package control

import (
	"fmt"
	"testing"
	"time"

	"godwitmount/internal/step"
	"godwitmount/internal/store"
)

// largeFleet returns size members spread over 14 data centres and 120 services.
func largeFleet(size int) []Member {
	all := make([]Member, size)
	for i := range all {
		all[i] = Member{
			Instance:   fmt.Sprintf("i-%04d", i),
			DataCentre: fmt.Sprintf("dc-%02d", i%14),
			Address:    fmt.Sprintf("10.0.%d.%d:1", i/256, i%256),
			Service:    fmt.Sprintf("s-%03d", i%120),
		}
	}
	return all
}

// connectionsOf returns the members that self stays connected to when it knows
// all.
func connectionsOf(self Member, all []Member) PublishMembers {
	core := New(Config{Self: self, HeartbeatInterval: time.Second})
	for _, m := range all {
		core.members[m.Instance] = memberRow{Member: m, position: store.Position{Version: 1}}
	}
	core.publishMembers()
	for _, effect := range core.effects {
		if published, ok := effect.(PublishMembers); ok {
			return published
		}
	}
	panic("no members were published")
}

var _ step.Effect = PublishMembers{}

// TestConnectionsAreBounded checks a fleet of the target size, 2200 daemons: each
// stays connected to all daemons of its data centre and to two remote ones for
// each service, and no daemon is chosen by more than three times the mean.
func TestConnectionsAreBounded(t *testing.T) {
	all := largeFleet(2200)
	chosenBy := map[string]int{}
	for _, self := range all[:420] {
		published := connectionsOf(self, all)
		if published.Known != len(all)-1 {
			t.Fatalf("%d known daemons", published.Known)
		}
		local, services := 0, map[string]int{}
		for _, m := range published.Members {
			if m.DataCentre == self.DataCentre {
				local++
				continue
			}
			services[m.Service]++
			chosenBy[m.Instance]++
		}
		if local < 2200/14-1 || len(services) != 120 || len(published.Members)-local != 2*120 {
			t.Fatalf("%d local connections, %d services, %d connections in total", local, len(services), len(published.Members))
		}
	}
	for instance, times := range chosenBy {
		// The mean is 420*240/2200 = 46.
		if times > 3*46 {
			t.Errorf("%s is chosen by %d of 420 daemons", instance, times)
		}
	}
}

// TestRolloutConnectsAllOfTheService covers a daemon during a rollout of its service: it
// connects at once to those that decide, step by step to all others of the service, and
// to the usual ones afterwards. A daemon of another service keeps its connections.
func TestRolloutConnectsAllOfTheService(t *testing.T) {
	var all []Member
	for i := range 98 {
		all = append(all, Member{Instance: fmt.Sprint("i-", i), DataCentre: fmt.Sprint("dc-", i%3), Address: "10.0.0.1:1", Service: "desk"})
	}
	other := Member{Instance: "o", DataCentre: "dc-0", Address: "10.0.0.1:1", Service: "back"}
	for _, self := range []Member{all[0], other} {
		core := New(Config{Self: self, HeartbeatInterval: time.Second})
		for _, m := range append(all, other) {
			core.members[m.Instance] = memberRow{Member: m, position: store.Position{Version: 1}}
		}
		count := 0
		run := func(now time.Duration, ev step.Event) int {
			for _, effect := range core.Step(step.Env{Now: now}, ev) {
				if published, ok := effect.(PublishMembers); ok {
					count = len(published.Members)
					// Completion waits for all of the service, connected or not.
					if self.Service == "desk" && count+len(published.Others) != len(all) {
						t.Errorf("%d members are connected and %d others, want %d together", count, len(published.Others), len(all))
					}
				}
			}
			return count
		}
		usual := run(time.Second, RolloutsChanged{})
		first := run(time.Second, RolloutsChanged{Services: map[string]bool{"desk": true}})
		middle := run(time.Second+rolloutMeshSpread/2, step.Tick{})
		last := run(time.Second+rolloutMeshSpread, step.Tick{})
		after := run(10*time.Second, RolloutsChanged{})
		if after != usual {
			t.Errorf("%s: %d connections after the rollout, %d before", self.Instance, after, usual)
		}
		if self.Service != "desk" {
			if first != usual || last != usual {
				t.Errorf("%s: %d and %d connections during the rollout of another service, want %d", self.Instance, first, last, usual)
			}
			continue
		}
		if first <= usual || first > usual+rolloutMeshFirst || middle <= first || last <= middle || last != len(all) {
			t.Errorf("%s: %d connections before, then %d, %d and %d of %d", self.Instance, usual, first, middle, last, len(all))
		}
	}
}

// TestSmallFleetsAreFullyConnected checks that all daemons are connected when each
// service has only a few upstreams.
func TestSmallFleetsAreFullyConnected(t *testing.T) {
	var all []Member
	for i := range 12 {
		all = append(all, Member{
			Instance:   fmt.Sprintf("i-%d", i),
			DataCentre: fmt.Sprintf("dc-%d", i%3),
			Address:    "10.0.0.1:1",
			Service:    fmt.Sprintf("s-%d", i/4%2),
		})
	}
	if published := connectionsOf(all[0], all); len(published.Members) != len(all)-1 {
		t.Errorf("connected to %d of %d daemons", len(published.Members), len(all)-1)
	}
}
