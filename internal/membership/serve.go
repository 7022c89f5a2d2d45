package membership

import (
	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/step"
)

// serveExchange answers a peer's exchange. A request that fails the checks
// gets an empty response.
func (c *Core) serveExchange(e ExchangeRequested) {
	if err := checkExchange(e.Request, c.cfg.Mesh); err != nil {
		c.drop(e.Request.GetFrom(), err)
		c.emit(step.Reply{Call: e.Call, Message: &peerv1.ExchangeMembersResponse{}})
		return
	}
	c.takeRequest(e.Request)
	c.emit(step.Reply{Call: e.Call, Message: c.exchangeResponse(e.Request)})
}

func (c *Core) takeRequest(request *peerv1.ExchangeMembersRequest) {
	c.hear(request.GetDataCentre())
	via := c.originOf(request.GetDataCentre(), request.GetFrom(), request.GetLiving())
	for _, member := range request.GetMembers() {
		c.merge(member, via)
	}
	c.mergeReports(request.GetReports())
	if len(request.GetQuarantined()) > 0 {
		c.emit(FingerprintsArrived{Fingerprints: request.GetQuarantined()})
	}
	sender := c.table.entries[request.GetFrom()]
	if sender != nil && sender.Instance != c.cfg.Instance {
		c.firstContact(sender.Address)
		c.ahead(sender.Instance, sender.Address, IDOf(request.GetApplied()))
	}
}

func (c *Core) exchangeResponse(request *peerv1.ExchangeMembersRequest) *peerv1.ExchangeMembersResponse {
	response := &peerv1.ExchangeMembersResponse{
		Applied: ConfigIDOf(c.reports.applied),
		Living:  c.ownView(),
	}
	if request.GetTableHash() != 0 {
		response.Members = c.changesFor(request.GetDataCentre())
		response.Reports = c.reportsFor(request.GetScope())
		c.compareHashes(request, response)
	}
	if len(request.GetBuckets()) > 0 {
		c.compareDigests(request, response)
	}
	return response
}

func (c *Core) compareHashes(request *peerv1.ExchangeMembersRequest, response *peerv1.ExchangeMembersResponse) {
	own := c.table.scopeHashes(request.GetScope())
	response.TableHash = own.sum()
	if response.GetTableHash() != request.GetTableHash() {
		response.BucketHashes = own[:]
	}
}

// compareDigests gives the records the caller lacks, as far as the budget
// goes, and names those the caller has newer.
func (c *Core) compareDigests(request *peerv1.ExchangeMembersRequest, response *peerv1.ExchangeMembersResponse) {
	known := make(map[string]Record, len(request.GetDigests()))
	for _, digest := range request.GetDigests() {
		r := Record{
			Instance:    digest.GetInstance(),
			Incarnation: digest.GetIncarnation(),
			Sequence:    digest.GetSequence(),
			Liveness:    Liveness(digest.GetLiveness()),
		}
		known[r.Instance] = r
		own := c.table.entries[r.Instance]
		if own == nil || r.Newer(own.Record) {
			response.Wanted = append(response.Wanted, r.Instance)
		}
	}
	var missing []*entry
	for _, e := range c.inBuckets(request.GetBuckets(), request.GetScope()) {
		theirs, has := known[e.Instance]
		if has && e.Newer(theirs) || !has && e.living() {
			missing = append(missing, e)
		}
	}
	response.Members = append(response.Members, membersOf(missing[:c.takeTokens(len(missing))])...)
}

// takeTokens returns how many of n records may be handed out now.
func (c *Core) takeTokens(n int) int {
	x := &c.exchanges
	rate := c.cfg.ServeRate
	x.tokens = min(10*rate, x.tokens+rate*(c.now()-x.refilled).Seconds())
	x.refilled = c.now()
	granted := min(n, int(x.tokens))
	x.tokens -= float64(granted)
	return granted
}
