package proxy

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"time"

	"godwitmount/internal/claim"
	"godwitmount/internal/code"
)

// PeerHandler takes the calls that other daemons send to the local upstream;
// they carry HeaderAttempt.
func (p *Proxy) PeerHandler() http.Handler {
	return http.HandlerFunc(p.servePeer)
}

func (p *Proxy) servePeer(w http.ResponseWriter, r *http.Request) {
	x, f := p.readExecution(r)
	if f != nil {
		p.refusePeer(w, x, f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	a, f := p.execute(ctx, x)
	if f == nil {
		f = p.holdForPeer(ctx, a)
	}
	if f != nil {
		p.refusePeer(w, x, f)
		return
	}
	header := w.Header()
	header[HeaderLoad] = []string{strconv.Itoa(p.otherLoad(a.body != nil))}
	header[HeaderUpstreamTime] = []string{strconv.FormatInt(a.upstreamTime.Microseconds(), 10)}
	if err := a.write(w); err != nil {
		p.metrics.aborted(x.route)
		panic(http.ErrAbortHandler)
	}
}

func (p *Proxy) refusePeer(w http.ResponseWriter, x *execution, f *failure) {
	w.Header()[HeaderLoad] = []string{strconv.Itoa(p.otherLoad(false))}
	p.metrics.refusedPeer(f.code)
	f.write(w, x.attempt, p.deps.Rand())
}

// otherLoad is the number of requests at the upstream besides the one that is
// answered; held tells that this one still has its slot.
func (p *Proxy) otherLoad(held bool) int {
	load := p.gate.Running() + p.gate.Waiting()
	if held {
		load--
	}
	return max(load, 0)
}

// holdForPeer reads a short answer whole, so that one that ends early can be
// told by a code.
func (p *Proxy) holdForPeer(ctx context.Context, a *answer) *failure {
	if a.hold(p.cfg.BufferedAnswer) == nil {
		return nil
	}
	if ctx.Err() != nil {
		return failureOfContext(ctx)
	}
	return fail(code.CallAnswerBroken)
}

// readExecution reads an attempt sent by another daemon.
func (p *Proxy) readExecution(r *http.Request) (*execution, *failure) {
	x := &execution{
		attempt: r.Header.Get(HeaderAttempt),
		service: r.Header.Get(HeaderService),
		route:   r.Header.Get(HeaderRoute),
		request: r,
		fenced:  true,
	}
	allowed, f := readDeadline(r.Header)
	if f != nil {
		return x, f
	}
	if x.attempt == "" || allowed == 0 || !readHash(r.Header.Get(HeaderFingerprint), &x.fingerprint) {
		return x, fail(code.CallBadRequest)
	}
	x.deadline = time.Now().Add(allowed)
	if target := r.Header.Get(HeaderTarget); target != p.cfg.Instance {
		return x, fail(code.CallNoUpstream)
	}
	x.key = r.Header.Get(HeaderIdempotencyKey)
	if x.key != "" {
		x.keyHash = hashKey(x.route, x.key)
	}
	x.header = forwardable(r.Header)
	x.body = attemptBody{body: streamedBody(r)}
	return x, nil
}

// streamedBody is a body that is passed on as it comes; the entry daemon has
// bounded it.
func streamedBody(r *http.Request) *requestBody {
	if r.ContentLength == 0 {
		return &requestBody{}
	}
	return &requestBody{length: r.ContentLength, rest: r.Body}
}

func readHash(text string, into *claim.Hash) bool {
	if len(text) != 2*claim.HashSize {
		return false
	}
	n, err := hex.Decode(into[:], []byte(text))
	return err == nil && n == claim.HashSize
}

// failureOfSentBody is the failure of a send whose request body could not be
// read to its end, if it was that.
func failureOfSentBody(sent *sendError) *failure {
	if errors.Is(sent.err, errBodyTooLarge) && sent.neverSent {
		return fail(code.CallBodyTooLarge)
	}
	return nil
}
