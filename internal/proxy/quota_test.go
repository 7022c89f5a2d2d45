package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/control"
	"godwitmount/internal/manifest"
	"godwitmount/internal/quota"
)

// maxTestBody is the largest body in bytes.
const maxTestBody = 100

// newQuotaProxy returns a data path of a mesh with one daemon and a customer that may
// make 10 requests at once, and a clock that advances by the returned function. The
// upstream answers as the header Answer of the request says.
func newQuotaProxy(t *testing.T) (p *Proxy, advance func(time.Duration)) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Signature", "s")
		switch r.Header.Get("Answer") {
		case "refuse":
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "fail":
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	t.Cleanup(server.Close)
	p = newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	p.cfg.ParentID = func(id string) string {
		parent, _, _ := strings.Cut(id, ".")
		return parent
	}
	var now atomic.Int64
	advance = func(by time.Duration) {
		for end := now.Load() + int64(by); now.Load() < end; {
			now.Store(min(now.Load()+int64(quotaTick), end))
			p.quotas.tick()
		}
	}
	p.quotas.clock = func() time.Duration { return time.Hour + time.Duration(now.Load()) }
	p.quotas.limiter = quota.New(quota.Config{Instance: "i", Params: quota.Params{Window: time.Second}})
	p.deps.Peers.SetMesh(nil, true)
	table, err := manifest.Compile(&manifest.Manifest{
		Limits:     manifest.Limits{MaxBodyBytes: maxTestBody},
		Services:   []manifest.Service{{Name: "s"}},
		RetryRules: []manifest.RetryRule{{Name: "again", Attempts: 3, On: []manifest.RetryOn{manifest.RetryStatus5xx}, BudgetPercent: 100}},
		Routes:     []manifest.Route{{Name: "r", Service: "s", Retry: "again"}},
		Customers:  []manifest.Customer{{Name: "north", Keys: []manifest.Key{"k1"}, RatePerSecond: 1, Burst: 10}, {Name: "east", Keys: []manifest.Key{"k2"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p.SetTable(&Table{Table: table, Version: 2})
	p.SetUpstream(control.Upstream{ID: "u", StartTime: 1, Service: "s", Slots: 4, State: control.UpstreamReady, Address: strings.TrimPrefix(server.URL, "http://")})
	p.running.add("running", false)
	advance(20 * time.Second)
	return p, advance
}

// send sends n requests and returns the number of those that got 429.
func send(t *testing.T, p *Proxy, n int, id, key, answer string) int {
	t.Helper()
	refused := 0
	for range n {
		var body io.Reader
		if answer == "large" {
			body = strings.NewReader(strings.Repeat("x", maxTestBody+1))
		}
		r := httptest.NewRequest(http.MethodPut, "http://h/", body)
		r.Header.Set("Request-Id", id)
		r.Header.Set("Answer", answer)
		if key != "" {
			r.Header.Set("Customer-Key", key)
		}
		w := httptest.NewRecorder()
		p.serve(w, r)
		if w.Code != http.StatusTooManyRequests {
			continue
		}
		refused++
		if w.Header().Get("Retry-After") == "" || w.Body.String() != "call-quota-exceeded\n" {
			t.Errorf("refusal without Retry-After, or with body %q", w.Body)
		}
	}
	return refused
}

// TestQuotaCountsCallersRequestsOnce guards against requests that are counted although
// they are nested, have not run or have no limit, and against retries by the daemon that
// count again.
func TestQuotaCountsCallersRequestsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		id, key, answer string
		sent            int
		// left is how many of ten more requests are then admitted.
		left int
	}{
		"served":           {"a", "k1", "", 4, 6},
		"failed":           {"a", "k1", "fail", 4, 6},
		"beyond the limit": {"a", "k1", "", 10, 0},
		"too large":        {"a", "k1", "large", 4, 10},
		"refused upstream": {"a", "k1", "refuse", 4, 10},
		"nested":           {"running.1", "", "", 4, 10},
		"without a limit":  {"a", "k2", "", 20, 10},
		"with another key": {"a", "k", "", 20, 10},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newQuotaProxy(t)
			if refused := send(t, p, c.sent, c.id, c.key, c.answer); refused != 0 {
				t.Errorf("%d of the first requests refused", refused)
			}
			if left := 10 - send(t, p, 10, "a", "k1", ""); left != c.left {
				t.Errorf("%d requests left, want %d", left, c.left)
			}
		})
	}
}

// TestQuotaIsRefilled guards against a limit that is not raised with time or with a new
// configuration, and against a timer that runs without limits.
func TestQuotaIsRefilled(t *testing.T) {
	p, advance := newQuotaProxy(t)
	send(t, p, 12, "a", "k1", "")
	advance(3 * time.Second)
	if refused := send(t, p, 5, "a", "k1", ""); refused != 2 {
		t.Errorf("%d of 5 requests refused after 3 s at 1 request a second, want 2", refused)
	}
	unlimited, err := manifest.Compile(&manifest.Manifest{
		Services:  []manifest.Service{{Name: "s"}},
		Routes:    []manifest.Route{{Name: "r", Service: "s"}},
		Customers: []manifest.Customer{{Name: "north", Keys: []manifest.Key{"k1"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p.SetTable(&Table{Table: unlimited, Version: 3})
	if refused := send(t, p, 30, "a", "k1", ""); refused != 0 || p.quotas.limited() {
		t.Errorf("%d of 30 requests refused without a limit", refused)
	}
}

// TestUnknownMeshRefusesLimitedRequests guards against a daemon that takes itself for
// the only one before it has read its own entry of the member table, however long ago it
// was started, and against peers and operators that do not learn of that.
func TestUnknownMeshRefusesLimitedRequests(t *testing.T) {
	p, _ := newQuotaProxy(t)
	p.quotas.limiter = quota.New(quota.Config{Instance: "i", Params: quota.Params{Window: time.Second, Slack: 100}})
	p.quotas.viewBuilt = false
	p.deps.Peers.SetMesh(nil, false)
	p.deps.Peers.epoch = time.Now().Add(-time.Minute)
	p.SetTable(p.ActiveTable())
	if !p.State().GetMembersUnread() || !p.MembersUnread() {
		t.Error("the state does not say that the members are not known")
	}
	if refused := send(t, p, 3, "a", "k1", ""); refused != 3 {
		t.Errorf("%d of 3 requests refused", refused)
	}
	if refused := send(t, p, 3, "a", "k2", ""); refused != 0 {
		t.Errorf("%d of 3 requests without a limit refused", refused)
	}
	if !p.deps.Peers.SetMesh(nil, true) || p.deps.Peers.SetMesh(nil, true) {
		t.Error("a change of what is known is not reported once")
	}
	if p.State().GetMembersUnread() || p.MembersUnread() {
		t.Error("the state still says that the members are not known")
	}
	if refused := send(t, p, 3, "a", "k1", ""); refused != 0 {
		t.Errorf("%d of 3 requests refused once all daemons are known", refused)
	}
}

// TestPeerSaysWhetherItGrantsTokens guards against a peer that is chosen as owner of buckets
// although its state says that it has not read its entry, or that is never chosen after its
// state has changed.
func TestPeerSaysWhetherItGrantsTokens(t *testing.T) {
	ps := NewPeers(control.Member{Instance: "i", DataCentre: "a"}, Listener{StateReceived: func(string, *hopv1.State) {}}, nil, nil)
	p := &peer{Member: control.Member{Instance: "p", DataCentre: "a"}}
	ps.all["p"] = p
	for i, unread := range []bool{true, false, false, true} {
		before := ps.viewVersion.Load()
		changes := p.state.Load().membersUnread() != unread
		ps.handleState(p, &hopv1.State{MembersUnread: unread})
		if got := ps.quotaView().Members[0].MembersUnread; got != unread {
			t.Errorf("state %d: members unread %t, want %t", i, got, unread)
		}
		if changed := ps.viewVersion.Load() != before; changed != changes {
			t.Errorf("state %d: the view has changed: %t, want %t", i, changed, changes)
		}
	}
}

// TestStateIsMadeWhilePeersAreLocked guards against a deadlock: pings are sent, and states
// made for them, while the set of peers is locked for reading and a change of it waits.
func TestStateIsMadeWhilePeersAreLocked(t *testing.T) {
	p, _ := newQuotaProxy(t)
	p.deps.Peers.mu.Lock()
	defer p.deps.Peers.mu.Unlock()
	made := make(chan *hopv1.State)
	go func() { made <- p.State() }()
	select {
	case <-made:
	case <-time.After(5 * time.Second):
		t.Error("making a state waits for the peers")
	}
}
