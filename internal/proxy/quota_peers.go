package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/hop"
	"godwitmount/internal/quota"
)

// recordSilence records how the peer became unreachable. A peer that only fell silent
// may still be reachable for others; one whose port refuses connections has ended.
func (p *peer) recordSilence(wasUp bool, err error) {
	switch {
	case wasUp:
		p.silent.Store(errors.Is(err, hop.ErrPeerSilent))
	case errors.Is(err, syscall.ECONNREFUSED):
		p.silent.Store(false)
	}
}

// SetMesh sets the names of the other data centres, and whether this daemon's own entry of
// the member table has been read. It reports whether the latter has changed.
func (ps *Peers) SetMesh(remote []string, ownEntryRead bool) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	defer ps.viewVersion.Add(1)
	ps.remote = remote
	return ps.ownEntryRead.Swap(ownEntryRead) != ownEntryRead
}

// membersUnread reports whether this daemon's own entry of the member table has not been
// read.
func (ps *Peers) membersUnread() bool { return !ps.ownEntryRead.Load() }

// remoteCentres returns the names of the other data centres.
func (ps *Peers) remoteCentres() []string {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	return ps.remote
}

// quotaView returns what the quotas need to know of the other daemons.
func (ps *Peers) quotaView() quota.View {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	view := quota.View{Remote: ps.remote, Daemons: ps.total + 1, MembersUnread: ps.membersUnread()}
	for _, p := range ps.all {
		if p.DataCentre == ps.self.DataCentre {
			view.Members = append(view.Members, quota.Member{
				Instance:      p.Instance,
				Reachable:     p.up.Load(),
				Silent:        p.silent.Load(),
				Leaving:       p.state.Load().stopping(),
				MembersUnread: p.state.Load().membersUnread(),
			})
		}
	}
	return view
}

// reachableIn returns a reachable daemon of a data centre, at random, or "".
func (ps *Peers) reachableIn(dataCentre string) string {
	ps.mu.RLock()
	defer ps.mu.RUnlock()
	chosen, seen := "", 0
	for _, p := range ps.all {
		if p.DataCentre != dataCentre || !p.up.Load() {
			continue
		}
		seen++
		if rand.IntN(seen) == 0 {
			chosen = p.Instance
		}
	}
	return chosen
}

// askQuota sends a quota message and returns the reply; ok is false if there is none
// within the limit.
func (ps *Peers) askQuota(ctx context.Context, message quota.Message, limit time.Duration) (reply quota.Reply, ok bool) {
	p := ps.get(message.To)
	if p == nil {
		return quota.Reply{}, false
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := p.client.AskQuota(bounded, encodeQuotaRequest(message.Request))
	if err != nil {
		return quota.Reply{}, false
	}
	return decodeQuotaReply(answer), true
}

func encodeQuotaRequest(r quota.Request) *hopv1.QuotaRequest {
	return &hopv1.QuotaRequest{
		Customer: r.Customer,
		Tokens:   uint32(r.Tokens),
		Arrived:  uint32(r.Arrived),
		Returned: uint32(r.Returned),
		Used:     uint32(r.Used),
		Share:    encodeShare(r.Share),
		Relayed:  r.Relayed,
		Takeover: r.Takeover,
		Pull:     r.Pull,
		Need:     r.Need,
	}
}

func decodeQuotaRequest(r *hopv1.QuotaRequest) quota.Request {
	return quota.Request{
		Customer: r.GetCustomer(),
		Tokens:   int(r.GetTokens()),
		Arrived:  int(r.GetArrived()),
		Returned: int(r.GetReturned()),
		Used:     int(r.GetUsed()),
		Share:    decodeShare(r.GetShare()),
		Relayed:  r.GetRelayed(),
		Takeover: r.GetTakeover(),
		Pull:     r.GetPull(),
		Need:     part(r.GetNeed()),
	}
}

func encodeQuotaReply(r quota.Reply) *hopv1.QuotaReply {
	// Rounded up, so that a refusal does not end before there is a token.
	wait := (r.Wait + time.Millisecond - 1) / time.Millisecond
	return &hopv1.QuotaReply{
		Declined: r.Declined,
		Kept:     r.Kept,
		Tokens:   uint32(r.Tokens),
		WaitMs:   uint32(wait),
		Share:    encodeShare(r.Share),
		Given:    r.Given,
	}
}

func decodeQuotaReply(r *hopv1.QuotaReply) quota.Reply {
	return quota.Reply{
		Declined: r.GetDeclined(),
		Kept:     r.GetKept(),
		Tokens:   int(r.GetTokens()),
		Wait:     milliseconds(r.GetWaitMs()),
		Share:    decodeShare(r.GetShare()),
		Given:    part(r.GetGiven()),
	}
}

// part returns a part of an allowance that a peer has sent, or 0 if it is none: a number
// that is not one would spread to all shares.
func part(value float64) float64 {
	if value >= 0 && value <= 1 {
		return value
	}
	return 0
}

// encodeShare returns nil for a share that is not known.
func encodeShare(s quota.Share) *hopv1.QuotaShare {
	if s.Version == 0 {
		return nil
	}
	return &hopv1.QuotaShare{Movable: s.Movable, Version: s.Version}
}

func decodeShare(s *hopv1.QuotaShare) quota.Share {
	return quota.Share{Movable: part(s.GetMovable()), Version: s.GetVersion()}
}
