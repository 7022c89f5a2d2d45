package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/control"
	"godwitmount/internal/manifest"
)

// startCountingUpstream starts an upstream that answers all requests and counts them.
func startCountingUpstream(t *testing.T) (address string, count *atomic.Int64) {
	t.Helper()
	count = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Signature", "s")
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), count
}

// newExecutingProxy returns a data path whose upstream counts its requests.
func newExecutingProxy(t *testing.T) (*Proxy, *atomic.Int64) {
	t.Helper()
	address, count := startCountingUpstream(t)
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	p.SetUpstream(control.Upstream{ID: "u", StartTime: 1, Service: "s", Slots: 4, State: control.UpstreamReady, Address: address})
	return p, count
}

// TestDrainingDaemonRefusesPeers covers a peer that has not yet heard that the daemon
// stops. Its request would be cut off at the end; refused, it runs elsewhere.
func TestDrainingDaemonRefusesPeers(t *testing.T) {
	p, count := newExecutingProxy(t)
	p.deps.Peers.StartDraining()
	frame := p.ExecuteFor(context.Background(), &hopv1.Request{Id: "a", Method: "GET", Target: []byte("/"), Service: "s", RemainingMs: 1000, GoalMs: 1000})
	if failed := frame.GetFailure(); !failed.GetNotRun() || code.Code(failed.GetCode()) != code.CallDraining || count.Load() != 0 {
		t.Errorf("frame %v, %d runs; want call-draining, not run", frame, count.Load())
	}
}

// TestNestedRequestsAreServedUntilTheStop covers a request that runs at the upstream
// while the daemon stops, and that needs another one to end.
func TestNestedRequestsAreServedUntilTheStop(t *testing.T) {
	p, _ := newExecutingProxy(t)
	p.cfg.ParentID = func(id string) string { parent, _, _ := strings.Cut(id, "."); return parent }
	p.CloseEntry()
	status := func(id string) int {
		r := httptest.NewRequest(http.MethodGet, "http://h/", nil)
		r.Header.Set("Request-Id", id)
		w := httptest.NewRecorder()
		p.serve(w, r)
		return w.Code
	}
	p.running.add("parent", false)
	if got := status("parent.1"); got != http.StatusOK {
		t.Errorf("nested request: status %d", got)
	}
	if got := status("other.1"); got != http.StatusServiceUnavailable {
		t.Errorf("new request: status %d", got)
	}
}

// TestExpiredRequestIsNotSent covers a process that was paused between the admission
// of a request and its run. The request's time is over, on an open connection, too.
func TestExpiredRequestIsNotSent(t *testing.T) {
	p, count := newExecutingProxy(t)
	request := &hopv1.Request{Id: "a", Method: "GET", Target: []byte("/"), Service: "s", RemainingMs: 1000, GoalMs: 1000, Idempotent: true}
	if frame := p.Execute(context.Background(), request); frame.GetAnswer().GetStatus() != http.StatusOK {
		t.Fatalf("frame %v", frame)
	}
	now := p.now()
	frame, failed := p.run(context.Background(), request, p.upstream.Load(), now-2*time.Second, now-time.Second)
	if f := frame.GetFailure(); !f.GetNotRun() || code.Code(f.GetCode()) != code.CallDeadlineNotRun || failed || count.Load() != 1 {
		t.Errorf("frame %v, %d runs; want call-deadline-not-run after 1 run", frame, count.Load())
	}
}

// TestRequestThatWaitsAtTheCutOffDoesNotBegin covers requests that wait for a slot when those in
// flight are cut off: the slots that become free then are not for them.
func TestRequestThatWaitsAtTheCutOffDoesNotBegin(t *testing.T) {
	const slots, waiting = 2, 30
	runs := make(chan string, slots+waiting)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs <- r.Header.Get("Request-Id")
		<-r.Context().Done()
	}))
	defer server.Close()
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	p.SetUpstream(control.Upstream{ID: "u", StartTime: 1, Service: "s", Slots: slots, State: control.UpstreamReady, Address: strings.TrimPrefix(server.URL, "http://")})
	frames := make(chan *hopv1.Frame, slots+waiting)
	for i := range slots + waiting {
		go func() {
			frames <- p.ExecuteFor(context.Background(), &hopv1.Request{Id: fmt.Sprint(i), Method: "POST", Target: []byte("/"), Service: "s", RemainingMs: 60000, GoalMs: 60000})
		}()
	}
	for range slots {
		<-runs
	}
	for p.admissionController.Load().Waiting < waiting {
		time.Sleep(time.Millisecond)
	}
	p.CutOff()
	refused := 0
	for range slots + waiting {
		if failed := (<-frames).GetFailure(); failed.GetNotRun() && code.Code(failed.GetCode()) == code.CallDraining {
			refused++
		}
	}
	if refused != waiting || len(runs) > 0 {
		t.Errorf("%d requests refused, %d more began; want %d and none", refused, len(runs), waiting)
	}
}
