package membership

import (
	"fmt"
	"strings"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/step"
)

// describe writes an effect in one line for transcripts.
func describe(effect step.Effect) string {
	switch e := effect.(type) {
	case SendPacket:
		return fmt.Sprintf("send %s %s", e.Address, describePacket(e.Packet))
	case StartExchange:
		r := e.Request
		return fmt.Sprintf("exchange %s scope=%v hash=%v buckets=%d digests=%d members=[%s] reports=%d", e.Address, r.GetScope(),
			r.GetTableHash() != 0, len(r.GetBuckets()), len(r.GetDigests()), describeMembers(r.GetMembers()), len(r.GetReports()))
	case ReadContacts:
		return "read-contacts " + e.Prefix
	case WriteContact:
		return fmt.Sprintf("write-contact %s absent=%v revision=%d", e.Write.Key, e.Precondition.Absent, e.Precondition.Revision)
	case PeerAhead:
		return fmt.Sprintf("peer-ahead %s %s %s", e.Instance, e.Address, e.Config)
	case NoticeArrived:
		return fmt.Sprintf("notice-arrived %s %s remaining=%d", e.From, IDOf(e.Notice.GetId()), e.Notice.GetRemaining())
	case FingerprintsArrived:
		return fmt.Sprintf("fingerprints-arrived %d", len(e.Fingerprints))
	case step.Reply:
		r := e.Message.(*peerv1.ExchangeMembersResponse)
		return fmt.Sprintf("reply %d differs=%v members=[%s] wanted=%v reports=%d", e.Call, len(r.GetBucketHashes()) > 0,
			describeMembers(r.GetMembers()), r.GetWanted(), len(r.GetReports()))
	case step.Log:
		fields := make([]string, len(e.Fields))
		for i, f := range e.Fields {
			fields[i] = f.Key + "=" + f.Value
		}
		return fmt.Sprintf("log %s %s", e.Event, strings.Join(fields, " "))
	}
	return effect.EffectName()
}

func describePacket(p *peerv1.Packet) string {
	body := strings.TrimPrefix(fmt.Sprintf("%T", p.GetBody()), "*peerv1.Packet_")
	line := fmt.Sprintf("%s seq=%d", body, p.GetSeq())
	if p.GetPing() != nil {
		line += " target=" + p.GetPing().GetTarget()
	}
	if p.GetPingRequest() != nil {
		line += " target=" + p.GetPingRequest().GetTarget()
	}
	if len(p.GetUpdates()) > 0 {
		line += " [" + describeMembers(p.GetUpdates()) + "]"
	}
	return line
}

func describeMembers(members []*peerv1.Member) string {
	lines := make([]string, len(members))
	for i, m := range members {
		lines[i] = describeRecord(recordOf(m))
	}
	return strings.Join(lines, ", ")
}

func describeRecord(r Record) string {
	line := fmt.Sprintf("%s %d/%d %s", r.Instance, r.Incarnation, r.Sequence, r.Liveness)
	if r.UpstreamState != UpstreamNone {
		line += fmt.Sprintf(" %s=%s", r.Service, r.UpstreamState)
	}
	if r.Leaving {
		line += " leaving"
	}
	return line
}
