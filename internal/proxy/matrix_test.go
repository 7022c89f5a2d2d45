package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"godwitmount/internal/code"
	"godwitmount/internal/membership"
)

// runCounter counts the runs of each tag over all upstreams of a mesh.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[tag]++
}

func (c *runCounter) of(tag string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[tag]
}

// fault is something that goes wrong at one node.
type fault struct {
	name string
	// upstream replaces the good handler; it counts runs itself.
	upstream func(c *runCounter) http.HandlerFunc
	// peer wraps the peer handler.
	peer func(h http.Handler) http.Handler
	// adjust changes a node after it was added.
	adjust    func(t *testing.T, n *node)
	fenceLost bool
}

const answerTail = " has its answer"

// good runs a request and answers with its tag.
func good(c *runCounter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tag := r.Header.Get("X-Request-Tag")
		c.add(tag)
		_, _ = fmt.Fprint(w, tag+answerTail)
	}
}

// counted counts the runs of a handler.
func counted(handle http.HandlerFunc) func(*runCounter) http.HandlerFunc {
	return func(c *runCounter) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			c.add(r.Header.Get("X-Request-Tag"))
			handle(w, r)
		}
	}
}

// cut closes the connection under a handler.
func cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func faults() []fault {
	return []fault{
		{name: "peer-refuses-connection", adjust: func(_ *testing.T, n *node) { n.record.Address = nobody }},
		{name: "upstream-refuses-connection", adjust: func(_ *testing.T, n *node) {
			n.proxy.SetUpstream(Upstream{Service: "desk", Address: nobody, Slots: 4, State: membership.UpstreamReady})
		}},
		{name: "upstream-refuses-request", upstream: func(*runCounter) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderUpstreamRefused, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}},
		{name: "upstream-lies-not-run", upstream: counted(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderOutcome, string(code.NotRun))
			w.Header().Set(HeaderCode, "504")
			w.WriteHeader(http.StatusServiceUnavailable)
		})},
		{name: "upstream-answers-503", upstream: counted(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		})},
		{name: "upstream-lost-before-answer", upstream: counted(func(w http.ResponseWriter, r *http.Request) {
			cut(w)
		})},
		{name: "upstream-lost-amid-answer", upstream: counted(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "1000")
			_, _ = w.Write(make([]byte, 500))
			_ = http.NewResponseController(w).Flush()
			cut(w)
		})},
		{name: "upstream-answer-unframed", upstream: counted(func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"))
				_ = conn.Close()
			}
		})},
		{name: "upstream-hangs", upstream: counted(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		})},
		{name: "peer-lost-before-start", peer: func(http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { cut(w) })
		}},
		{name: "peer-lost-before-start-fence-lost", fenceLost: true, peer: func(http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { cut(w) })
		}},
		{name: "peer-lost-after-run", peer: func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				h.ServeHTTP(httptest.NewRecorder(), r)
				cut(w)
			})
		}},
		{name: "peer-late", peer: func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// The request is seen only after the caller's daemon gave it up,
				// and then in full health.
				detached := r.Clone(t0())
				<-r.Context().Done()
				time.Sleep(100 * time.Millisecond)
				h.ServeHTTP(httptest.NewRecorder(), detached)
			})
		}},
		{name: "daemon-draining", adjust: func(_ *testing.T, n *node) { n.proxy.BeginDrain() }},
		{name: "upstream-draining", adjust: func(_ *testing.T, n *node) {
			n.proxy.SetUpstream(Upstream{Service: "desk", Address: nobody, Slots: 4, State: membership.UpstreamDraining})
		}},
		{name: "upstream-of-other-service", adjust: func(_ *testing.T, n *node) {
			n.proxy.SetUpstream(Upstream{Service: "other", Address: nobody, Slots: 4, State: membership.UpstreamReady})
		}},
		{name: "address-taken-over", adjust: func(_ *testing.T, n *node) { n.proxy.cfg.Instance = "someone-else" }},
	}
}

// matrixCall is one kind of request.
type matrixCall struct {
	method, path string
	idempotent   bool
}

var matrixCalls = []matrixCall{
	{"POST", "/plain", false},
	{"POST", "/orders", false},
	{"GET", "/stock", true},
	{"PUT", "/stock", true},
}

// place is where the fault is: at the first upstream only, at both, or at the
// first while the second accepts no connection.
type place string

var places = []place{"first", "both", "alone"}

// TestFaultMatrix runs each fault against each kind of request and in each
// place, and checks that what the caller is
// told is true; the transcript holds what it is told.
func TestFaultMatrix(t *testing.T) {
	byName := map[string]fault{}
	for _, f := range faults() {
		byName[f.name] = f
	}
	seen := map[string]bool{}
	datadriven.RunTest(t, "testdata/matrix", func(t *testing.T, d *datadriven.TestData) string {
		f, ok := byName[d.Cmd]
		if !ok {
			t.Fatalf("no fault %q", d.Cmd)
		}
		seen[d.Cmd] = true
		var cases sync.WaitGroup
		lines := make([]string, len(places)*len(matrixCalls))
		for i := range lines {
			cases.Go(func() { lines[i] = runMatrixCase(t, f, matrixCalls[i/len(places)], places[i%len(places)]) })
		}
		cases.Wait()
		return strings.Join(lines, "\n") + "\n"
	})
	for name := range byName {
		if !seen[name] {
			t.Errorf("fault %q is not in the transcript", name)
		}
	}
}

func runMatrixCase(t *testing.T, f fault, call matrixCall, where place) string {
	t.Helper()
	m := newMesh(t)
	m.config = func(c *Config) { c.Redirects, c.FenceBound = 1, 200*time.Millisecond }
	counter := &runCounter{runs: map[string]int{}}
	m.fenceLost.Store(f.fenceLost)
	entry := m.add("entry", "a", "", 0)
	faulty := f.upstream
	if faulty == nil {
		faulty = good
	}
	m.peerHook = func(_ string, h http.Handler) http.Handler {
		if f.peer != nil {
			return f.peer(h)
		}
		return h
	}
	addNode := func(name, dataCentre string, h func(*runCounter) http.HandlerFunc, bad bool) {
		n := m.add(name, dataCentre, newUpstream(t, h(counter)).address(), 4)
		if bad && f.adjust != nil {
			f.adjust(t, n)
		}
	}
	addNode("near", "a", faulty, true)
	if where != "both" {
		m.peerHook = nil
		faulty = good
	}
	addNode("far", "b", faulty, where == "both")
	if where == "alone" {
		m.nodes[2].record.Address = nobody
	}
	m.publish()

	tag := call.method + call.path
	got := do(t, entry, call.method, call.path, "", "X-Request-Tag", tag, HeaderDeadline, "1500")
	for _, n := range m.nodes {
		n.peer.Close() // waits for requests that come late
	}
	runs := counter.of(tag)
	checkTruth(t, call, got, tag, runs)
	return fmt.Sprintf("%-4s %-7s %-5s -> %s runs=%d", call.method, call.path, where, got.summary(tag), runs)
}

// checkTruth is the promise to callers.
func checkTruth(t *testing.T, call matrixCall, got told, tag string, runs int) {
	t.Helper()
	if got.outcome == code.NotRun && runs != 0 {
		t.Errorf("%s %s: told not-run but ran %d times", call.method, call.path, runs)
	}
	if !call.idempotent && runs > 1 {
		t.Errorf("%s %s: not idempotent but ran %d times", call.method, call.path, runs)
	}
	if got.outcome == "" && !got.broken {
		if runs == 0 {
			t.Errorf("%s %s: answered by an upstream but never ran", call.method, call.path)
		}
		if got.status == 200 && got.body != tag+answerTail {
			t.Errorf("%s %s: got the answer %q", call.method, call.path, got.body)
		}
	}
}

func (g told) summary(tag string) string {
	switch {
	case g.broken:
		return "broken"
	case g.outcome != "":
		return fmt.Sprintf("%d %s %s", g.status, g.outcome, codeName(g.code))
	case g.body == tag+answerTail:
		return fmt.Sprintf("%d whole", g.status)
	default:
		return fmt.Sprintf("%d %d bytes", g.status, len(g.body))
	}
}

func codeName(number string) string {
	for _, info := range code.All() {
		if fmt.Sprint(int(info.Code)) == number {
			return info.Name
		}
	}
	return number
}
