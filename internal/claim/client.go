package claim

import (
	"context"
	"sync/atomic"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
)

// Endpoint is a daemon that may hold claims.
type Endpoint struct {
	Instance string
	// Address is host:port of its peer listener.
	Address string
}

// View is what the client finds holders by. It is never changed once set.
type View struct {
	// Version is the manifest's.
	Version uint64
	// DataCentres is the manifest's list of possible homes.
	DataCentres []string
	// Live holds the live instances of each data centre, the own included.
	Live map[string][]Endpoint
	// Self is the own instance id.
	Self string
}

// Caller carries a request to the daemon at an address, or to the local holder
// when the endpoint is the own instance. An error means that the request's
// fate is unknown.
type Caller interface {
	Acquire(ctx context.Context, to Endpoint, req *peerv1.AcquireClaimRequest) (*peerv1.AcquireClaimResponse, error)
	Finish(ctx context.Context, to Endpoint, req *peerv1.FinishClaimRequest) (*peerv1.FinishClaimResponse, error)
}

// ClientConfig holds the bounds of a Client.
type ClientConfig struct {
	// Mesh is the mesh's name.
	Mesh string
	// Margin is kept back from the caller's time when a holder is asked to
	// wait for a running attempt, so that its answer still arrives.
	Margin time.Duration
	// GrantTimeout bounds an acquire beyond its wait.
	GrantTimeout time.Duration
	// FinishTimeout bounds one try at telling a holder how an attempt ended.
	FinishTimeout time.Duration
	// FinishTries is how often that is tried.
	FinishTries int
	// MaxBackground is how many such reports may be under way; more are
	// dropped, which leaves their claims standing until they expire.
	MaxBackground int
	// RetryAfter is what callers are told when a holder cannot be reached.
	RetryAfter time.Duration
}

// DefaultClientConfig returns the defaults for a mesh.
func DefaultClientConfig(mesh string) ClientConfig {
	return ClientConfig{
		Mesh:          mesh,
		Margin:        20 * time.Millisecond,
		GrantTimeout:  3 * time.Second,
		FinishTimeout: 2 * time.Second,
		FinishTries:   4,
		MaxBackground: 1024,
		RetryAfter:    2 * time.Second,
	}
}

// Client implements Claims: it finds a key's holder in the latest view and
// asks it. It may be used from any goroutine.
type Client struct {
	cfg        ClientConfig
	caller     Caller
	view       atomic.Pointer[View]
	background chan struct{}
	dropped    atomic.Uint64
}

var _ Claims = (*Client)(nil)

// NewClient returns a client without a view, which refuses every key.
func NewClient(cfg ClientConfig, caller Caller) *Client {
	return &Client{
		cfg:        cfg,
		caller:     caller,
		background: make(chan struct{}, cfg.MaxBackground),
	}
}

// SetView publishes a view; the client keeps it and it must not change.
func (c *Client) SetView(view *View) { c.view.Store(view) }

// Dropped counts the reports that were dropped because too many were under
// way.
func (c *Client) Dropped() uint64 { return c.dropped.Load() }

// HomeOf implements Claims.
func (c *Client) HomeOf(key Hash) string {
	view := c.view.Load()
	if view == nil {
		return ""
	}
	return HomeOf(key, view.DataCentres)
}

// Acquire implements Claims. A request whose fate is unknown is not a grant;
// the attempt is then released in the background, since its caller is told
// that it did not run.
func (c *Client) Acquire(ctx context.Context, req Request) Decision {
	view := c.view.Load()
	if view == nil {
		return c.unreachable("")
	}
	holder, ok := view.holderOf(req.Key)
	if !ok {
		return c.unreachable("")
	}
	wait := c.waitWithin(ctx, req.Wait)
	ctx, cancel := context.WithTimeout(ctx, wait+c.cfg.GrantTimeout)
	defer cancel()
	resp, err := c.caller.Acquire(ctx, holder, &peerv1.AcquireClaimRequest{
		Mesh:          c.cfg.Mesh,
		Key:           req.Key[:],
		Fingerprint:   req.Fingerprint[:],
		Attempt:       req.Attempt,
		Executor:      req.Executor,
		WaitMs:        uint32(wait.Milliseconds()),
		ConfigVersion: view.Version,
	})
	if err != nil || ctx.Err() != nil {
		c.report(req, holder.Instance, c.finishRequest(req, true, nil))
		return c.unreachable(holder.Instance)
	}
	return decisionOf(resp)
}

// waitWithin shortens a wait to what the context leaves.
func (c *Client) waitWithin(ctx context.Context, wait time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-c.cfg.Margin)
	}
	return max(wait, 0)
}

func (c *Client) unreachable(holder string) Decision {
	return Decision{
		Outcome:    Refused,
		Code:       code.ClaimHomeUnreachable,
		RetryAfter: c.cfg.RetryAfter,
		Holder:     holder,
	}
}

// Finish implements Claims. It returns at once and reports in the background.
func (c *Client) Finish(req Request, holder string, answer *Answer) {
	c.report(req, holder, c.finishRequest(req, false, answer))
}

// Release implements Claims.
func (c *Client) Release(ctx context.Context, req Request, holder string) bool {
	released := c.tell(ctx, req.Key, holder, c.finishRequest(req, true, nil))
	if !released {
		c.report(req, holder, c.finishRequest(req, true, nil))
	}
	return released
}

func (c *Client) finishRequest(req Request, released bool, answer *Answer) *peerv1.FinishClaimRequest {
	return &peerv1.FinishClaimRequest{
		Mesh:     c.cfg.Mesh,
		Key:      req.Key[:],
		Attempt:  req.Attempt,
		Released: released,
		Answer:   storedAnswer(answer),
	}
}

// report tells the holder in the background, a bounded number of times.
func (c *Client) report(req Request, holder string, msg *peerv1.FinishClaimRequest) {
	select {
	case c.background <- struct{}{}:
	default:
		c.dropped.Add(1)
		return
	}
	go func() {
		defer func() { <-c.background }()
		for try := range c.cfg.FinishTries {
			if c.tell(context.Background(), req.Key, holder, msg) {
				return
			}
			time.Sleep(c.cfg.FinishTimeout * time.Duration(try+1) / 4)
		}
	}()
}

// tell sends one report: to the key's holder in the latest view, which was
// handed the claim, and when that one does not know it, to the one that
// granted it.
func (c *Client) tell(ctx context.Context, key Hash, grantedBy string, msg *peerv1.FinishClaimRequest) bool {
	view := c.view.Load()
	if view == nil {
		return false
	}
	current, ok := view.holderOf(key)
	if ok && c.tellOne(ctx, current, msg) {
		return true
	}
	granter, ok := view.find(key, grantedBy)
	return ok && granter != current && c.tellOne(ctx, granter, msg)
}

func (c *Client) tellOne(ctx context.Context, to Endpoint, msg *peerv1.FinishClaimRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.FinishTimeout)
	defer cancel()
	resp, err := c.caller.Finish(ctx, to, msg)
	return err == nil && resp.GetAccepted()
}

// holderOf returns the key's holder; ok is false without a live one.
func (v *View) holderOf(key Hash) (Endpoint, bool) {
	endpoints := v.Live[HomeOf(key, v.DataCentres)]
	ids := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		ids[i] = endpoint.Instance
	}
	holder, _ := ranked(key, ids)
	return v.find(key, holder)
}

// find returns the endpoint of an instance in the key's home.
func (v *View) find(key Hash, instance string) (Endpoint, bool) {
	for _, endpoint := range v.Live[HomeOf(key, v.DataCentres)] {
		if endpoint.Instance == instance {
			return endpoint, true
		}
	}
	return Endpoint{}, false
}

func decisionOf(resp *peerv1.AcquireClaimResponse) Decision {
	decision := Decision{
		Outcome:    outcomeOf(resp.GetOutcome()),
		Answer:     answerOf(resp.GetAnswer()),
		Code:       code.Code(resp.GetCode()),
		RetryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
		Holder:     resp.GetHolder(),
	}
	return decision
}

// outcomeOf reads an outcome; one that this release does not know is refused.
func outcomeOf(outcome peerv1.ClaimOutcome) Outcome {
	switch outcome {
	case peerv1.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		return Granted
	case peerv1.ClaimOutcome_CLAIM_OUTCOME_RUNNING:
		return Running
	case peerv1.ClaimOutcome_CLAIM_OUTCOME_DONE:
		return Done
	case peerv1.ClaimOutcome_CLAIM_OUTCOME_MISMATCH:
		return Mismatch
	}
	return Refused
}

func storedAnswer(answer *Answer) *peerv1.StoredAnswer {
	if answer == nil {
		return nil
	}
	stored := &peerv1.StoredAnswer{Status: uint32(answer.Status), Body: answer.Body}
	for _, header := range answer.Headers {
		stored.Headers = append(stored.Headers, &peerv1.HeaderField{Name: header.Name, Value: header.Value})
	}
	return stored
}

func answerOf(stored *peerv1.StoredAnswer) *Answer {
	if stored == nil {
		return nil
	}
	answer := &Answer{Status: int(stored.GetStatus()), Body: stored.GetBody()}
	for _, header := range stored.GetHeaders() {
		answer.Headers = append(answer.Headers, Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return answer
}
