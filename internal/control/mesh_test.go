package control

import (
	"fmt"
	"testing"
	"time"

	"godwitmount/internal/step"
)

// largeFleet returns members of 14 data centres with 120 services.
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

// connectionsOf returns what a daemon connects to once it knows all.
func connectionsOf(self Member, all []Member) PublishMembers {
	core := New(Config{Self: self, Heartbeat: time.Second})
	for _, m := range all {
		core.members[m.Instance] = memberRow{m, 1}
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

// TestConnectionsAreBounded covers the fleet aimed at: each daemon has those of
// its data centre and two for each service elsewhere, and no daemon is chosen by
// far more than others.
func TestConnectionsAreBounded(t *testing.T) {
	all := largeFleet(2200)
	chosenBy := map[string]int{}
	for _, self := range all[:420] {
		published := connectionsOf(self, all)
		if published.Known != len(all)-1 {
			t.Fatalf("%d daemons are known", published.Known)
		}
		near, services := 0, map[string]int{}
		for _, m := range published.Members {
			if m.DataCentre == self.DataCentre {
				near++
				continue
			}
			services[m.Service]++
			chosenBy[m.Instance]++
		}
		if near < 2200/14-1 || len(services) != 120 || len(published.Members)-near != 2*120 {
			t.Fatalf("%d near, %d services, %d in all", near, len(services), len(published.Members))
		}
	}
	for instance, times := range chosenBy {
		// The mean is 420*240/2200 = 46.
		if times > 3*46 {
			t.Errorf("%s is chosen by %d of 420", instance, times)
		}
	}
}

// TestSmallFleetsAreWhollyConnected covers deployments with a few upstreams for
// each service.
func TestSmallFleetsAreWhollyConnected(t *testing.T) {
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
		t.Errorf("connected to %d of %d", len(published.Members), len(all)-1)
	}
}
