package proxy

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"godwitmount/internal/claim"
	"godwitmount/internal/code"
)

// letters is an endless reader.
type letters struct{}

func (letters) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte('a' + i%26)
	}
	return len(p), nil
}

// beyondPerTry is longer than the per-try timeout of the route.
const beyondPerTry = 500 * time.Millisecond

// TestLongDownloadIsWholeInBoundedMemory streams far more than is ever held.
func TestLongDownloadIsWholeInBoundedMemory(t *testing.T) {
	const size = 48 << 20
	for _, framing := range []string{"length", "chunks"} {
		m := newMesh(t)
		up := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
			if framing == "length" {
				w.Header().Set("Content-Length", fmt.Sprint(size))
			}
			_, _ = io.CopyN(w, letters{}, size/2)
			time.Sleep(beyondPerTry)
			_, _ = io.CopyN(w, letters{}, size/2)
		})
		entry, _ := m.addPair(up.address(), 4)
		req, _ := http.NewRequest("GET", entry.caller.URL+"/stock", nil)
		req.Header.Set(HeaderDeadline, "600000")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		n, err := io.Copy(io.Discard, resp.Body)
		runtime.ReadMemStats(&after)
		_ = resp.Body.Close()
		if err != nil || n != size {
			t.Errorf("%s: %d bytes, %v", framing, n, err)
		}
		if grown := int64(after.HeapSys) - int64(before.HeapSys); grown > size/4 {
			t.Errorf("%s: heap grew by %d bytes", framing, grown)
		}
	}
}

// TestCutDownloadIsNeverPassedAsWhole cuts a long answer amid its stream.
func TestCutDownloadIsNeverPassedAsWhole(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		m := newMesh(t)
		up := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
			if framing == "length" {
				w.Header().Set("Content-Length", fmt.Sprint(4<<20))
			}
			_, _ = io.CopyN(w, letters{}, 1<<20)
			panic(http.ErrAbortHandler)
		})
		entry, own := m.addPair(up.address(), 4)
		for _, n := range []*node{entry, own} {
			if got := do(t, n, "POST", "/orders", ""); !got.broken {
				t.Errorf("%s at %s: status %d with %d bytes passed as whole", framing, n.name, got.status, len(got.body))
			}
		}
		eventually(t, "nothing in flight", func() bool {
			calls, executing := own.proxy.InFlight()
			return calls == 0 && executing == 0 && own.proxy.gate.Running() == 0
		})
		if events := own.events.names(); events != "local-upstream-lost,local-upstream-lost" {
			t.Errorf("reported %q", events)
		}
	}
}

func TestLongUploadArrivesWhole(t *testing.T) {
	m := newMesh(t)
	var sum atomic.Value
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		_, _ = io.Copy(h, r.Body)
		sum.Store(fmt.Sprintf("%x", h.Sum(nil)))
	})
	entry, _ := m.addPair(up.address(), 4)
	body := bytes.Repeat([]byte("pickle"), 300_000)
	for _, declared := range []bool{true, false} {
		var reader io.Reader = bytes.NewReader(body)
		if !declared {
			reader = io.MultiReader(reader)
		}
		req, _ := http.NewRequest("PUT", entry.caller.URL+"/stock", reader)
		if got := send(req); got.status != 200 {
			t.Errorf("declared %t: %+v", declared, got)
		}
		if want := fmt.Sprintf("%x", sha256.Sum256(body)); sum.Load() != want {
			t.Errorf("declared %t: another body arrived", declared)
		}
	}
}

func TestBoundsOfRequests(t *testing.T) {
	m := newMesh(t)
	up := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	n := m.add("a1", "a", up.address(), 4)
	over := strings.Repeat("x", 5<<20)
	for _, test := range []struct {
		name    string
		want    code.Code
		method  string
		path    string
		body    string
		headers []string
	}{
		{"no route", code.CallNoRoute, "GET", "/nowhere", "", nil},
		{"body", code.CallBodyTooLarge, "POST", "/orders", over, nil},
		{"keyed body", code.CallBodyTooLarge, "POST", "/orders", over[:2<<20], []string{HeaderIdempotencyKey, "k"}},
		{"header", code.CallHeadersTooLarge, "GET", "/stock", "", []string{"X-Long", over[:40<<10]}},
		{"upgrade", code.CallBadRequest, "GET", "/stock", "", []string{"Upgrade", "websocket", "Connection", "upgrade"}},
		{"trace", code.CallBadRequest, "TRACE", "/stock", "", nil},
		{"deadline text", code.CallBadRequest, "GET", "/stock", "", []string{HeaderDeadline, "soon"}},
		{"deadline sign", code.CallBadRequest, "GET", "/stock", "", []string{HeaderDeadline, "-1"}},
		{"deadline past", code.CallDeadlineNotRun, "GET", "/stock", "", []string{HeaderDeadline, "0"}},
	} {
		got := do(t, n, test.method, test.path, test.body, test.headers...)
		if got.code != fmt.Sprint(int(test.want)) || got.outcome != code.NotRun {
			t.Errorf("%s: got %+v, want %s", test.name, got, test.want)
		}
	}
	up.wantRuns(t, 0)
	m.snapshot.Store(nil)
	if got := do(t, n, "GET", "/stock", ""); got.code != fmt.Sprint(int(code.CallNotReady)) {
		t.Errorf("without configuration: %+v", got)
	}
}

// newReader runs an upstream that reads bodies and counts the whole ones.
func newReader(t testing.TB) (*upstream, *atomic.Int64) {
	whole := &atomic.Int64{}
	return newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			whole.Add(1)
		}
	}), whole
}

// TestSlowUploadIsNotWaitedFor: the caller declares more than it sends.
func TestSlowUploadIsNotWaitedFor(t *testing.T) {
	for name, rest := range map[string]string{
		"short body": "Content-Length: 100\r\n" + HeaderDeadline + ": 50\r\n\r\npart",
		"long body":  "Content-Length: 200000\r\n" + HeaderDeadline + ": 500\r\n\r\n" + strings.Repeat("x", 100_000),
	} {
		t.Run(name, func(t *testing.T) { slowUpload(t, rest) })
	}
}

// upload sends a request of which the rest is given byte for byte, and returns
// the head of the answer.
func upload(t *testing.T, n *node, rest string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", n.caller.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, "POST /orders HTTP/1.1\r\nHost: x\r\n"+rest)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func slowUpload(t *testing.T, rest string) {
	m := newMesh(t)
	up, whole := newReader(t)
	n := m.add("a1", "a", up.address(), 4)
	resp := upload(t, n, rest)
	if got := resp.Header.Get(HeaderCode); got != fmt.Sprint(int(code.CallDeadlineNotRun)) && got != fmt.Sprint(int(code.CallDeadlineUnknown)) {
		t.Errorf("got code %s", got)
	}
	if outcome := resp.Header.Get(HeaderOutcome); outcome == string(code.NotRun) && whole.Load() != 0 {
		t.Errorf("told %s but %d runs", outcome, whole.Load())
	}
}

// TestRefusalDoesNotWaitForTheBody: the refusal is known while the caller has
// not sent its body, and never will.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	m := newMesh(t)
	n := m.add("a1", "a", "", 0)
	resp := upload(t, n, "Content-Length: 200000\r\n"+HeaderDeadline+": 3600000\r\n\r\n"+strings.Repeat("x", 100_000))
	if got := resp.Header.Get(HeaderCode); got != fmt.Sprint(int(code.CallNoUpstream)) {
		t.Errorf("got code %s", got)
	}
}

// TestUndeclaredBodyBeyondTheLimit is found out only while it is streamed: the
// upstream never gets the whole.
func TestUndeclaredBodyBeyondTheLimit(t *testing.T) {
	m := newMesh(t)
	up, whole := newReader(t)
	entry, _ := m.addPair(up.address(), 4)
	req, _ := http.NewRequest("POST", entry.caller.URL+"/orders", io.LimitReader(letters{}, 5<<20))
	if got := send(req); got.status == 200 {
		t.Errorf("got %+v", got)
	}
	if whole.Load() != 0 {
		t.Error("the upstream got a whole body")
	}
}

func TestHeadersOfOneConnectionStayThere(t *testing.T) {
	m := newMesh(t)
	var mu sync.Mutex
	var seen http.Header
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen = r.Header.Clone()
		mu.Unlock()
		w.Header().Set("Connection", "X-Mine")
		w.Header().Set("X-Mine", "1")
		w.Header().Set("X-Kept", "1")
		w.Header().Set(HeaderLoad, "99")
		w.Header().Set(HeaderOutcome, "not-run")
	})
	entry, _ := m.addPair(up.address(), 4)
	got := do(t, entry, "GET", "/stock", "", "Connection", "X-Private, close", "X-Private", "1", "Te", "trailers",
		"Proxy-Authorization", "secret", "X-Public", "1", HeaderTarget, "a9", HeaderRoute, "other", HeaderDeadline, "5000",
		"Godwitmount-Anything", "x")
	mu.Lock()
	defer mu.Unlock()
	for _, gone := range []string{"X-Private", "Te", "Proxy-Authorization", HeaderTarget, HeaderRoute, HeaderAttempt, HeaderFingerprint, "Godwitmount-Anything"} {
		if seen.Get(gone) != "" {
			t.Errorf("upstream saw %s: %s", gone, seen.Get(gone))
		}
	}
	if seen.Get("X-Public") != "1" || seen.Get(HeaderDeadline) == "" || seen.Get(HeaderDeadline) > "5000" {
		t.Errorf("upstream saw %v", seen)
	}
	for _, gone := range []string{"X-Mine", HeaderLoad, HeaderOutcome, HeaderUpstreamTime} {
		if got.header.Get(gone) != "" {
			t.Errorf("caller saw %s: %s", gone, got.header.Get(gone))
		}
	}
	if got.status != 200 || got.header.Get("X-Kept") != "1" {
		t.Errorf("caller got %+v", got)
	}
}

// ward counts what the quarantine is told and refuses after two crashes.
type ward struct {
	mu                         sync.Mutex
	crashes                    map[claim.Hash]int
	started, finished, crashed int
}

func (w *ward) Refused(f claim.Hash) (bool, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes[f] >= 2, 30 * time.Second
}

func (w *ward) Started(claim.Hash)  { w.mu.Lock(); w.started++; w.mu.Unlock() }
func (w *ward) Finished(claim.Hash) { w.mu.Lock(); w.finished++; w.mu.Unlock() }
func (w *ward) Crashed(f claim.Hash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed++
	w.crashes[f]++
}

// TestCrashingRequestMeetsTwoUpstreamsAtMost: the rule would allow three
// sends, and there are four upstreams.
func TestCrashingRequestMeetsTwoUpstreamsAtMost(t *testing.T) {
	for _, quarantine := range []bool{false, true} {
		m := newMesh(t)
		w := &ward{crashes: map[claim.Hash]int{}}
		if quarantine {
			m.quar = w
		}
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Crash") != "" {
				cut(rw)
			}
		}
		var ups []*upstream
		entry := m.add("a0", "a", "", 0)
		for i := range 4 {
			up := newUpstream(t, handle)
			ups = append(ups, up)
			m.add(fmt.Sprint("a", i+1), "a", up.address(), 4)
		}
		runs := func() (total int64) {
			for _, up := range ups {
				total += up.runs.Load()
			}
			return total
		}
		if got := do(t, entry, "GET", "/stock?bad=1", "", "X-Crash", "1"); got.outcome != code.Unknown {
			t.Errorf("got %+v, want unknown", got)
		}
		if runs() != 2 {
			t.Errorf("%d upstreams met the request", runs())
		}
		if !quarantine {
			continue
		}
		got := do(t, entry, "GET", "/stock?bad=1", "", "X-Crash", "1")
		if got.code != fmt.Sprint(int(code.CallQuarantined)) || got.header.Get("Retry-After") != "30" {
			t.Errorf("third time: %+v", got)
		}
		if got := do(t, entry, "GET", "/stock?bad=0", ""); got.status != 200 {
			t.Errorf("other request of the route: %+v", got)
		}
		if w.started != w.finished+w.crashed || w.crashed != 2 {
			t.Errorf("%d started, %d finished, %d crashed", w.started, w.finished, w.crashed)
		}
	}
}
