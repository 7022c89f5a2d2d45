package control

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/claim"
	"godwitmount/internal/rendezvous"
	"godwitmount/internal/step"
)

const (
	// attemptTime is how long an executing daemon waits for a grant.
	attemptTime = 3500 * time.Millisecond
	// serviceTime is how long a granted attempt runs.
	serviceTime = 100 * time.Millisecond
	// finishTries is how often the end of an attempt is reported.
	finishTries = 4
)

// claimants are callers that repeat a request under one key, and the executing
// daemons that ask for it.
type claimants struct {
	n   *network
	key claim.Hash
	// runs are the attempts that ran.
	runs     []string
	outcomes []peerv1.ClaimOutcome
	attempts int
	// orphans counts the attempts whose executing daemon died or gave up
	// before their holder knew how they ended; their claims stand.
	orphans int
}

func newClaimants(n *network) *claimants {
	return &claimants{n: n, key: claim.KeyOf("route-0", "order-1")}
}

// endpoints returns the live daemons of the key's home, the holder first.
func (c *claimants) endpoints(view *claim.View) []claim.Endpoint {
	live := map[string]claim.Endpoint{}
	var ids []string
	for _, endpoint := range view.Live[claim.HomeOf(c.key, view.DataCentres)] {
		live[endpoint.Instance] = endpoint
		ids = append(ids, endpoint.Instance)
	}
	var ranked []claim.Endpoint
	for _, id := range rendezvous.Rank(string(c.key[:]), ids) {
		ranked = append(ranked, live[id])
	}
	return ranked
}

// attempt has an executing daemon ask for the key, and run if it is granted in
// time. An attempt that is not is released, since its caller is told not-run.
func (c *claimants) attempt(executor string) {
	p := c.n.processes[executor]
	if p.Down || p.Frozen() || p.view == nil {
		return
	}
	endpoints := c.endpoints(p.view)
	if len(endpoints) == 0 {
		return
	}
	c.attempts++
	id := fmt.Sprintf("%s/%d", executor, c.attempts)
	life, over := p.life, false
	end := func(outcome peerv1.ClaimOutcome) {
		if over {
			return
		}
		over = true
		if p.life != life {
			c.orphans++
			return
		}
		c.outcomes = append(c.outcomes, outcome)
		c.decided(p, endpoints[0], id, outcome)
	}
	deadline := c.n.Now + attemptTime
	c.n.After(attemptTime, func() {
		p.WhenAwake(func() { end(peerv1.ClaimOutcome_CLAIM_OUTCOME_UNSPECIFIED) })
	})
	c.n.call(p, endpoints[0].Address, "acquire", func(call step.CallID) step.Event {
		return claim.AcquireRequested{Call: call, Request: c.request(executor, id)}
	}, func(reply proto.Message) {
		p.WhenAwake(func() {
			response, err := answerOf[*peerv1.AcquireClaimResponse](reply)
			if err == nil && c.n.Now < deadline {
				end(response.GetOutcome())
			}
		})
	})
}

func (c *claimants) request(executor, attempt string) *peerv1.AcquireClaimRequest {
	fingerprint := claim.FingerprintOf("POST", "/0", "", nil)
	return &peerv1.AcquireClaimRequest{
		Mesh: testMesh, Key: c.key[:], Fingerprint: fingerprint[:], Attempt: attempt, Executor: executor, WaitMs: 500,
	}
}

// decided carries on after the holder's decision.
func (c *claimants) decided(p *process, holder claim.Endpoint, attempt string, outcome peerv1.ClaimOutcome) {
	switch outcome {
	case peerv1.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		c.runs = append(c.runs, attempt)
		if len(c.runs) > 1 {
			c.n.failf("the key ran %v", c.runs)
		}
		c.n.After(serviceTime, func() { c.finish(p, p.life, holder, attempt, false, 0) })
	case peerv1.ClaimOutcome_CLAIM_OUTCOME_UNSPECIFIED:
		c.finish(p, p.life, holder, attempt, true, 0)
	}
}

// finish reports how an attempt ended, to the present holder and else to the
// one that was asked, a few times.
func (c *claimants) finish(p *process, life int, asked claim.Endpoint, attempt string, released bool, try int) {
	if p.life != life || try == finishTries || p.view == nil {
		c.orphans++
		return
	}
	to := asked
	if endpoints := c.endpoints(p.view); len(endpoints) > 0 && try%2 == 0 {
		to = endpoints[0]
	}
	request := &peerv1.FinishClaimRequest{Mesh: testMesh, Key: c.key[:], Attempt: attempt, Released: released}
	if !released {
		request.Answer = &peerv1.StoredAnswer{Status: 200, Body: []byte(attempt)}
	}
	told := false
	c.n.call(p, to.Address, "finish", func(call step.CallID) step.Event {
		return claim.FinishRequested{Call: call, Request: proto.Clone(request).(*peerv1.FinishClaimRequest)}
	}, func(reply proto.Message) {
		p.WhenAwake(func() {
			response, err := answerOf[*peerv1.FinishClaimResponse](reply)
			if !told && (err != nil || !response.GetAccepted()) {
				c.finish(p, life, asked, attempt, released, try+1)
			}
			told = true
		})
	})
}

// settled reports whether the latest attempt ran, or learnt of one that ran or
// whose end nobody could report.
func (c *claimants) settled() bool {
	if len(c.outcomes) == 0 {
		return false
	}
	switch c.outcomes[len(c.outcomes)-1] {
	case peerv1.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		return true
	case peerv1.ClaimOutcome_CLAIM_OUTCOME_RUNNING, peerv1.ClaimOutcome_CLAIM_OUTCOME_DONE:
		return len(c.runs)+c.orphans > 0
	}
	return false
}
