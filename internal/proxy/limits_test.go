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
	"godwitmount/internal/code"
	"godwitmount/internal/control"
	"godwitmount/internal/logbook"
	"godwitmount/internal/manifest"
)

// newTestProxy returns a data path without peers and with one route.
func newTestProxy(t *testing.T, service manifest.Service, rule manifest.RetryRule) *Proxy {
	t.Helper()
	log := logbook.New(io.Discard, "i", zapcore.InfoLevel, 100)
	peers := NewPeers(control.Member{Instance: "i"}, Listener{}, log)
	p, err := New(Config{Instance: "i", RetryPercent: 100, RetryExtra: 100, RetryWindow: 10 * time.Second},
		Deps{Peers: peers, Log: log, Tell: func() {}, Registerer: prometheus.NewRegistry()})
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

// TestServiceLimitsBind covers the limits of a service in the configuration.
func TestServiceLimitsBind(t *testing.T) {
	p := newTestProxy(t, manifest.Service{
		Name: "s", MaxConnections: 3, SlowStart: manifest.Duration(time.Hour),
	}, manifest.RetryRule{Name: "rule", Attempts: 2})
	p.SetUpstream(control.Upstream{ID: "u", Born: 1, Service: "s", Slots: 9, State: control.UpstreamReady})
	if slots := p.gate.Load().Slots; slots != 3 {
		t.Errorf("%d slots with 3 connections", slots)
	}
	if told := p.State().Slots; told != 1 {
		t.Errorf("others are told of %d slots at the start", told)
	}
}

// TestRuleBudgetBinds covers a rule that allows 20 retries for 100 requests.
func TestRuleBudgetBinds(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2, BudgetPercent: 20})
	c := &call{service: "s", route: &p.TableInForce().Routes()[0]}
	retries := 0
	for range 100 {
		p.earn(c)
		if p.spend(c) {
			retries++
		}
	}
	if retries != 20 {
		t.Errorf("%d retries for 100 requests", retries)
	}
}

// TestAttemptTimeBinds covers an upstream that answers nothing, under a rule with
// a time for each attempt.
func TestAttemptTimeBinds(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{
		Name: "rule", Attempts: 2, PerTryTimeout: manifest.Duration(50 * time.Millisecond),
	})
	p.SetUpstream(control.Upstream{ID: "u", Born: 1, Service: "s", Slots: 9, State: control.UpstreamReady,
		Address: silent.Addr().String()})
	began := time.Now()
	frame := p.Execute(context.Background(), &hopv1.Request{
		Id: "id", Method: "GET", Target: "/", Service: "s", Idempotent: true, RemainingMs: 20_000, GoalMs: 20_000,
		AttemptMs: attemptTime(p.TableInForce().Routes()[0].Rule),
	})
	if got := code.Code(frame.GetFailure().GetCode()); got != code.CallDeadlineUnknown {
		t.Errorf("%v", frame)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("took %s", took)
	}
}

// TestFullLineTakesNoLargeRequests replays a machine whose line large answers
// fill: small requests go on, large ones are refused until the line is free.
func TestFullLineTakesNoLargeRequests(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	p.noteSize("download", 90_000)
	p.noteSize("lookup", 1_500)
	if p.lineFull("download") {
		t.Error("a large request is refused on a free line")
	}
	for range 20 {
		time.Sleep(10 * time.Millisecond)
		p.noteLine(4 * fullLine)
	}
	if !p.lineFull("download") || p.lineFull("lookup") {
		t.Errorf("the way takes %s: large refused %t, small refused %t", p.lineDelay(), p.lineFull("download"), p.lineFull("lookup"))
	}
	if frame := p.Execute(context.Background(), &hopv1.Request{Route: "download", RemainingMs: 1000}); !frame.GetFailure().GetNotRun() {
		t.Errorf("%v", frame)
	}
}
