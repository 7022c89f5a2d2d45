package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/control"
	"godwitmount/internal/faultlink"
	"godwitmount/internal/manifest"
	"godwitmount/internal/routing"
)

// actingHandler is a peer beside an upstream of service s that answers requests as execute
// says.
type actingHandler struct {
	silentHandler
	execute func(ctx context.Context, request *hopv1.Request) *hopv1.Frame
}

func (h actingHandler) Execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	return h.execute(ctx, request)
}
func (h actingHandler) State() *hopv1.State {
	return &hopv1.State{TakesWork: true, Service: "s", Upstream: "u-" + h.instance, Slots: 4}
}
func (h actingHandler) HelloState() *hopv1.State { return h.State() }

// slowPeer runs requests until they are released or cancelled, and answers them then with
// status, 0 meaning 200.
type slowPeer struct {
	started, release chan struct{}
	status           atomic.Uint32
	cancelled        atomic.Int64
}

func newSlowPeer() *slowPeer {
	return &slowPeer{started: make(chan struct{}, 10), release: make(chan struct{})}
}

func (s *slowPeer) execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	s.started <- struct{}{}
	select {
	case <-s.release:
		answer := signedAnswer("slow")
		if status := s.status.Load(); status > 0 {
			answer.GetAnswer().Status = status
		}
		return answer
	case <-ctx.Done():
		s.cancelled.Add(1)
		return failureFrame(code.CallCancelled, false, 0, nil)
	}
}

// signedAnswer returns the answer of an upstream.
func signedAnswer(body string) *hopv1.Frame {
	return &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{
		Status: http.StatusOK, Headers: []*hopv1.Header{{Name: "Signature", Value: []byte("s")}}, Body: []byte(body),
	}}}
}

// hedgedCall is an entry daemon whose request runs at a peer that has fallen silent.
type hedgedCall struct {
	entry *Proxy
	slow  *slowPeer
	// link is the network link to the slow peer.
	link *faultlink.Link
	// answer receives what the caller got.
	answer chan callerAnswer
}

// startHedgedCall sends a request that may run twice to a peer, which falls silent while it
// runs the request, and then adds another peer.
func startHedgedCall(t *testing.T, other func(ctx context.Context, request *hopv1.Request) *hopv1.Frame) *hedgedCall {
	t.Helper()
	return startHedgedCallOn(t, []manifest.RetryOn{manifest.RetryUnknown, manifest.RetryStatus5xx}, other)
}

// startHedgedCallOn is startHedgedCall with the outcomes on which the route retries.
func startHedgedCallOn(t *testing.T, on []manifest.RetryOn, other func(ctx context.Context, request *hopv1.Request) *hopv1.Frame) *hedgedCall {
	t.Helper()
	rule := manifest.RetryRule{Name: "rule", Attempts: 2, BudgetPercent: 100, On: on}
	entry := newProxyBeside(t, "", rule)
	peers := newTestPeers(t)
	entry.deps.Peers = peers
	slow := newSlowPeer()
	first, link := startPeerWith(t, "b", actingHandler{silentHandler{"b", make(chan string, 100)}, slow.execute})
	second, _ := startPeerWith(t, "c", actingHandler{silentHandler{"c", make(chan string, 100)}, other})
	useMembers(peers, first)
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(server.Close)
	m := &hedgedCall{entry: entry, slow: slow, link: link, answer: make(chan callerAnswer, 1)}
	go func() {
		answer, err := callEntry(t, strings.TrimPrefix(server.URL, "http://"), http.MethodGet, "r1")
		if err != nil {
			t.Errorf("the answer is not complete: %v", err)
		}
		m.answer <- answer
	}()
	<-slow.started
	link.SetFault(faultlink.Blocked)
	useMembers(peers, first, second)
	return m
}

// useMembers makes the members the peers and waits until all accept requests.
func useMembers(peers *Peers, members ...control.Member) {
	peers.SetMembers(members, len(members))
	for peers.UsablePeers() < len(members) {
		time.Sleep(time.Millisecond)
	}
}

// TestSlowPeersRequestIsNotGivenUpForARefusal covers a request that runs at a peer which counts
// as silent, and that the other peers refuse: the run goes on, and its answer is the caller's.
func TestSlowPeersRequestIsNotGivenUpForARefusal(t *testing.T) {
	refused := make(chan struct{}, 10)
	m := startHedgedCall(t, func(context.Context, *hopv1.Request) *hopv1.Frame {
		refused <- struct{}{}
		return failureFrame(code.CallShed, true, 0, nil)
	})
	<-refused
	m.link.SetFault(faultlink.None)
	time.Sleep(100 * time.Millisecond)
	close(m.slow.release)
	if got := <-m.answer; got.status != http.StatusOK || got.body != "slow" {
		t.Errorf("the caller got %+v", got)
	}
	if n := m.slow.cancelled.Load(); n > 0 {
		t.Error("the run was cancelled although nobody else took the request")
	}
}

// TestHedgedRequestIsAnsweredElsewhere covers a silent peer, and another one that answers: its
// answer is the caller's, and the run at the silent peer is cancelled.
func TestHedgedRequestIsAnsweredElsewhere(t *testing.T) {
	m := startHedgedCall(t, func(context.Context, *hopv1.Request) *hopv1.Frame { return signedAnswer("other") })
	if got := <-m.answer; got.status != http.StatusOK || got.body != "other" {
		t.Errorf("the caller got %+v", got)
	}
	m.link.SetFault(faultlink.None)
	awaitCount(t, "the run at the silent peer is cancelled", &m.slow.cancelled, 1)
}

// TestFirstAnswerEndsTheHedge covers a peer that was only slow and answers while another one
// runs the request as well: that run is cancelled.
func TestFirstAnswerEndsTheHedge(t *testing.T) {
	other := newSlowPeer()
	m := startHedgedCall(t, other.execute)
	<-other.started
	m.link.SetFault(faultlink.None)
	close(m.slow.release)
	if got := <-m.answer; got.status != http.StatusOK || got.body != "slow" {
		t.Errorf("the caller got %+v", got)
	}
	awaitCount(t, "the second run is cancelled", &other.cancelled, 1)
}

// TestFailedHedgeLeavesTheFirstAttempt covers a second upstream that fails: the answer of the
// first is awaited, and if that is lost, the caller gets what the second has answered.
func TestFailedHedgeLeavesTheFirstAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		end        func(m *hedgedCall)
		wantStatus int
		wantBody   string
	}{
		"the first answers": {func(m *hedgedCall) {
			m.link.SetFault(faultlink.None)
			close(m.slow.release)
		}, http.StatusOK, "slow"},
		"the first is lost": {func(m *hedgedCall) { m.link.SetFault(faultlink.Reset) }, http.StatusInternalServerError, "failed"},
	} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan struct{}, 10)
			m := startHedgedCall(t, func(context.Context, *hopv1.Request) *hopv1.Frame {
				asked <- struct{}{}
				failing := signedAnswer("failed")
				failing.GetAnswer().Status = http.StatusInternalServerError
				return failing
			})
			<-asked
			c.end(m)
			if got := <-m.answer; got.status != c.wantStatus || got.body != c.wantBody {
				t.Errorf("the caller got %+v", got)
			}
		})
	}
}

// TestUpstreamsFailureIsNotHeldForAHedge covers an upstream that answers with a failure on a route
// that does not retry those, while the hedge goes on: the failure is the caller's answer at once.
func TestUpstreamsFailureIsNotHeldForAHedge(t *testing.T) {
	other := newSlowPeer()
	m := startHedgedCallOn(t, []manifest.RetryOn{manifest.RetryUnknown}, other.execute)
	m.slow.status.Store(http.StatusInternalServerError)
	<-other.started
	m.link.SetFault(faultlink.None)
	close(m.slow.release)
	if got := <-m.answer; got.status != http.StatusInternalServerError || got.body != "slow" {
		t.Errorf("the caller got %+v", got)
	}
}

// TestHedgeThatNobodyTakesCostsNoRetry covers the retry budget: what was taken for a hedge that
// no upstream has run is left for the next attempt.
func TestHedgeThatNobodyTakesCostsNoRetry(t *testing.T) {
	for name, c := range map[string]struct {
		delivered int
		want      bool
	}{"refused": {0, true}, "run": {1, false}} {
		began := progress{deliveries: 1}
		h := &hedge{began: began, forwarder: &forwarder{progress: began}, result: notSent, done: closedChannel()}
		h.forwarder.deliveries += c.delivered
		f := &forwarder{}
		f.absorb(h)
		if f.retryTaken != c.want || f.deliveries != c.delivered {
			t.Errorf("%s: retry taken %t, %d deliveries", name, f.retryTaken, f.deliveries)
		}
	}
}

// TestHedgeNeedsAPlacement covers a large request at a silent peer, beside a local upstream that
// has refused it and a remote one that gets no large requests as long as there is a local one:
// there is nothing to hedge with, and the retry stays in the budget.
func TestHedgeNeedsAPlacement(t *testing.T) {
	rule := manifest.RetryRule{Name: "rule", Attempts: 2, BudgetPercent: 100, On: []manifest.RetryOn{manifest.RetryUnknown}}
	p := newProxyBeside(t, "", rule)
	peers := newTestPeers(t)
	p.deps.Peers = peers
	answers := func(context.Context, *hopv1.Request) *hopv1.Frame { return signedAnswer("a") }
	local, _ := startPeerWith(t, "b", actingHandler{silentHandler{"b", make(chan string, 100)}, answers})
	remote, _ := startPeerWith(t, "c", actingHandler{silentHandler{"c", make(chan string, 100)}, answers})
	remote.DataCentre = "other"
	useMembers(peers, local, remote)
	p.routes.recordSize("r", routing.LargeRequestBytes)
	for name, c := range map[string]struct {
		tried []string
		want  string
	}{"the local one is left": {nil, ""}, "only the remote one is left": {[]string{"b"}, "no other upstream"}} {
		f := &forwarder{proxy: p, tried: c.tried, call: &call{
			service: "s", route: &p.ActiveTable().Routes()[0], deadline: time.Now().Add(time.Minute), goal: time.Now().Add(time.Minute),
		}}
		p.recordRequest(f.call)
		if got := f.mayHedge(progress{deliveries: 1}); got != c.want {
			t.Errorf("%s: refused by %q, want %q", name, got, c.want)
		}
	}
}

// TestHedgeAtANewVersionIsRemembered covers a hedge that was tried at the new version of a
// rollout: the next attempt does not go there again.
func TestHedgeAtANewVersionIsRemembered(t *testing.T) {
	h := &hedge{forwarder: &forwarder{rollout: rolloutAttempt{triedNew: true}}, result: unknown, done: closedChannel()}
	f := &forwarder{}
	f.absorb(h)
	if !f.rollout.triedNew {
		t.Error("the request counts as not tried at the new version")
	}
}

// TestNeedlessHedgeCostsNoRetry covers a hedge that all others refuse while the first upstream
// answers after all: nothing was sent twice, and the budget has the retry again.
func TestNeedlessHedgeCostsNoRetry(t *testing.T) {
	refused := make(chan struct{}, 10)
	m := startHedgedCall(t, func(context.Context, *hopv1.Request) *hopv1.Frame {
		refused <- struct{}{}
		return failureFrame(code.CallShed, true, 0, nil)
	})
	<-refused
	m.link.SetFault(faultlink.None)
	time.Sleep(100 * time.Millisecond)
	close(m.slow.release)
	if got := <-m.answer; got.status != http.StatusOK {
		t.Fatalf("the caller got %+v", got)
	}
	// The rule allows as many retries as requests, one.
	nested := &call{service: "s", route: &m.entry.ActiveTable().Routes()[0], nested: true}
	if !m.entry.takeRetry(nested, m.entry.now()) {
		t.Error("the retry was charged although no upstream got the request twice")
	}
}

// awaitCount waits until a counter has reached a value.
func awaitCount(t *testing.T, what string, counter *atomic.Int64, want int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); counter.Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: no", what)
		}
	}
}
