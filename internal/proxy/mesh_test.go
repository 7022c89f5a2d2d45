package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"godwitmount/internal/claim"
	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/routing"
	"godwitmount/internal/step"
)

// testManifest has a route for each way a call may be retried.
const testManifest = `{
  "mesh": "test",
  "data_centres": ["a", "b"],
  "services": [{"name": "desk", "max_body_bytes": 4194304}],
  "retry_rules": [
    {"name": "safe", "attempts": 3, "on": ["not-run"], "budget_percent": 100},
    {"name": "bold", "attempts": 3, "per_try_timeout": "400ms",
     "on": ["not-run", "unknown", "per-try-timeout", "upstream-5xx"], "budget_percent": 100}
  ],
  "routes": [
    {"name": "orders", "match": {"path_prefix": "/orders"}, "service": "desk", "deadline": "2s", "retry": "safe"},
    {"name": "stock", "match": {"path_prefix": "/stock", "methods": ["GET", "PUT"]}, "service": "desk", "deadline": "2s", "retry": "bold"},
    {"name": "plain", "match": {"path_prefix": "/plain"}, "service": "desk", "deadline": "2s"}
  ]
}`

// fences is the memory of started and fenced attempts.
type fences struct {
	mu    sync.Mutex
	state map[string]string
}

func (f *fences) mark(attempt, want string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state == nil {
		f.state = map[string]string{}
	}
	if was, known := f.state[attempt]; known {
		return was == want && want == "fenced"
	}
	f.state[attempt] = want
	return true
}

func (f *fences) Start(attempt string) bool { return f.mark(attempt, "started") }
func (f *fences) Fence(attempt string) bool { return f.mark(attempt, "fenced") }

// node is one daemon's data path with its upstream.
type node struct {
	name   string
	proxy  *Proxy
	peer   *httptest.Server
	caller *httptest.Server
	fences *fences
	record membership.Record
	events eventLog
}

type eventLog struct {
	mu     sync.Mutex
	events []step.Event
}

func (l *eventLog) add(e step.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

func (l *eventLog) names() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for _, e := range l.events {
		names = append(names, e.EventName())
	}
	return strings.Join(names, ",")
}

// mesh is some nodes that know each other.
type mesh struct {
	t        testing.TB
	table    *manifest.Table
	snapshot atomic.Pointer[routing.Snapshot]
	nodes    []*node
	claims   claim.Claims
	// fenceLost makes fences go unanswered.
	fenceLost atomic.Bool
	// peerHook wraps the peer handler of a node.
	peerHook func(name string, h http.Handler) http.Handler
	config   func(*Config)
	quar     Quarantine
	log      *zap.Logger
	registry prometheus.Registerer
}

func newMesh(t testing.TB) *mesh {
	m, problems := manifest.Parse("test", []byte(testManifest))
	if len(problems) > 0 {
		t.Fatalf("manifest: %v", problems)
	}
	table, err := manifest.Compile(m)
	if err != nil {
		t.Fatal(err)
	}
	return &mesh{t: t, table: table, log: zap.NewNop()}
}

// add starts a node whose upstream listens at the address; an empty address
// makes a node without upstream.
func (m *mesh) add(name, dataCentre, upstream string, slots int) *node {
	m.t.Helper()
	n := &node{name: name, fences: &fences{}}
	cfg := Config{Instance: name, Incarnation: 1, DataCentre: dataCentre}
	if m.config != nil {
		m.config(&cfg)
	}
	p, err := New(cfg, Deps{
		Snapshot:   m.snapshot.Load,
		Claims:     m.claims,
		Fences:     n.fences,
		Quarantine: m.quar,
		FencePeer:  m.fencePeer,
		Report:     n.events.add,
		Log:        m.log,
		Registerer: m.registry,
	})
	if err != nil {
		m.t.Fatal(err)
	}
	n.proxy = p
	handler := p.PeerHandler()
	if m.peerHook != nil {
		handler = m.peerHook(name, handler)
	}
	n.peer = quietServer(handler)
	n.caller = quietServer(p.CallerHandler())
	m.t.Cleanup(func() {
		n.caller.Close()
		n.peer.CloseClientConnections()
		n.peer.Close()
		p.Close()
	})
	n.record = membership.Record{
		Instance: name, Incarnation: 1, DataCentre: dataCentre,
		Address: n.peer.Listener.Addr().String(), Liveness: membership.Alive,
	}
	if upstream != "" {
		n.record.Service, n.record.Slots, n.record.UpstreamState = "desk", slots, membership.UpstreamReady
		p.SetUpstream(Upstream{Service: "desk", Address: upstream, Slots: slots, State: membership.UpstreamReady})
	}
	m.nodes = append(m.nodes, n)
	m.publish()
	return n
}

// addPair starts a node without upstream and one for the upstream, in one data
// centre.
func (m *mesh) addPair(upstream string, slots int) (entry, executing *node) {
	m.t.Helper()
	return m.add("a1", "a", "", 0), m.add("a2", "a", upstream, slots)
}

func (m *mesh) publish() {
	var records []membership.Record
	for _, n := range m.nodes {
		records = append(records, n.record)
	}
	m.snapshot.Store(routing.Build(manifest.ID{Version: 1}, m.table, m.nodes[0].record, records, 0))
}

func (m *mesh) fencePeer(ctx context.Context, address, attempt string) (bool, error) {
	if m.fenceLost.Load() {
		<-ctx.Done()
		return false, ctx.Err()
	}
	for _, n := range m.nodes {
		if n.record.Address == address {
			return n.proxy.FenceAttempt(attempt), nil
		}
	}
	return false, context.DeadlineExceeded
}

// quietServer does not log the aborts that tests cause.
func quietServer(h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
	s.Start()
	return s
}

// upstream counts its runs.
type upstream struct {
	*httptest.Server
	runs atomic.Int64
}

// newUpstream runs a handler and counts how often it began.
func newUpstream(t testing.TB, handle http.HandlerFunc) *upstream {
	u := &upstream{}
	u.Server = quietServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.runs.Add(1)
		handle(w, r)
	}))
	t.Cleanup(func() {
		u.CloseClientConnections()
		u.Close()
	})
	return u
}

func (u *upstream) wantRuns(t testing.TB, want int64) {
	t.Helper()
	if runs := u.runs.Load(); runs != want {
		t.Errorf("%d runs, want %d", runs, want)
	}
}

func (u *upstream) address() string { return u.Listener.Addr().String() }

// nobody is an address where nobody listens: a port below those that listeners
// are given.
const nobody = "127.0.0.1:1"

// told is what a caller learnt.
type told struct {
	status  int
	outcome code.Outcome
	code    string
	body    string
	header  http.Header
	// broken tells that the answer did not arrive whole.
	broken bool
}

func say(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

// eventually waits for a condition, for as long as the test may take.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 5000 {
		if ok() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("did not happen: %s", what)
}

// t0 is the context of a request whose sender no longer matters.
func t0() context.Context { return context.Background() }
