package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/control"
	"godwitmount/internal/faultlink"
	"godwitmount/internal/manifest"
	"godwitmount/internal/routing"
	"godwitmount/internal/shaping"
)

// answeringHandler answers each request at once. It refuses transfers like a daemon.
type answeringHandler struct {
	silentHandler
	proxy *Proxy
	runs  chan string
}

func (h answeringHandler) Execute(_ context.Context, request *hopv1.Request) *hopv1.Frame {
	h.runs <- request.Id
	return &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 200}}}
}

func (h answeringHandler) RefuseTransfer(instance string, bytes int, excess time.Duration) *hopv1.Frame {
	return h.proxy.RefuseTransfer(instance, bytes, excess)
}

// startLinkedPeer returns a data path that is connected to one peer, on a machine with the
// given network link.
func startLinkedPeer(t *testing.T, machine *shaping.Link) (*Proxy, *faultlink.Link, chan string) {
	t.Helper()
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	runs := make(chan string, 10)
	peers := newTestPeers(t)
	p.deps.Peers = peers
	member, network := startPeerOn(t, "b", answeringHandler{silentHandler{"b", make(chan string, 10)}, p, runs}, machine)
	peers.SetMembers([]control.Member{member}, 1)
	for peers.UsablePeers() < 1 {
		time.Sleep(time.Millisecond)
	}
	return p, network, runs
}

// newUpload returns a forwarder of a request with a body of 60 kB.
func newUpload(p *Proxy, remaining time.Duration) *forwarder {
	now := time.Now()
	return &forwarder{proxy: p, call: &call{
		service: "s", route: &p.ActiveTable().Routes()[0], deadline: now.Add(remaining), goal: now.Add(remaining),
		request: &hopv1.Request{Id: "r", Body: make([]byte, 60_000), RemainingMs: wireMilliseconds(remaining), GoalMs: wireMilliseconds(remaining)},
	}}
}

// TestPeerRefusesUploadBeforeItsTransfer covers a peer whose network link needs 4.8 s for a
// request that has one: it counts as shed by a full upstream, so that another one is tried
// or the caller gets a time to retry.
func TestPeerRefusesUploadBeforeItsTransfer(t *testing.T) {
	p, _, runs := startLinkedPeer(t, shaping.NewLink(100_000))
	f := newUpload(p, time.Second)
	frame, r := f.executeAt(context.Background(), &routing.Candidate{Instance: "b"})
	if failed := frame.GetFailure(); r != notSent || code.Code(failed.GetCode()) != code.CallShed || !failed.GetNotRun() {
		t.Errorf("got %v, result %s; want call-shed, not run", frame, r)
	}
	if f.retryAfter < 3*time.Second || f.mayHaveRun || f.offers != 1 {
		t.Errorf("retry after %s, may have run %t, %d offers", f.retryAfter, f.mayHaveRun, f.offers)
	}
	if len(runs) > 0 {
		t.Error("the request ran")
	}
}

// TestUnsentUploadIsReportedNotRun covers a request that ends while its parts wait for the
// peer's grants: by its caller, by its deadline, or because the peer is suspended. It has not
// run.
func TestUnsentUploadIsReportedNotRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		suspend bool
		timeout time.Duration
		want    code.Code
	}{
		{"cancelled", false, 0, code.CallCancelledNotRun},
		{"past its deadline", false, 100 * time.Millisecond, code.CallDeadlineNotRun},
		{"peer suspended", true, 0, code.CallConnectRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			machine := shaping.NewLink(100_000)
			p, network, runs := startLinkedPeer(t, machine)
			ctx, cancel := context.WithCancel(context.Background())
			if c.timeout > 0 {
				ctx, cancel = context.WithTimeout(context.Background(), c.timeout)
			}
			defer cancel()
			f := newUpload(p, time.Minute)
			ended := make(chan *failure, 1)
			go func() {
				frame, _ := f.executeAt(ctx, &routing.Candidate{Instance: "b"})
				if ctx.Err() != nil {
					ended <- f.contextFailure(ctx)
					return
				}
				ended <- f.failureOf(frame)
			}()
			for machine.Inbound().Transfers() == 0 {
				time.Sleep(time.Millisecond)
			}
			switch {
			case c.suspend:
				network.SetFault(faultlink.Blocked)
			case c.timeout == 0:
				cancel()
			}
			if failed := <-ended; failed.code != c.want || !failed.notRun {
				t.Errorf("got %s, not run %t; want %s", failed.code, failed.notRun, c.want)
			}
			if backedOff := p.deps.Peers.get("b").backoffUntil.Load() > 0; backedOff != c.suspend {
				t.Errorf("the peer is avoided: %t", backedOff)
			}
			if len(runs) > 0 {
				t.Error("the request ran")
			}
		})
	}
}

// TestLateTransferEndsTheAttempts covers an upload past its goal at a peer whose link is
// taken by other frames: it is given up long before its deadline, as not run, and is not
// offered to further upstreams, which would keep it waiting as well.
func TestLateTransferEndsTheAttempts(t *testing.T) {
	machine := shaping.NewLink(8_000_000)
	p, _, runs := startLinkedPeer(t, machine)
	grants := make(chan int, 100)
	other, _ := machine.Inbound().Announce(shaping.Announcement{Kind: shaping.ReplyFrame, Bytes: 9_000_000}, func(bytes int) { grants <- bytes })
	go func() {
		for granted := range grants {
			machine.Inbound().Arrived(other, granted)
		}
	}()
	defer machine.Inbound().End(other)
	f := newUpload(p, time.Minute)
	f.call.request.GoalMs = 0
	frame, r := f.executeAt(context.Background(), &routing.Candidate{Instance: "b"})
	if failed := frame.GetFailure(); r != notSent || code.Code(failed.GetCode()) != code.CallShed || !failed.GetNotRun() || !f.transferLate {
		t.Errorf("got %v, result %s, late %t; want call-shed, not run, late", frame, r, f.transferLate)
	}
	if p.deps.Peers.get("b").backoffUntil.Load() > 0 {
		t.Error("the peer is avoided for its busy link")
	}
	if len(runs) > 0 {
		t.Error("the request ran")
	}
}

// TestWaitForGrantsIsNoRoundTripTime covers a large request to a slow link: the time of its
// transfer must not count as the distance of the peer, by which small ones are placed.
func TestWaitForGrantsIsNoRoundTripTime(t *testing.T) {
	p, _, _ := startLinkedPeer(t, shaping.NewLink(4_000_000))
	peer := p.deps.Peers.get("b")
	if _, err := peer.send(context.Background(), newUpload(p, time.Minute).call.request, waitForPeer); err != nil || peer.lastRTT.Load() != 0 {
		t.Errorf("a round-trip time of %s, error %v", time.Duration(peer.lastRTT.Load()), err)
	}
	if _, err := peer.send(context.Background(), &hopv1.Request{Id: "r"}, waitForPeer); err != nil || peer.lastRTT.Load() == 0 {
		t.Errorf("no round-trip time of a small request, error %v", err)
	}
	if got := p.deps.Peers.candidates(nil, "")[0].LinkKbps; got != 4000 {
		t.Errorf("the candidate's link has %d kbit/s", got)
	}
}

// TestCallersBodiesCountOnTheLink covers callers that send bodies to this machine: peers'
// requests that would arrive too late behind them are refused. Bodies of nested requests
// come from the same machine.
func TestCallersBodiesCountOnTheLink(t *testing.T) {
	for _, nested := range []bool{false, true} {
		p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
		link := shaping.NewLink(8_000_000)
		p.deps.Peers.link = link
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c := &call{nested: nested, deadline: time.Now().Add(time.Minute)}
			if body, f := p.readBody(w, r, c, 1<<20); f != nil || len(body) != 1<<20 {
				t.Errorf("read %d bytes, failure %v", len(body), f)
			}
		}))
		answer, err := http.Post(server.URL, "", bytes.NewReader(make([]byte, 1<<20)))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		server.Close()
		// 60 kB need 67 ms of the idle link.
		transfer, excess := link.Inbound().Announce(shaping.Announcement{Kind: shaping.RequestFrame, Bytes: 60_000, GoalLeft: 150 * time.Millisecond}, func(int) {})
		if refused := transfer == nil; refused == nested {
			t.Errorf("nested %t: refused %t, late by %s", nested, refused, excess)
		}
	}
}

// TestStateReportsTheLargerBacklog covers frames that wait for the receiving direction of
// the machine's network link only.
func TestStateReportsTheLargerBacklog(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	link := shaping.NewLink(8_000_000)
	p.deps.Peers.link = link
	link.Inbound().Announce(shaping.Announcement{Kind: shaping.ReplyFrame, Bytes: 900_000}, func(int) {})
	if got := microseconds(p.State().GetLinkBacklogUs()); got < 900*time.Millisecond {
		t.Errorf("a backlog of %s is reported, want 1 s", got)
	}
	link.AddBacklog(1_800_000)
	if got := microseconds(p.State().GetLinkBacklogUs()); got < 1900*time.Millisecond {
		t.Errorf("a backlog of %s is reported, want 2 s", got)
	}
}
