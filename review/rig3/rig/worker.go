package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// WorkerConfig is the configuration of a Worker.
type WorkerConfig struct {
	ID, Service, Zone string
	// Address is the host:port for requests, Control that for status reports.
	Address, Control string
	Slots            int
	// Born is the Unix millisecond of its start on its machine's clock.
	Born int64
	// Work is how long it works on a request.
	Work time.Duration
	// Beat is the interval of its status reports.
	Beat time.Duration
	// CrashOn is the path of the request that crashes it, and Crashed is called then.
	CrashOn string
	Crashed func()
}

// Worker is one incarnation of an application worker. It runs as many requests as it has slots and
// rejects the others, echoes ids, signs its answers and reports its state.
type Worker struct {
	cfg    WorkerConfig
	record *Record
	server *http.Server
	slots  chan struct{}
	stop   context.CancelFunc
	// crashOnce guards the crash.
	crashOnce sync.Once

	mu       sync.Mutex
	running  map[string]int
	sequence int
}

// StartWorker starts a worker and its status reports.
func StartWorker(cfg WorkerConfig, record *Record) (*Worker, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &Worker{cfg: cfg, record: record, slots: make(chan struct{}, cfg.Slots), stop: stop, running: map[string]int{}}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat(ctx)
	record.Event("worker %s at %s starts, born %d", cfg.ID, cfg.Address, cfg.Born)
	return w, nil
}

// Kill ends the worker like a crash: its connections end and it says nothing.
func (w *Worker) Kill() {
	w.stop()
	_ = w.server.Close()
	w.record.Event("worker %s at %s crashes", w.cfg.ID, w.cfg.Address)
}

// StopBeats ends the status reports.
func (w *Worker) StopBeats() { w.stop() }

// Running returns how many requests for a path it works on.
func (w *Worker) Running(path string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[path]
}

func (w *Worker) count(path string, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[path] += change
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.cfg.ID {
		rw.Header().Set("Instance-Id", w.cfg.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	default:
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", w.cfg.ID)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.record.Ran(id, w.cfg.ID, r.Header.Get("Tenant"), r.URL.Path)
	if w.cfg.CrashOn != "" && w.cfg.CrashOn == r.URL.Path {
		w.crashOnce.Do(func() {
			w.Kill()
			w.cfg.Crashed()
		})
		return
	}
	w.count(r.URL.Path, 1)
	defer w.count(r.URL.Path, -1)
	select {
	case <-time.After(w.cfg.Work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("Response-Signature", "signed-by-"+w.cfg.ID)
	_, _ = fmt.Fprintf(rw, "%s ran %s", w.cfg.ID, id)
}

// beat reports that the worker is ready at each interval until ctx ends.
func (w *Worker) beat(ctx context.Context) {
	ticker := time.NewTicker(w.cfg.Beat)
	defer ticker.Stop()
	for {
		_, _ = w.Report("ready")
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Report sends one status report and returns the status of the answer.
func (w *Worker) Report(state string) (int, error) {
	w.mu.Lock()
	w.sequence++
	body := map[string]any{
		"service": w.cfg.Service, "address": w.cfg.Address, "zone": w.cfg.Zone, "version": "v1", "slots": w.cfg.Slots,
		"state": state, "cold_left_ms": 0, "sequence": w.sequence, "born": w.cfg.Born,
	}
	w.mu.Unlock()
	return w.post("/api/Instances.Heartbeat/"+w.cfg.ID, body)
}

// Leave says that the worker leaves and returns the status of the answer.
func (w *Worker) Leave() (int, error) {
	return w.post("/api/Instances.Leave/"+w.cfg.ID, map[string]any{"born": w.cfg.Born})
}

// reportTimeout is the time within which an answer acknowledges a status report.
const reportTimeout = time.Second

func (w *Worker) post(path string, body map[string]any) (int, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.cfg.Control+path, bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
