package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"godwitmount/internal/code"
)

// gated is an upstream whose requests wait until they are let go.
type gated struct {
	*upstream
	started chan string
	letGo   chan struct{}
	left    atomic.Int64
}

func newGated(t testing.TB) *gated {
	g := &gated{started: make(chan string, 100), letGo: make(chan struct{})}
	g.upstream = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		g.started <- r.Header.Get("X-Request-Tag")
		select {
		case <-g.letGo:
			_, _ = fmt.Fprint(w, r.Header.Get("X-Request-Tag"))
		case <-r.Context().Done():
			g.left.Add(1)
		}
	})
	return g
}

// background makes a call whose answer comes on the channel.
func background(t testing.TB, n *node, method, path, tag string) <-chan told {
	out := make(chan told, 1)
	go func() { out <- do(t, n, method, path, "", "X-Request-Tag", tag, HeaderDeadline, "60000") }()
	return out
}

func TestDrainCutsOffNothing(t *testing.T) {
	m := newMesh(t)
	up := newGated(t)
	entry, exec := m.addPair(up.address(), 2)
	var running []<-chan told
	for i := range 2 {
		running = append(running, background(t, entry, "POST", "/orders", fmt.Sprint("r", i)))
		<-up.started
	}
	waiting := background(t, entry, "POST", "/orders", "w")
	eventually(t, "a request waits for a slot", func() bool { return exec.proxy.gate.Waiting() == 1 })

	exec.proxy.BeginDrain()
	if got := <-waiting; got.code != fmt.Sprint(int(code.CallDraining)) {
		t.Errorf("waiting request: %+v, want draining", got)
	}
	if got := do(t, entry, "POST", "/orders", ""); got.outcome != code.NotRun {
		t.Errorf("new request: %+v, want not-run", got)
	}
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := exec.proxy.Wait(short); err == nil {
		t.Error("Wait returned while requests run")
	}
	close(up.letGo)
	for i, answer := range running {
		if got := <-answer; got.body != fmt.Sprint("r", i) {
			t.Errorf("running request %d: %+v", i, got)
		}
	}
	if err := exec.proxy.Wait(context.Background()); err != nil {
		t.Error(err)
	}
	if got := do(t, exec, "GET", "/stock", ""); got.code != fmt.Sprint(int(code.CallDraining)) {
		t.Errorf("caller of a stopped daemon: %+v", got)
	}
	up.wantRuns(t, 2)
}

// TestDrainingDaemonServesCallsOfItsUpstream: what runs at the upstream may
// need further calls through its own daemon.
func TestDrainingDaemonServesCallsOfItsUpstream(t *testing.T) {
	m := newMesh(t)
	other := newUpstream(t, say("inner"))
	m.add("a0", "a", other.address(), 4)
	up := newGated(t)
	exec := m.add("b1", "b", up.address(), 4)
	outer := background(t, exec, "POST", "/orders", "outer")
	<-up.started
	exec.proxy.BeginDrain()
	if got := do(t, exec, "GET", "/stock", ""); got.body != "inner" {
		t.Errorf("call of the draining upstream: %+v", got)
	}
	close(up.letGo)
	if got := <-outer; got.body != "outer" {
		t.Errorf("outer call: %+v", got)
	}
}

func TestCancellationIsCarriedThrough(t *testing.T) {
	m := newMesh(t)
	up := newGated(t)
	entry, exec := m.addPair(up.address(), 1)
	var group sync.WaitGroup
	start := func() context.CancelFunc {
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, "POST", entry.caller.URL+"/orders", nil)
		group.Go(func() { send(req) })
		return cancel
	}
	cancelFirst := start()
	<-up.started
	cancelSecond := start()
	eventually(t, "a request waits for a slot", func() bool { return exec.proxy.gate.Waiting() == 1 })
	cancelSecond()
	eventually(t, "the waiting request has left", func() bool { return exec.proxy.gate.Waiting() == 0 })
	cancelFirst()
	group.Wait()
	eventually(t, "the upstream's request is cancelled", func() bool { return up.left.Load() == 1 })
	eventually(t, "slot and queue are free", func() bool {
		_, executing := exec.proxy.InFlight()
		return executing == 0 && exec.proxy.gate.Running() == 0 && exec.proxy.gate.Waiting() == 0
	})
	up.wantRuns(t, 1)
}

func TestOverflowIsRefusedAtOnce(t *testing.T) {
	m := newMesh(t)
	up := newGated(t)
	m.config = func(c *Config) { c.QueuePerSlot = 1 }
	entry, exec := m.addPair(up.address(), 1)
	first := background(t, entry, "POST", "/orders", "1")
	<-up.started
	second := background(t, entry, "POST", "/orders", "2")
	eventually(t, "a request waits for a slot", func() bool { return exec.proxy.gate.Waiting() == 1 })
	got := do(t, entry, "POST", "/orders", "", "X-Request-Tag", "3")
	if got.outcome != code.NotRun || got.code != fmt.Sprint(int(code.CallShed)) || got.header.Get("Retry-After") == "" {
		t.Errorf("third request: %+v, want shed", got)
	}
	close(up.letGo)
	if a, b := (<-first).body, (<-second).body; a != "1" || b != "2" {
		t.Errorf("got answers %q and %q", a, b)
	}
	up.wantRuns(t, 2)
}

// TestAnswersMatchRequests runs many calls with answers out of order.
func TestAnswersMatchRequests(t *testing.T) {
	m := newMesh(t)
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		tag := r.Header.Get("X-Request-Tag")
		time.Sleep(time.Duration(len(tag)+int(tag[len(tag)-1])%7) * 100 * time.Microsecond)
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s:%s", tag, body)
	})
	entry := m.add("a1", "a", up.address(), 50)
	m.add("a2", "a", up.address(), 50)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	for worker := range 20 {
		group.Go(func() {
			for i := range 50 {
				tag := fmt.Sprintf("t%d-%d", worker, i)
				req, _ := http.NewRequest("POST", entry.caller.URL+"/orders", strings.NewReader(tag))
				req.Header.Set("X-Request-Tag", tag)
				resp, err := client.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if string(body) != tag+":"+tag {
					t.Errorf("%s got %q", tag, body)
				}
			}
		})
	}
	group.Wait()
	up.wantRuns(t, 20*50)
}

// TestKeptConnectionsAreNeverReplayed: an upstream that reads a request on a
// kept connection and closes it may have run it; the HTTP library must not
// send it again by itself, whatever the method and headers.
func TestKeptConnectionsAreNeverReplayed(t *testing.T) {
	for _, test := range []struct{ method, path, key string }{
		{"GET", "/plain", "X-None"},
		{"POST", "/plain", "X-None"},
		{"DELETE", "/plain", "X-None"},
		{"POST", "/plain", "X-Idempotency-Key"},
	} {
		m := newMesh(t)
		listener, runs := closingUpstream(t)
		n := m.add("a1", "a", listener, 4)
		if got := do(t, n, test.method, test.path, ""); got.status != 200 {
			t.Fatalf("first call: %+v", got)
		}
		got := do(t, n, test.method, test.path, "", test.key, "k")
		if got.outcome != code.Unknown {
			t.Errorf("%s: %+v, want unknown", test.method, got)
		}
		if runs.Load() != 2 {
			t.Errorf("%s: sent %d times in two calls", test.method, runs.Load())
		}
	}
}

// closingUpstream answers the first request of a connection and closes it
// after it has read the second.
func closingUpstream(t testing.TB) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	runs := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveTwo(conn, runs)
		}
	}()
	return listener.Addr().String(), runs
}

func serveTwo(conn net.Conn, runs *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		runs.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// TestDeadKeptConnectionIsReplaced: when a kept connection turns out to be
// dead before a byte was written, a non-idempotent call goes through on a
// fresh one.
func TestDeadKeptConnectionIsReplaced(t *testing.T) {
	m := newMesh(t)
	up := newUpstream(t, say("ok"))
	n := m.add("a1", "a", up.address(), 4)
	var wires []*wire
	dial := n.proxy.loopback.transport.DialContext
	n.proxy.loopback.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil {
			wires = append(wires, conn.(*wire))
		}
		return conn, err
	}
	for i := range 5 {
		if got := do(t, n, "POST", "/plain", "body"); got.status != 200 {
			t.Fatalf("call %d: %+v", i, got)
		}
		wires[len(wires)-1].seal()
	}
	if len(wires) != 5 || up.runs.Load() != 5 {
		t.Errorf("%d connections and %d runs, want 5 of each", len(wires), up.runs.Load())
	}
}

// TestUpstreamClosingIdleConnections: whatever the moment an upstream closes
// kept connections at, an answer means one run and not-run means none.
func TestUpstreamClosingIdleConnections(t *testing.T) {
	m := newMesh(t)
	up := newUpstream(t, say("ok"))
	n := m.add("a1", "a", up.address(), 4)
	answered, unknown := int64(0), int64(0)
	for range 200 {
		switch got := do(t, n, "POST", "/plain", "body"); {
		case got.status == 200:
			answered++
		case got.outcome == code.Unknown:
			unknown++
		}
		up.CloseClientConnections()
	}
	if runs := up.runs.Load(); runs < answered || runs > answered+unknown {
		t.Errorf("%d runs, %d answered, %d unknown", runs, answered, unknown)
	}
}
