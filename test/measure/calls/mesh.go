package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/proxy"
	"godwitmount/internal/routing"
)

// meshManifest has one service and one route with a retry rule.
const meshManifest = `{
  "mesh": "measure",
  "data_centres": ["a", "b", "c"],
  "services": [{"name": "desk"}],
  "retry_rules": [{"name": "safe", "attempts": 3, "on": ["not-run"], "budget_percent": 20}],
  "routes": [{"name": "all", "match": {"path_prefix": "/"}, "service": "desk", "deadline": "10s", "retry": "safe"}]
}`

// fences is the memory of fences; nothing is fenced in these runs.
type fences struct{}

func (fences) Start(string) bool { return true }
func (fences) Fence(string) bool { return false }

// daemon is one data path with its listeners.
type daemon struct {
	proxy   *proxy.Proxy
	callers *server
	peers   *server
}

// server is an HTTP server on a free port.
type server struct {
	*http.Server
	address string
}

func serve(handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &server{Server: &http.Server{Handler: handler}, address: listener.Addr().String()}
	go func() { _ = s.Serve(listener) }()
	return s, nil
}

// mesh is some daemons that know each other.
type mesh struct {
	daemons  []*daemon
	records  []membership.Record
	snapshot atomic.Pointer[routing.Snapshot]
	table    *manifest.Table
}

func newMesh() (*mesh, error) {
	parsed, problems := manifest.Parse("measure", []byte(meshManifest))
	if len(problems) > 0 {
		return nil, fmt.Errorf("manifest: %v", problems)
	}
	table, err := manifest.Compile(parsed)
	if err != nil {
		return nil, err
	}
	return &mesh{table: table}, nil
}

// add starts a daemon; an empty upstream address makes one that only takes
// calls.
func (m *mesh) add(upstream string, slots int) (*daemon, error) {
	number := len(m.daemons)
	name := fmt.Sprintf("i%02d", number)
	dataCentre := m.table.Manifest().DataCentres[number%3]
	p, err := proxy.New(proxy.Config{Instance: name, Incarnation: 1, DataCentre: dataCentre}, proxy.Deps{
		Snapshot: m.snapshot.Load,
		Fences:   fences{},
		Log:      quietLog(),
	})
	if err != nil {
		return nil, err
	}
	d := &daemon{proxy: p}
	if d.callers, err = serve(p.CallerHandler()); err != nil {
		return nil, err
	}
	if d.peers, err = serve(p.PeerHandler()); err != nil {
		return nil, err
	}
	record := membership.Record{Instance: name, Incarnation: 1, DataCentre: dataCentre, Address: d.peers.address, Liveness: membership.Alive}
	if upstream != "" {
		record.Service, record.Slots, record.UpstreamState = "desk", slots, membership.UpstreamReady
		p.SetUpstream(proxy.Upstream{Service: "desk", Address: upstream, Slots: slots, State: membership.UpstreamReady})
	}
	m.daemons = append(m.daemons, d)
	m.records = append(m.records, record)
	m.snapshot.Store(routing.Build(manifest.ID{Version: 1}, m.table, record, m.records, 0))
	return d, nil
}

func (m *mesh) close() {
	for _, d := range m.daemons {
		_ = d.callers.Close()
		_ = d.peers.Close()
		d.proxy.Close()
	}
}

// quietLog encodes every decision line, as a daemon does, and writes it to
// nowhere.
func quietLog() *zap.Logger {
	return zap.New(discardCore())
}

// upstream is a handler with slots, a service time and a queue of its own.
type upstream struct {
	server  *server
	slots   chan struct{}
	service func(n int64) time.Duration
	body    []byte
	runs    atomic.Int64
	// wasted counts runs that ended after their caller had gone.
	wasted atomic.Int64
}

func newUpstream(slots int, service func(n int64) time.Duration) (*upstream, error) {
	u := &upstream{slots: make(chan struct{}, slots), service: service, body: make([]byte, answerBytes)}
	var err error
	u.server, err = serve(u)
	return u, err
}

// answerBytes is the size of each answer.
const answerBytes = 1024

// ServeHTTP implements http.Handler: a request waits for a slot, works, and
// answers. It notices a caller that went away while it waits, as the
// platform's upstreams do, and finishes what it has begun.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	number := u.runs.Add(1)
	if length := u.service(number); length > 0 {
		time.Sleep(length)
	}
	if r.Context().Err() != nil {
		u.wasted.Add(1)
		return
	}
	_, _ = w.Write(u.body)
}

var clientTransport = sync.OnceValue(func() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 2000, DisableCompression: true} // one connection for each call in flight at most
})

// get makes one call and returns the status of the answer and the system's
// code, if it has one.
func get(ctx context.Context, address string, deadline time.Duration) (status int, code string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/x", http.NoBody)
	if err != nil {
		return 0, "", err
	}
	if deadline > 0 {
		req.Header.Set(proxy.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	}
	resp, err := clientTransport().RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(proxy.HeaderCode), drain(resp)
}
