package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"godwitmount/internal/code"
)

// do makes one call to a node.
func do(t testing.TB, n *node, method, path, body string, headers ...string) told {
	t.Helper()
	req, err := http.NewRequest(method, n.caller.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	return send(req)
}

func send(req *http.Request) told {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return told{broken: true, body: err.Error()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return told{
		status:  resp.StatusCode,
		outcome: code.Outcome(resp.Header.Get(HeaderOutcome)),
		code:    resp.Header.Get(HeaderCode),
		body:    string(text),
		header:  resp.Header,
		broken:  err != nil,
	}
}

func TestWholePathThroughTwoDaemons(t *testing.T) {
	m := newMesh(t)
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.RequestURI()+" "+r.Host)
		_, _ = w.Write(body)
	})
	entry, _ := m.addPair(up.address(), 10)
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		got := do(t, entry, method, "/plain/x%2Fy?q=1", "piccalilli", "Host", "shop")
		if got.status != 200 || got.body != "piccalilli" || got.outcome != "" {
			t.Errorf("%s: got %+v", method, got)
		}
		want := method + " /plain/x%2Fy?q=1 " + entry.caller.Listener.Addr().String()
		if seen := got.header.Get("X-Seen"); seen != want {
			t.Errorf("%s: upstream saw %q, want %q", method, seen, want)
		}
	}
	up.wantRuns(t, 4)
}

func TestOwnUpstreamSkipsThePeerHop(t *testing.T) {
	m := newMesh(t)
	m.peerHook = func(string, http.Handler) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("peer hop taken") })
	}
	up := newUpstream(t, say("whole"))
	n := m.add("a1", "a", up.address(), 10)
	if got := do(t, n, "POST", "/orders", "x"); got.body != "whole" {
		t.Errorf("got %+v", got)
	}
}
