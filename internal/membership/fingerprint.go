package membership

import (
	"slices"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
)

const (
	// maxFingerprintsQueued bounds the fingerprints waiting.
	maxFingerprintsQueued = 256
	// fingerprintsPerPacket bounds the fingerprints on one packet.
	fingerprintsPerPacket = 4
	// fieldOverhead is the room that a field's tag and length take at most.
	fieldOverhead = 4
)

// SpreadFingerprints asks to pass fingerprints of requests that crash upstreams
// on to other daemons, at once to a few and to the rest with other packets.
type SpreadFingerprints struct {
	Fingerprints []*peerv1.Fingerprint
	// Origin is set when they were seen here first: then each other data centre
	// is told at once too.
	Origin bool
}

// EventName implements step.Event.
func (SpreadFingerprints) EventName() string { return "spread-fingerprints" }

// waitingFingerprint is a fingerprint on its way.
type waitingFingerprint struct {
	fingerprint *peerv1.Fingerprint
	size        int
	sent        int
}

// spreadFingerprints queues fingerprints and pushes them to a few peers.
func (c *Core) spreadFingerprints(e SpreadFingerprints) {
	for _, f := range e.Fingerprints {
		c.gossip.fingerprints = append(c.gossip.fingerprints, &waitingFingerprint{
			fingerprint: f,
			size:        proto.Size(f) + fieldOverhead,
		})
	}
	if excess := len(c.gossip.fingerprints) - maxFingerprintsQueued; excess > 0 {
		c.gossip.fingerprints = slices.Delete(c.gossip.fingerprints, 0, excess)
	}
	for _, address := range c.fingerprintTargets(e.Origin) {
		packet := c.header()
		packet.Quarantined = e.Fingerprints[:min(len(e.Fingerprints), fingerprintsPerPacket)]
		packet.Body = &peerv1.Packet_Urgent{Urgent: &peerv1.Urgent{}}
		c.send(address, packet)
	}
}

// fingerprintTargets returns addresses of a few peers here and, when everywhere
// is set, of as many in each other data centre.
func (c *Core) fingerprintTargets(everywhere bool) []string {
	var targets []string
	peers := c.peers()
	for _, instance := range peers[:min(len(peers), c.cfg.UrgentFanout)] {
		targets = append(targets, c.addressOf(instance))
	}
	if !everywhere {
		return targets
	}
	for _, dataCentre := range c.table.dataCentres() {
		if dataCentre == c.cfg.DataCentre {
			continue
		}
		living := slices.Clone(c.table.alive(dataCentre))
		c.random.Shuffle(len(living), func(i, j int) { living[i], living[j] = living[j], living[i] })
		for _, instance := range living[:min(len(living), c.cfg.UrgentFanout)] {
			targets = append(targets, c.addressOf(instance))
		}
	}
	return targets
}

// fillFingerprints adds waiting fingerprints to a packet while there is room.
func (c *Core) fillFingerprints(packet *peerv1.Packet) {
	limit := c.transmitLimit()
	room := MaxPacketBytes - proto.Size(packet)
	for _, w := range c.gossip.fingerprints {
		if len(packet.Quarantined) == fingerprintsPerPacket {
			break
		}
		if w.size > room {
			continue
		}
		room -= w.size
		w.sent++
		packet.Quarantined = append(packet.Quarantined, w.fingerprint)
	}
	now := c.moment.Wall.UnixMilli()
	c.gossip.fingerprints = slices.DeleteFunc(c.gossip.fingerprints, func(w *waitingFingerprint) bool {
		return w.sent >= limit || w.fingerprint.GetExpires() < now
	})
}
