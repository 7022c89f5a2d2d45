package upstreamstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/announce"
)

// fakeDaemon takes announcements and keeps the states in order.
type fakeDaemon struct {
	*httptest.Server
	mu     sync.Mutex
	states []string
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	d := &fakeDaemon{}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := announce.Decode(r.Body)
		if err != nil {
			t.Error(err)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(d.states) == 0 || d.states[len(d.states)-1] != a.State {
			d.states = append(d.states, a.State)
		}
	}))
	t.Cleanup(d.Close)
	return d
}

func (d *fakeDaemon) said() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprint(d.states)
}

func start(t *testing.T, cfg Config) (s *Standin, stop func() error) {
	t.Helper()
	cfg.Listen, cfg.Control, cfg.Service, cfg.Log = "127.0.0.1:0", "127.0.0.1:0", "desk", zap.NewNop()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	stop = sync.OnceValue(func() error { cancel(); return <-ended })
	t.Cleanup(func() { _ = stop() })
	return s, stop
}

func ask(t *testing.T, s *Standin, headers ...string) (status int, body string, refused bool) {
	t.Helper()
	req, _ := http.NewRequest("POST", "http://"+s.Address()+"/x", nil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header.Get(HeaderRefused) != ""
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 5000 {
		if ok() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("did not happen: %s", what)
}

func TestPlannedStopAnnouncesAndFinishes(t *testing.T) {
	d := newFakeDaemon(t)
	s, stop := start(t, Config{Daemon: d.Listener.Addr().String(), Slots: 2, ServiceTime: 200 * time.Millisecond, DrainBound: time.Minute})
	until(t, "ready was announced", func() bool { return d.said() == "[starting ready]" })
	answer := make(chan int, 1)
	go func() {
		status, _, _ := ask(t, s, HeaderTag, "t")
		answer <- status
	}()
	until(t, "the request runs", func() bool { return s.Stats().Runs == 1 })
	if err := stop(); err != nil {
		t.Error(err)
	}
	if status := <-answer; status != http.StatusOK {
		t.Errorf("running request got %d", status)
	}
	if said := d.said(); said != "[starting ready draining gone]" {
		t.Errorf("announced %s", said)
	}
}

func TestShedsBeyondItsSlotsAndWhileCold(t *testing.T) {
	s, _ := start(t, Config{Slots: 1, ColdStart: time.Hour})
	if status, _, refused := ask(t, s); status != 503 || !refused {
		t.Errorf("cold: %d, refused %t", status, refused)
	}
	s, _ = start(t, Config{Slots: 1, ServiceTime: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+s.Address()+"/x", nil)
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	until(t, "the slot is taken", func() bool { return s.Stats().Runs == 1 })
	if status, _, refused := ask(t, s); status != 503 || !refused {
		t.Errorf("full: %d, refused %t", status, refused)
	}
	cancel()
	until(t, "the cancelled request was left", func() bool { return s.Stats().Aborted == 1 })
	ask(t, s, headerDeadline, "1")
	until(t, "the late request was left", func() bool { return s.Stats().Aborted == 2 })
	if stats := s.Stats(); stats.Runs != 2 || stats.Shed != 1 {
		t.Errorf("counted %+v", stats)
	}
}

func TestCountsByKeyAndTagAndMisleads(t *testing.T) {
	var crashes atomic.Int64
	s, _ := start(t, Config{Slots: 1, Instance: "u1", Exit: func() { crashes.Add(1) }})
	for range 2 {
		if status, body, _ := ask(t, s, HeaderTag, "t", "Idempotency-Key", "k"); status != 200 || body == "" {
			t.Errorf("got %d %s", status, body)
		}
	}
	stats := s.Stats()
	if stats.RunsByKey["k"] != 2 || stats.RunsByTag["t"] != 2 || stats.Runs != 2 {
		t.Errorf("counted %+v", stats)
	}
	resp, err := http.Get("http://" + s.Address() + "/bytes/100000")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); n != 100000 || err != nil {
		t.Errorf("download: %d bytes, %v", n, err)
	}
	ask(t, s, HeaderCrash, "1")
	if crashes.Load() != 1 {
		t.Errorf("the crashing request ended the process %d times", crashes.Load())
	}
}
