package membership

import (
	"testing"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/step"
)

func TestFingerprintsReachAllAndStop(t *testing.T) {
	n := steady(t, 30, 10, "dc-a", "dc-b")
	n.run(10 * time.Second)
	arrived := map[string]int{}
	n.trace = func(v *node, effect step.Effect) {
		e, ok := effect.(FingerprintsArrived)
		if !ok {
			return
		}
		if arrived[v.cfg.Instance]++; arrived[v.cfg.Instance] == 1 {
			n.push(0, delivery{to: v.cfg.Address, from: v.cfg.Address, event: SpreadFingerprints{Fingerprints: e.Fingerprints}})
		}
	}
	expires := n.moment().Wall.Add(time.Hour).UnixMilli()
	seen := []*peerv1.Fingerprint{{Hash: make([]byte, 32), Crashes: 2, Expires: expires}}
	n.step(n.nodes[0], SpreadFingerprints{Fingerprints: seen, Origin: true})
	n.run(time.Minute)
	for _, v := range n.nodes[1:] {
		if arrived[v.cfg.Instance] == 0 {
			t.Errorf("%s was not told", v.cfg.Instance)
		}
	}
	before := len(arrived)
	clear(arrived)
	n.run(time.Minute)
	if len(arrived) != 0 || before == 0 {
		t.Errorf("%d daemons are still told after a minute", len(arrived))
	}
}

func TestPacketsOfOthersCarryUpdates(t *testing.T) {
	n := steady(t, 31, 4, "dc-a")
	n.run(30 * time.Second)
	v, to := n.nodes[1], n.nodes[2]
	n.announce(v, UpstreamStarting)
	packet := v.core.Packet()
	packet.Body = &peerv1.Packet_ConfigNotice{ConfigNotice: &peerv1.ConfigNotice{Id: ConfigIDOf(testConfig), Remaining: 2}}
	n.carry(v, SendPacket{Address: to.cfg.Address, Packet: packet})
	n.run(10 * time.Millisecond)
	if to.notices != 1 {
		t.Errorf("%d notices arrived, want 1", to.notices)
	}
	if r, _ := to.core.Lookup(v.cfg.Instance); r.UpstreamState != UpstreamStarting {
		t.Errorf("the notice brought no update: the upstream is %v", r.UpstreamState)
	}
}
