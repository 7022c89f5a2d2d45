package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/control"
	"godwitmount/internal/freshness"
	"godwitmount/internal/manifest"
	"godwitmount/internal/store"
)

// recordingUpstream starts an upstream that answers all requests, and returns the
// headers of the last one.
func recordingUpstream(t *testing.T) (address string, last func() http.Header) {
	t.Helper()
	headers := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		headers <- r.Header.Clone()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Signature", "s")
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), func() http.Header {
		select {
		case header := <-headers:
			return header
		default:
			return nil
		}
	}
}

// newCustomerProxy returns a data path whose configuration has two customers and a
// public route, and the headers of the last request at its upstream.
func newCustomerProxy(t *testing.T) (p *Proxy, last func() http.Header) {
	t.Helper()
	address, last := recordingUpstream(t)
	p = newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	p.cfg.ParentID = func(id string) string {
		if parent, _, found := strings.Cut(id, "."); found {
			return parent
		}
		return ""
	}
	table, err := manifest.Compile(&manifest.Manifest{
		Services: []manifest.Service{{Name: "s"}},
		Routes: []manifest.Route{
			{Name: "open", Service: "s", Public: true, Match: manifest.Match{PathPrefix: "/open"}},
			{Name: "r", Service: "s"},
		},
		Customers: []manifest.Customer{{Name: "north", Keys: []manifest.Key{"k1", "k2"}, Priority: 3}, {Name: "east", Keys: []manifest.Key{"k3"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p.SetTable(&Table{Table: table, Version: 2})
	p.SetUpstream(control.Upstream{ID: "u", StartTime: 1, Service: "s", Slots: 4, State: control.UpstreamReady, Address: address})
	return p, last
}

// TestRequestsNeedAKey covers who is served in a mesh with customers, and which name
// the upstream gets, whatever the caller claims. The key must never reach it.
func TestRequestsNeedAKey(t *testing.T) {
	p, last := newCustomerProxy(t)
	p.running.add("running", false)
	for name, c := range map[string]struct {
		id, path string
		keys     []string
		status   int
		customer string
	}{
		"key":                             {"a", "/", []string{"k2"}, 200, "north"},
		"key of another customer":         {"a", "/", []string{"k3"}, 200, "east"},
		"no key":                          {"a", "/", nil, 401, ""},
		"empty key":                       {"a", "/", []string{""}, 401, ""},
		"unknown key":                     {"a", "/", []string{"k"}, 401, ""},
		"two keys":                        {"a", "/", []string{"k1", "k3"}, 401, ""},
		"public":                          {"a", "/open", nil, 200, ""},
		"public with an unknown key":      {"a", "/open", []string{"k"}, 200, ""},
		"public with a key":               {"a", "/open", []string{"k1"}, 200, "north"},
		"nested":                          {"running.1", "/", nil, 200, ""},
		"parent that does not run":        {"ended.1", "/", nil, 503, ""},
		"such a parent, unknown key":      {"ended.1", "/", []string{"k"}, 401, ""},
		"such a parent, key":              {"ended.1", "/", []string{"k1"}, 200, "north"},
		"such a parent, on a public path": {"ended.1", "/open", nil, 200, ""},
	} {
		r := httptest.NewRequest(http.MethodGet, "http://h"+c.path, nil)
		r.Header.Set("Request-Id", c.id)
		r.Header["Customer"] = []string{"east"}
		r.Header["Customer-Key"] = c.keys
		w := httptest.NewRecorder()
		p.serve(w, r)
		header := last()
		if w.Code != c.status || (header != nil) != (c.status == http.StatusOK) {
			t.Errorf("%s: status %d, run %t; want %d", name, w.Code, header != nil, c.status)
		}
		if got := header.Get("Customer"); got != c.customer || len(header["Customer-Key"]) > 0 {
			t.Errorf("%s: the upstream got customer %q, %d keys; want %q and none", name, got, len(header["Customer-Key"]), c.customer)
		}
	}
}

// TestKeysNeedAProof covers a daemon that must know that its configuration is recent.
// Without a proof, a request with any key may be sent again later; the key may have been
// removed, or be new. Other requests are answered as ever.
func TestKeysNeedAProof(t *testing.T) {
	p, last := newCustomerProxy(t)
	now := time.Hour
	p.deps.Freshness = freshness.NewSharedTracker(freshness.Config{MaxAge: 4 * time.Second}, func() time.Duration { return now })
	p.running.add("running", false)
	check := func(when string, known, unknown int) {
		t.Helper()
		for _, c := range []struct {
			id, path, key string
			status        int
			customer      string
		}{
			{"a", "/", "k1", known, "north"}, {"a", "/", "k", unknown, ""}, {"a", "/", "", 401, ""}, {"running.1", "/", "", 200, ""}, {"a", "/open", "", 200, ""},
		} {
			r := httptest.NewRequest(http.MethodGet, "http://h"+c.path, nil)
			r.Header.Set("Request-Id", c.id)
			r.Header.Set("Customer-Key", c.key)
			w := httptest.NewRecorder()
			p.serve(w, r)
			header := last()
			if w.Code != c.status || header != nil && header.Get("Customer") != c.customer {
				t.Errorf("%s: %+v: status %d, customer %q", when, c, w.Code, header.Get("Customer"))
			}
			if w.Code == http.StatusServiceUnavailable && (w.Header().Get("Retry-After") == "" || header != nil) {
				t.Errorf("%s: %+v: no Retry-After, or it ran", when, c)
			}
		}
	}
	check("without a proof", 503, 503)
	p.deps.Freshness.StoreAnswered(freshness.Answer{Reading: store.Reading{StoreTime: time.Minute, Sent: now}, Newest: true})
	check("with a proof", 200, 401)
	if state := p.State(); state.ProofMs != 60_000 || state.StoreMs < 60_000 || state.StoreMs > 60_002 {
		t.Errorf("state has proof %d and store clock %d", state.ProofMs, state.StoreMs)
	}
	now += 3 * time.Second
	check("with a proof that is not as recent as in calm times", 200, 503)
	now += 2 * time.Second
	check("with an old proof", 503, 503)
}

// TestProofOfANewerConfigurationProvesNothing covers a daemon that has not yet got the
// configuration of a peer: that there is none newer than the peer's does not say that
// its own is the newest.
func TestProofOfANewerConfigurationProvesNothing(t *testing.T) {
	for _, c := range []struct {
		state *hopv1.State
		want  bool
	}{
		{&hopv1.State{ConfigVersion: 5, ProofMs: 7}, true}, {&hopv1.State{ConfigVersion: 4, ProofMs: 7}, true},
		{&hopv1.State{ConfigVersion: 6, ProofMs: 7}, false}, {&hopv1.State{ProofMs: 7}, false},
		{&hopv1.State{ConfigVersion: 5}, false}, {&hopv1.State{ConfigVersion: 5, ProofMs: 1 << 60}, false}, {nil, false},
	} {
		if proof, ok := PeerProof(c.state, 5); ok != c.want || ok && proof != 7*time.Millisecond {
			t.Errorf("%v: proof %s, %t", c.state, proof, ok)
		}
	}
}

// TestHeadersAreKeptWithoutCustomers guards against a change for meshes that have no
// customers: their headers of these names belong to callers.
func TestHeadersAreKeptWithoutCustomers(t *testing.T) {
	address, last := recordingUpstream(t)
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	p.SetUpstream(control.Upstream{ID: "u", StartTime: 1, Service: "s", Slots: 4, State: control.UpstreamReady, Address: address})
	r := httptest.NewRequest(http.MethodGet, "http://h/", nil)
	r.Header.Set("Request-Id", "a")
	r.Header.Set("Customer", "x")
	r.Header.Set("Customer-Key", "y")
	w := httptest.NewRecorder()
	p.serve(w, r)
	if header := last(); w.Code != http.StatusOK || header.Get("Customer") != "x" || header.Get("Customer-Key") != "y" {
		t.Errorf("status %d, headers %v", w.Code, header)
	}
}

// counters returns the counters of the metric, by the values of their labels.
func counters(t *testing.T, m *customerMetrics) map[string]float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(m.answers)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.Metric {
			all[metric.Label[0].GetValue()+" "+metric.Label[1].GetValue()] = metric.Counter.GetValue()
		}
	}
	return all
}

// TestCustomerMetricsAreBounded covers many customers and configurations that replace
// them: the number of counters must depend on neither.
func TestCustomerMetricsAreBounded(t *testing.T) {
	m := newCustomerMetrics()
	customer := func(i int) manifest.Customer { return manifest.Customer{Name: fmt.Sprintf("c-%05d", i)} }
	serve := func(from, count int) {
		all := make([]manifest.Customer, count)
		for i := range all {
			all[i] = customer(from + i)
		}
		m.setCustomers(all)
		for i := range all {
			m.record(&all[i], statusResult(uint32(100*i)))
			m.record(&all[i], statusResult(200))
		}
		m.record(nil, code.CallUnauthorized.String())
	}
	m.record(nil, "2xx")
	if got := len(counters(t, m)); got != 0 {
		t.Errorf("%d counters in a mesh without customers", got)
	}
	serve(0, 10*maxLabelledCustomers)
	serve(5000, 2)
	names := len(counters(t, m))
	const classes = 10
	if names > 2*2+classes+1 {
		t.Errorf("%d counters for two customers and all others", names)
	}
	if got := counters(t, m)["c-05000 2xx"]; got != 1 {
		t.Errorf("%v answers of the first customer with status 200, want 1", got)
	}
	m.setCustomers(nil)
	m.record(nil, "2xx")
	if got := len(counters(t, m)); got >= names {
		t.Errorf("%d counters once no customer is left, %d before", got, names)
	}
}

// TestCountersOfRemovedCustomersStayDropped covers requests that end while a
// configuration removes their customer: their answers must not bring its counters back,
// which nobody would drop any more.
func TestCountersOfRemovedCustomersStayDropped(t *testing.T) {
	m := newCustomerMetrics()
	first, second := manifest.Customer{Name: "first"}, manifest.Customer{Name: "second"}
	m.setCustomers([]manifest.Customer{first})
	var requests sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		requests.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					m.record(&first, "2xx")
				}
			}
		})
	}
	for range 300 {
		m.setCustomers([]manifest.Customer{second})
		if _, kept := counters(t, m)["first 2xx"]; kept {
			t.Error("a removed customer has a counter")
			break
		}
		m.setCustomers([]manifest.Customer{first})
	}
	close(stop)
	requests.Wait()
}
