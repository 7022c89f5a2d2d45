package ctl

import (
	"cmp"
	"slices"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
)

// instanceCounts are the instances by what the mesh believes of them.
type instanceCounts struct {
	Alive   int `json:"alive"`
	Suspect int `json:"suspect"`
	Dead    int `json:"dead"`
	Left    int `json:"left"`
}

// serviceStatus counts a service's upstreams in one data centre.
type serviceStatus struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// Ready upstreams take requests; Slots is how many they run at once.
	Ready    int    `json:"ready"`
	Slots    uint32 `json:"slots"`
	Starting int    `json:"starting"`
	Draining int    `json:"draining"`
}

func countInstances(members []*peerv1.Member) instanceCounts {
	var counts instanceCounts
	for _, member := range members {
		switch member.GetLiveness() {
		case peerv1.Liveness_LIVENESS_ALIVE:
			counts.Alive++
		case peerv1.Liveness_LIVENESS_SUSPECT:
			counts.Suspect++
		case peerv1.Liveness_LIVENESS_DEAD:
			counts.Dead++
		case peerv1.Liveness_LIVENESS_LEFT:
			counts.Left++
		}
	}
	return counts
}

// servicesOf counts the upstreams of live instances by service and data
// centre, in that order.
func servicesOf(members []*peerv1.Member) []serviceStatus {
	var services []serviceStatus
	for _, member := range members {
		if member.GetService() == "" || !live(member) {
			continue
		}
		key := serviceStatus{Service: member.GetService(), DataCentre: member.GetDataCentre()}
		i, found := slices.BinarySearchFunc(services, key, compareServices)
		if !found {
			services = slices.Insert(services, i, key)
		}
		services[i].count(member)
	}
	return services
}

func compareServices(a, b serviceStatus) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
}

func live(member *peerv1.Member) bool {
	switch member.GetLiveness() {
	case peerv1.Liveness_LIVENESS_ALIVE, peerv1.Liveness_LIVENESS_SUSPECT:
		return true
	default:
		return false
	}
}

func (s *serviceStatus) count(member *peerv1.Member) {
	state := member.GetUpstreamState()
	switch {
	case member.GetLeaving() || state == peerv1.UpstreamState_UPSTREAM_STATE_DRAINING:
		s.Draining++
	case state == peerv1.UpstreamState_UPSTREAM_STATE_READY:
		s.Ready++
		s.Slots += member.GetSlots()
	case state == peerv1.UpstreamState_UPSTREAM_STATE_STARTING:
		s.Starting++
	}
}
