package e2e

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/daemon"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/platformstandin"
	"godwitmount/internal/publish"
	"godwitmount/internal/settings"
	"godwitmount/internal/upstreamstandin"
	"godwitmount/test/harness"
)

// cutNet joins daemons that run inside the test by real sockets and can cut
// the links between their data centres.
type cutNet struct {
	t     *testing.T
	store *platformstandin.Store

	mu sync.Mutex
	// sideOf maps peer addresses to data centres.
	sideOf map[string]string
	// cut holds the data centres that reach no other one.
	cut     map[string]bool
	daemons []*cutDaemon
}

// cutDaemon is one daemon with its upstream, inside the test.
type cutDaemon struct {
	*daemon.Daemon
	net        *cutNet
	dataCentre string
	platform   *platformDoor
	upstream   *upstreamstandin.Standin
}

var errCut = errors.New("link is cut")

// platformDoor forwards a daemon's requests to the platform until it is shut.
type platformDoor struct {
	server *httptest.Server
	mu     sync.Mutex
	shut   bool
}

func newCutNet(t *testing.T) *cutNet {
	store := platformstandin.NewStore(platformstandin.Config{})
	n := &cutNet{t: t, store: store, sideOf: map[string]string{}, cut: map[string]bool{}}
	t.Cleanup(n.close)
	return n
}

func (n *cutNet) close() {
	for _, d := range n.daemons {
		d.Kill()
		d.platform.server.Close()
	}
}

// door returns a platform of the daemon's own that can be shut.
func (n *cutNet) door() *platformDoor {
	door := &platformDoor{}
	handler := platformstandin.NewHandler(n.store)
	door.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		door.mu.Lock()
		shut := door.shut
		door.mu.Unlock()
		if shut {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	return door
}

func (p *platformDoor) set(shut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = shut
}

// add starts a daemon and an upstream of orders-desk in a data centre.
func (n *cutNet) add(dataCentre string) *cutDaemon {
	n.t.Helper()
	d := n.addDaemon(dataCentre)
	n.startUpstream(d)
	return d
}

// addDaemon starts a daemon without an upstream.
func (n *cutNet) addDaemon(dataCentre string) *cutDaemon {
	n.t.Helper()
	d := &cutDaemon{net: n, dataCentre: dataCentre, platform: n.door()}
	s := &settings.Daemon{}
	s.SetDefaults()
	s.Mesh, s.DataCentre = meshName, dataCentre
	s.CallerListen, s.PeerListen, s.LocalListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.PlatformURL = d.platform.server.URL
	for _, other := range n.daemons {
		s.Peers = append(s.Peers, other.Addresses().Peer)
	}
	started, err := daemon.Start(daemon.Config{
		Settings: s,
		Log:      zap.NewNop(),
		Dial:     d.dial,
		Gossip: func(t membership.Transport) membership.Transport {
			return &cutTransport{Transport: t, daemon: d}
		},
	})
	must(n.t, err)
	d.Daemon = started
	n.mu.Lock()
	n.sideOf[started.Addresses().Peer] = dataCentre
	n.mu.Unlock()
	n.daemons = append(n.daemons, d)
	return d
}

func (n *cutNet) startUpstream(d *cutDaemon) {
	n.t.Helper()
	upstream, err := upstreamstandin.New(upstreamstandin.Config{
		Instance: d.Addresses().Instance, Service: "orders-desk", Slots: 10,
		Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Daemon: d.Addresses().Local, Log: zap.NewNop(),
	})
	must(n.t, err)
	d.upstream = upstream
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = upstream.Run(ctx)
	}()
	n.t.Cleanup(func() { cancel(); <-done })
}

// reaches reports whether packets from a data centre arrive at an address.
func (n *cutNet) reaches(from, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, known := n.sideOf[address]
	if !known || to == from {
		return true
	}
	return !n.cut[from] && !n.cut[to]
}

// setCut cuts or heals all links of a data centre to the others.
func (n *cutNet) setCut(dataCentre string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[dataCentre] = cut
}

// dial opens a connection that breaks when its link is cut.
func (d *cutDaemon) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.net.reaches(d.dataCentre, address) {
		return nil, errCut
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, daemon: d, address: address}, nil
}

// cutConn is a connection over a link that may be cut.
type cutConn struct {
	net.Conn
	daemon  *cutDaemon
	address string
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.daemon.net.reaches(c.daemon.dataCentre, c.address) {
		_ = c.Conn.Close()
		return 0, errCut
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if !c.daemon.net.reaches(c.daemon.dataCentre, c.address) {
		_ = c.Conn.Close()
		return 0, errCut
	}
	return c.Conn.Write(p)
}

// cutTransport loses datagrams over cut links.
type cutTransport struct {
	membership.Transport
	daemon *cutDaemon
}

func (c *cutTransport) Send(packet membership.SendPacket) error {
	if !c.daemon.net.reaches(c.daemon.dataCentre, packet.Address) {
		return nil
	}
	return c.Transport.Send(packet)
}

// accept publishes a manifest.
func (n *cutNet) accept(extra int) manifest.ID {
	n.t.Helper()
	parsed, problems := manifest.Parse("test", []byte(manifestSource(extra)))
	if problems != nil {
		n.t.Fatal(problems)
	}
	publisher := publish.New(n.store, publish.DefaultConfig())
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	digest, err := publisher.Propose(ctx, parsed.Canonical())
	must(n.t, err)
	head, err := publish.ReadHead(ctx, n.store)
	must(n.t, err)
	id, err := publisher.Accept(ctx, publish.Acceptance{
		ID: fmt.Sprintf("accept-%d", extra), Digest: digest, Base: head.ID,
	})
	must(n.t, err)
	return id
}

func (d *cutDaemon) local(path string) string { return getText(d.Addresses().Local + path) }

func (n *cutNet) awaitConfig(id manifest.ID, daemons ...*cutDaemon) {
	n.t.Helper()
	for _, d := range daemons {
		await(n.t, fmt.Sprintf("%s at %s", id, d.dataCentre), func() bool {
			return strings.Contains(d.local("/healthz"), id.String())
		})
	}
}

func (n *cutNet) awaitUpstreams(count int, daemons ...*cutDaemon) {
	n.t.Helper()
	for _, d := range daemons {
		await(n.t, fmt.Sprintf("%d upstreams at %s", count, d.dataCentre), func() bool {
			return strings.Contains(d.local("/metrics"), fmt.Sprintf("godwitmount_upstreams %d\n", count))
		})
	}
}

// call sends one GET and returns its status.
func (d *cutDaemon) call(t *testing.T) int {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := client.Get("http://" + d.Addresses().Caller + "/stock")
	if err != nil {
		t.Log(err)
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// startCutMesh starts two daemons in each of three data centres.
func startCutMesh(t *testing.T) *cutNet {
	n := newCutNet(t)
	for range 2 {
		for _, dataCentre := range dataCentres {
			n.add(dataCentre)
		}
	}
	n.awaitConfig(n.accept(0), n.daemons...)
	n.awaitUpstreams(len(n.daemons), n.daemons...)
	return n
}

// TestDataCentreCutFromPlatformGetsVersionsThroughOthers shuts the platform's
// door for one data centre.
func TestDataCentreCutFromPlatformGetsVersionsThroughOthers(t *testing.T) {
	n := startCutMesh(t)
	for _, d := range n.daemons {
		if d.dataCentre == "lancaster-c" {
			d.platform.set(true)
		}
	}
	n.awaitConfig(n.accept(1), n.daemons...)
}

// TestCutDataCentreServesAndHeals cuts one data centre from the others and the
// platform, publishes, and heals.
func TestCutDataCentreServesAndHeals(t *testing.T) {
	n := startCutMesh(t)
	var inside, outside []*cutDaemon
	for _, d := range n.daemons {
		if d.dataCentre == "lancaster-c" {
			inside = append(inside, d)
			d.platform.set(true)
		} else {
			outside = append(outside, d)
		}
	}
	n.setCut("lancaster-c", true)
	second := n.accept(1)
	n.awaitConfig(second, outside...)
	for range 30 {
		for _, d := range n.daemons {
			if status := d.call(t); status != http.StatusOK {
				t.Errorf("call in %s during the cut: status %d", d.dataCentre, status)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, d := range inside {
		if strings.Contains(d.local("/healthz"), second.String()) {
			t.Error("the cut data centre has a version it cannot have got")
		}
		d.platform.set(false)
	}
	n.setCut("lancaster-c", false)
	n.awaitConfig(second, n.daemons...)
	n.awaitUpstreams(len(n.daemons), n.daemons...)
}

// TestMeshWithoutPlatformJoinsAndSpreads starts a daemon while the platform is
// away for everyone; it gets the version in force from its peers.
func TestMeshWithoutPlatformJoinsAndSpreads(t *testing.T) {
	n := startCutMesh(t)
	must(t, n.store.SetFaults(platformstandin.Faults{Outage: platformstandin.OutageRefuse}))
	joined := n.add("penrith-b")
	await(t, "version at the daemon that joined", func() bool {
		return strings.Contains(joined.local("/healthz"), `"config":"1/`)
	})
	n.awaitUpstreams(len(n.daemons), n.daemons...)
	if status := joined.call(t); status != http.StatusOK {
		t.Errorf("call at the daemon that joined: status %d", status)
	}
}

// TestCutLinkWithCallsInFlight cuts a data centre that has no upstreams of its
// own while its callers' requests run in the others.
func TestCutLinkWithCallsInFlight(t *testing.T) {
	n := newCutNet(t)
	entry := n.addDaemon("lancaster-c")
	n.add("kendal-a")
	n.add("penrith-b")
	n.awaitConfig(n.accept(0), n.daemons...)
	n.awaitUpstreams(2, n.daemons...)
	caller := startLoad(nil, 0, false, nil)
	at := &harness.Instance{Addresses: harness.Addresses{Caller: entry.Addresses().Caller}}
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			time.Sleep(time.Duration(5*i) * time.Millisecond)
			caller.send(at, fmt.Sprintf("call-%d", i), "", map[string]string{"X-Service-Time": "60ms"})
		})
	}
	time.Sleep(110 * time.Millisecond)
	n.setCut("lancaster-c", true)
	group.Wait()
	report(t, caller.sent)
	ran := map[string]int{}
	for _, d := range n.daemons[1:] {
		for tag, runs := range d.upstream.Stats().RunsByTag {
			ran[tag] += runs
		}
	}
	checkTold(t, caller.sent, ran)
	if count(caller.sent, answered) == 0 || count(caller.sent, answered) == len(caller.sent) {
		t.Error("the cut did not fall between the calls")
	}
}

// TestPlannedStopInACutDataCentre stops a daemon whose data centre is cut off
// while its upstream runs requests.
func TestPlannedStopInACutDataCentre(t *testing.T) {
	n := startCutMesh(t)
	n.setCut("kendal-a", true)
	stopping := n.daemons[0]
	caller := startLoad(nil, 0, false, nil)
	at := &harness.Instance{Addresses: harness.Addresses{Caller: stopping.Addresses().Caller}}
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			caller.send(at, fmt.Sprintf("call-%d", i), "", map[string]string{"X-Service-Time": "900ms"})
		})
	}
	await(t, "requests in flight", func() bool { return stopping.upstream.Stats().Runs >= 2 })
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	must(t, stopping.Stop(ctx))
	n.daemons = n.daemons[1:]
	stopping.platform.server.Close()
	group.Wait()
	report(t, caller.sent)
	if got := count(caller.sent, answered); got != len(caller.sent) {
		t.Errorf("%d of %d requests answered: %+v", got, len(caller.sent), caller.sent)
	}
}
