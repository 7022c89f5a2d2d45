package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"godwitmount/platform/platformtest"
)

// Figures of a small deployment, as on the users' pages for kbh-stockist.
const (
	beatInterval = 1500 * time.Millisecond
	contactTime  = 3 * time.Second
	drainTime    = 2 * time.Second
	restartDelay = 500 * time.Millisecond
	bounds       = `"seed_lag_s=3","reuse_after_s=2","contact_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_ms=2000","rollback_slack_ms=250","stretch_max_ms=5000","budget_ratio=0.2","budget_window_s=10","budget_extra=56","recovery_s=15"`
)

// Services and hosts of the deployment.
const (
	ordersService   = "orders-desk"
	dispatchService = "dispatch-desk"
	stockHost       = "stock.example"
	sheetHost       = "sheet.example"
	deskHost        = "desk.example"
)

// rig is one play of a script.
type rig struct {
	folder  string
	trouble bool
	temp    string
	program string
	began   time.Time

	store       *platformtest.Store
	storeServer *http.Server
	storeAddr   string
	machines    []*machine
	client      *http.Client

	mu     sync.Mutex
	record []string
	lastID int
	// sent holds what was sent with send and has ended.
	sent []request
	// entries holds the machine at which each request began, by the request's id.
	entries map[string]*machine
}

// newRig starts the stand-in of the store.
func newRig(folder string, trouble bool) (*rig, error) {
	program, err := filepath.Abs("target/godwitmountd")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &rig{
		folder: folder, trouble: trouble, temp: temp, entries: map[string]*machine{}, program: program, began: time.Now(),
		store: platformtest.NewStore(), storeAddr: listener.Addr().String(),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 32, IdleConnTimeout: 5 * time.Second}},
	}
	r.storeServer = &http.Server{Handler: r.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = r.storeServer.Serve(listener) }()
	return r, nil
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, m := range r.machines {
		m.close()
	}
	_ = r.storeServer.Close()
	_ = os.RemoveAll(r.temp)
}

// since returns the time since the start of the play, in seconds.
func (r *rig) since(t time.Time) string { return fmt.Sprintf("%7.3f s", t.Sub(r.began).Seconds()) }

// note adds a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record = append(r.record, r.since(time.Now())+"  "+fmt.Sprintf(format, args...))
}

func (r *rig) writeRecord() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.Join(r.record, "\n") + "\n"
	return os.WriteFile(filepath.Join(r.folder, "record.txt"), []byte(text), 0o644)
}

// nextID returns a new id of a client attempt at a machine.
func (r *rig) nextID(m *machine) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	id := fmt.Sprintf("%08x%08x", os.Getpid(), r.lastID)
	r.entries[id] = m
	return id
}

// entryOf returns the machine at which a request began, or nil.
func (r *rig) entryOf(id string) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[id]
}

// publish writes the configuration, as the operator does.
func (r *rig) publish(version uint64, routes ...platformtest.Route) {
	config := platformtest.Config(version, []string{ordersService, dispatchService}, routes...)
	// The limit of the examples that fleetbench wire shows.
	config = bytes.Replace(config, []byte(`"max_body_bytes":1048576`), []byte(`"max_body_bytes":67108864`), 1)
	r.store.Publish(config)
	r.note("operator: the store has acknowledged configuration %d", version)
}

// usualRoutes are those of both services.
func usualRoutes() []platformtest.Route {
	return []platformtest.Route{
		{Host: deskHost, Prefix: "/desk/", Kind: platformtest.NonIdempotent, Service: ordersService, TimeoutMS: 2500, GoalMS: 400, Priority: 1, MaxAttempts: 2},
		{Host: deskHost, Prefix: "/desk/read/", Kind: platformtest.Idempotent, Service: ordersService, TimeoutMS: 2500, GoalMS: 400, Priority: 2, MaxAttempts: 3},
		{Host: stockHost, Prefix: "/pallets/", Kind: platformtest.NonIdempotent, Service: ordersService, TimeoutMS: 10000, GoalMS: 1500, Priority: 1, MaxAttempts: 2},
		{Host: stockHost, Prefix: "/check/", Kind: platformtest.Idempotent, Service: ordersService, TimeoutMS: 2000, GoalMS: 300, Priority: 2, MaxAttempts: 3},
		{Host: stockHost, Prefix: "/order/", Kind: platformtest.NonIdempotent, Service: ordersService, TimeoutMS: 1200, GoalMS: 400, Priority: 1, MaxAttempts: 2},
		{Host: sheetHost, Prefix: "/sheet/", Kind: platformtest.Idempotent, Service: dispatchService, TimeoutMS: 2000, GoalMS: 300, Priority: 2, MaxAttempts: 3},
	}
}

// startUsual starts the usual deployment, three zones with three machines each, and waits
// until all are ready.
func (r *rig) startUsual() error {
	r.publish(3, usualRoutes()...)
	for _, zone := range []string{"kendal-a", "penrith-b", "lancaster-c"} {
		for _, service := range []string{ordersService, ordersService, dispatchService} {
			if err := r.addMachine(zone, service); err != nil {
				return err
			}
		}
	}
	return r.awaitReady(15 * time.Second)
}

// awaitReady waits until all daemons are ready and each has had two reports of its worker.
func (r *rig) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range r.machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * beatInterval)
	r.note("all daemons are ready")
	return nil
}

// request is what a client sends, and what it got.
type request struct {
	id, method, host, target string
	deadline                 time.Duration
	entry                    *machine
	sent                     time.Time
	// kept is set if it was sent on a connection that had carried another one.
	kept            bool
	status          int
	signature, body string
	err             error
}

// onceBody is a body with which net/http does not send a request once more by itself when its
// connection ends.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// send sends a request without a body to a machine, waits for its answer and records both.
func (r *rig) send(m *machine, method, host, target string, deadline time.Duration) request {
	return r.sendBody(m, method, host, target, "", deadline)
}

// sendBody is send for a request with a body.
func (r *rig) sendBody(m *machine, method, host, target, body string, deadline time.Duration) request {
	q := request{id: r.nextID(m), method: method, host: host, target: target, deadline: deadline, entry: m}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { q.kept = c.Reused }})
	out, err := http.NewRequestWithContext(traced, method, "http://"+m.outbound+target, onceBody{strings.NewReader(body)})
	if err != nil {
		q.err = err
		return q
	}
	out.Host, out.ContentLength = host, int64(len(body))
	out.Header.Set("Attempt-Id", q.id)
	out.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	q.sent = time.Now()
	q.status, q.signature, q.body, q.err = r.exchange(out)
	r.mu.Lock()
	r.sent = append(r.sent, q)
	r.mu.Unlock()
	r.note("client: %s %s %s%s at %s, sent %s, got %d %s", q.id, method, host, target, m.name, r.since(q.sent), q.status, shortError(q.err))
	return q
}

// exchange sends a request and reads the whole answer.
func (r *rig) exchange(out *http.Request) (status int, signature, body string, err error) {
	answer, err := r.client.Do(out)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := readAll(answer.Body)
	return answer.StatusCode, answer.Header.Get("Response-Signature"), text, err
}

// shortError names an error without the addresses in it.
func shortError(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, context.DeadlineExceeded):
		return "(no answer in time)"
	default:
		return "(no answer)"
	}
}

// traffic sends requests at an interval to each machine until the returned function is
// called, which waits for their answers.
func (r *rig) traffic(interval time.Duration, send func(m *machine)) (stop func()) {
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for i, m := range r.machines {
		clients.Go(func() {
			time.Sleep(interval * time.Duration(i) / time.Duration(len(r.machines)))
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ended:
					return
				case <-ticker.C:
					clients.Go(func() { send(m) })
				}
			}
		})
	}
	return func() {
		close(ended)
		clients.Wait()
	}
}
