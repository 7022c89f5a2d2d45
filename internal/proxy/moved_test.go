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

// slowPeer runs requests until they are released or cancelled.
type slowPeer struct {
	started, release chan struct{}
	cancelled        atomic.Int64
}

func newSlowPeer() *slowPeer {
	return &slowPeer{started: make(chan struct{}, 10), release: make(chan struct{})}
}

func (s *slowPeer) execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	s.started <- struct{}{}
	select {
	case <-s.release:
		return signedAnswer("slow")
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

// movingMesh is an entry daemon whose request runs at a peer that has fallen silent.
type movingMesh struct {
	entry *Proxy
	slow  *slowPeer
	// link is the network link to the slow peer.
	link *faultlink.Link
	// answer receives what the caller got.
	answer chan callerAnswer
}

// startMovingMesh sends a request that may run twice to a peer, which falls silent while it
// runs the request, and then adds another peer.
func startMovingMesh(t *testing.T, other func(ctx context.Context, request *hopv1.Request) *hopv1.Frame) *movingMesh {
	t.Helper()
	rule := manifest.RetryRule{Name: "rule", Attempts: 2, BudgetPercent: 100, On: []manifest.RetryOn{manifest.RetryUnknown, manifest.RetryStatus5xx}}
	entry := newProxyBeside(t, "", rule)
	peers := newTestPeers(t)
	entry.deps.Peers = peers
	slow := newSlowPeer()
	first, link := startPeerWith(t, "b", actingHandler{silentHandler{"b", make(chan string, 100)}, slow.execute})
	second, _ := startPeerWith(t, "c", actingHandler{silentHandler{"c", make(chan string, 100)}, other})
	useMembers(peers, first)
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(server.Close)
	m := &movingMesh{entry: entry, slow: slow, link: link, answer: make(chan callerAnswer, 1)}
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
	m := startMovingMesh(t, func(context.Context, *hopv1.Request) *hopv1.Frame {
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
