package proxy

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap/zapcore"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/code"
	"godwitmount/internal/control"
	"godwitmount/internal/manifest"
	"godwitmount/internal/shaping"
)

// newTestProxy returns a data path with one route and without peers.
func newTestProxy(t *testing.T, service manifest.Service, rule manifest.RetryRule) *Proxy {
	t.Helper()
	log := asynclog.New(io.Discard, "i", zapcore.InfoLevel, 100)
	peers := NewPeers(control.Member{Instance: "i"}, Listener{}, nil, log)
	headers := Headers{RequestID: "Request-Id", Deadline: "Deadline", Signature: "Signature", Upstream: "Upstream-Id", NotRun: "Not-Run", CallerService: "Caller", CustomerKey: "Customer-Key", Customer: "Customer"}
	p, err := New(Config{Instance: "i", Headers: headers, ParentID: func(string) string { return "" }, RetryPercent: 100, RetryExtra: 100, RetryWindow: 10 * time.Second, BodyMemory: 64 << 20},
		Deps{Peers: peers, Log: log, BroadcastState: func() {}, Registerer: prometheus.NewRegistry()})
	if err != nil {
		t.Fatal(err)
	}
	table, err := manifest.Compile(&manifest.Manifest{
		Services:   []manifest.Service{service},
		RetryRules: []manifest.RetryRule{rule},
		Routes:     []manifest.Route{{Name: "r", Service: service.Name, Retry: rule.Name}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p.SetTable(&Table{Table: table, Version: 1})
	return p
}

// TestServiceLimitsBoundSlots covers a service whose configuration sets a
// connection limit and a slow start.
func TestServiceLimitsBoundSlots(t *testing.T) {
	p := newTestProxy(t, manifest.Service{
		Name: "s", MaxConnections: 3, SlowStart: manifest.Duration(time.Hour),
	}, manifest.RetryRule{Name: "rule", Attempts: 2})
	p.SetUpstream(control.Upstream{ID: "u", StartTime: 1, Service: "s", Slots: 9, State: control.UpstreamReady})
	if slots := p.admissionController.Load().Slots; slots != 3 {
		t.Errorf("%d slots, want the connection limit of 3", slots)
	}
	if advertised := p.State().Slots; advertised != 1 {
		t.Errorf("%d slots advertised at the start of the slow start, want 1", advertised)
	}
}

// TestRuleBudgetBoundsRetries covers a rule that allows 20 retries per 100
// requests.
func TestRuleBudgetBoundsRetries(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2, BudgetPercent: 20})
	c := &call{service: "s", route: &p.ActiveTable().Routes()[0]}
	retries := 0
	for range 100 {
		p.recordRequest(c)
		if p.takeRetry(c, p.now()) {
			retries++
		}
	}
	if retries != 20 {
		t.Errorf("%d retries for 100 requests, want 20", retries)
	}
}

// TestAttemptTimeoutEndsRun covers an upstream that never answers, and a rule with
// a time limit per attempt.
func TestAttemptTimeoutEndsRun(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{
		Name: "rule", Attempts: 2, PerTryTimeout: manifest.Duration(50 * time.Millisecond),
	})
	p.SetUpstream(control.Upstream{ID: "u", StartTime: 1, Service: "s", Slots: 9, State: control.UpstreamReady,
		Address: unresponsive.Addr().String()})
	started := time.Now()
	frame := p.Execute(context.Background(), &hopv1.Request{
		Id: "id", Method: "GET", Target: []byte("/"), Service: "s", Idempotent: true, RemainingMs: 20_000, GoalMs: 20_000,
		AttemptMs: attemptMilliseconds(p.ActiveTable().Routes()[0].Rule),
	})
	if got := code.Code(frame.GetFailure().GetCode()); got != code.CallDeadlineUnknown {
		t.Errorf("frame %v, want call-deadline-unknown", frame)
	}
	if took := time.Since(started); took > 10*time.Second {
		t.Errorf("the attempt took %s", took)
	}
}

// TestBusyLinkRefusesLargeRequests covers a machine whose network link has a second
// of large answers to send: a large request whose goal is earlier is refused at once
// with the rest as the time to retry; small ones and those with more time are not.
func TestBusyLinkRefusesLargeRequests(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	p.routes.recordSize("download", 90_000)
	p.routes.recordSize("lookup", 1_500)
	busyFor := func(route string, goalMs, remainingMs uint32) time.Duration {
		return p.linkBusyFor(&hopv1.Request{Route: route, GoalMs: goalMs, RemainingMs: remainingMs}).Round(10 * time.Millisecond)
	}
	if got := busyFor("download", 600, 4000); got != 0 {
		t.Errorf("a large request is refused on an idle link: %s", got)
	}
	link := shaping.NewLink(8_000_000)
	p.deps.Peers.link = link
	link.AddBacklog(900_000)
	for _, c := range []struct {
		route           string
		goal, remaining uint32
		want            time.Duration
	}{
		{"download", 600, 4000, 400 * time.Millisecond},
		{"download", 1200, 4000, 0},
		{"download", 0, 4000, 0},
		{"download", 0, 300, 700 * time.Millisecond},
		{"lookup", 600, 600, 0},
	} {
		if got := busyFor(c.route, c.goal, c.remaining); got != c.want {
			t.Errorf("%s with %d ms to its goal and %d left: refused for %s, want %s", c.route, c.goal, c.remaining, got, c.want)
		}
	}
	p.SetUpstream(control.Upstream{ID: "u", StartTime: 1, Service: "s", Slots: 9, State: control.UpstreamReady})
	frame := p.Execute(context.Background(), &hopv1.Request{Route: "download", Service: "s", RemainingMs: 300})
	if failed := frame.GetFailure(); !failed.GetNotRun() || failed.GetRetryMs() < 650 {
		t.Errorf("frame %v, want a failure that is not run and a time to retry", frame)
	}
}
