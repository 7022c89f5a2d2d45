package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// workerSlots is the number of requests that a worker runs at a time, and workTime how long
// each takes.
const (
	workerSlots = 9
	workTime    = 120 * time.Millisecond
)

// oneRun is a request that a worker began to run.
type oneRun struct {
	id, method, target, caller string
	worker                     *worker
	at                         time.Time
}

// worker is a stand-in of an application worker.
type worker struct {
	machine *machine
	id      string
	address string
	born    int64
	server  *http.Server
	slots   chan struct{}
	ended   chan struct{}
	endOnce sync.Once

	mu       sync.Mutex
	sequence uint64
	runs     []oneRun
	// quiet ends the periodic reports.
	quiet bool
	// loses is the share of the answers that are lost.
	loses float64
	// awake is locked while the worker stands still.
	awake sync.RWMutex
}

func newWorker(m *machine) (*worker, error) {
	listener, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		machine: m, id: fmt.Sprintf("i-%04x%04x", os.Getpid()&0xffff, hostCount), address: listener.Addr().String(),
		born: time.Now().UnixMilli(), slots: make(chan struct{}, workerSlots), ended: make(chan struct{}),
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// exit ends the worker.
func (w *worker) exit() {
	w.endOnce.Do(func() {
		close(w.ended)
		_ = w.server.Close()
		w.machine.rig.note("worker %s: exits", w.id)
	})
}

func (w *worker) serve(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", id)
	if target := in.Header.Get("Target-Instance"); target != "" && target != w.id {
		out.Header().Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	default:
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.awaitAwake()
	if _, err := readAll(in.Body); err != nil {
		return
	}
	one := oneRun{id: id, method: in.Method, target: in.RequestURI, caller: in.Header.Get("Caller-Service"), worker: w, at: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, one)
	w.mu.Unlock()
	w.machine.rig.note("worker %s (%s): runs %s %s, Caller-Service %q", w.id, w.machine.service, id, in.RequestURI, one.caller)
	select {
	case <-time.After(workTime):
	case <-in.Context().Done():
		return
	}
	w.awaitAwake()
	if w.losesAnswer() {
		w.machine.rig.note("worker %s (%s): the answer to %s is lost", w.id, w.machine.service, id)
		reset(out)
		return
	}
	out.Header().Set("Response-Signature", "signed-by-"+w.id)
	_, _ = fmt.Fprintf(out, "%s ran %s", w.id, in.RequestURI)
}

// loseAnswers makes the worker lose a share of its answers: it runs the requests, and resets
// their connections.
func (w *worker) loseAnswers(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loses = share
}

// freeze makes the worker stand still, or ends that.
func (w *worker) freeze(still bool) {
	if still {
		w.awake.Lock()
		return
	}
	w.awake.Unlock()
}

// awaitAwake returns once the worker does not stand still.
func (w *worker) awaitAwake() {
	w.awake.RLock()
	defer w.awake.RUnlock()
}

func (w *worker) losesAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.Float64() < w.loses
}

// reset resets the connection of a request.
func reset(out http.ResponseWriter) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// allRuns returns the requests that the workers began to run.
func (r *rig) allRuns() []oneRun {
	var all []oneRun
	for _, m := range r.machines {
		m.worker.mu.Lock()
		all = append(all, m.worker.runs...)
		m.worker.mu.Unlock()
	}
	return all
}

// status returns the next status report in a state.
func (w *worker) status(state string) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return map[string]any{
		"service": w.machine.service, "address": w.address, "zone": w.machine.zone, "version": "v1", "slots": workerSlots,
		"state": state, "cold_left_ms": 0, "sequence": w.sequence, "born": w.born,
	}
}

// report sends the periodic status reports until the worker ends or setQuiet is called.
func (w *worker) report() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		w.mu.Lock()
		quiet := w.quiet
		w.mu.Unlock()
		w.awaitAwake()
		if !quiet {
			_ = w.post("/api/Instances.Heartbeat/"+w.id, w.status("ready"))
		}
		select {
		case <-w.ended:
			return
		case <-ticker.C:
		}
	}
}

// setQuiet ends the periodic reports, or lets them go on.
func (w *worker) setQuiet(quiet bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = quiet
}

// leave reports the worker's end until it is acknowledged, and returns the time of the
// acknowledgement.
func (w *worker) leave() (time.Time, error) {
	if code := w.post("/api/Instances.Leave/"+w.id, map[string]any{"born": w.born}); code != http.StatusOK {
		return time.Time{}, fmt.Errorf("the leaving was answered %d", code)
	}
	return time.Now(), nil
}

// post sends a report to the daemon beside the worker and returns the status of the answer;
// 0 for none within the second that an acknowledgement may take.
func (w *worker) post(path string, body map[string]any) int {
	return w.machine.postReport(path, body, w.id)
}

// postReport sends a report to the daemon's control address. By names the sender.
func (m *machine) postReport(path string, body map[string]any, by string) int {
	text, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.control+path, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	out.Header.Set("Content-Type", "application/json")
	code := 0
	if answer, err := m.rig.client.Do(out); err == nil {
		code = answer.StatusCode
		_ = answer.Body.Close()
	}
	m.rig.note("report: POST %s %s by %s at %s, answered %d", path, text, by, m.name, code)
	return code
}
