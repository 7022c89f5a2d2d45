package main

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

// arrival is a request that a worker began to run.
type arrival struct {
	id string
	at time.Time
}

// worker is an application worker beside a daemon.
type worker struct {
	play    *play
	node    *node
	id      string
	born    int64
	work    time.Duration
	server  *http.Server
	endBeat context.CancelFunc

	mu       sync.Mutex
	sequence int
	runs     []arrival
	// caller makes the calls of the requests that run; nil for none.
	caller *caller
	// slots holds a value for each request that runs.
	slots chan struct{}
}

// startWorker starts a worker with an id beside the node's daemon. It reports until it leaves or
// crashes.
func (n *node) startWorker(id string, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", n.at(appPort))
	if err != nil {
		return nil, err
	}
	w := &worker{play: n.play, node: n, id: id, born: time.Now().UnixMilli(), work: work, slots: make(chan struct{}, slots)}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	n.worker = w
	ctx, cancel := context.WithCancel(context.Background())
	w.endBeat = cancel
	go w.beatEvery(ctx)
	n.play.printf("worker %s, born %d, starts on %s", w.id, w.born, n.name)
	return w, nil
}

// serve runs a request, or rejects it as the pages say.
func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", id)
	out.Header().Set("Instance-Id", w.id)
	switch target := r.Header.Get("Target-Instance"); {
	case target != "" && target != w.id:
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
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
	w.mu.Lock()
	w.runs = append(w.runs, arrival{id, time.Now()})
	w.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if c := w.currentCaller(); c != nil {
		if !c.run(id) {
			out.Header().Set("Response-Signature", "signed-by-"+w.id)
			out.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	out.Header().Set("Response-Signature", "signed-by-"+w.id)
	_, _ = fmt.Fprintf(out, "%s ran %s", w.id, id)
}

// setCaller makes the requests that the worker runs make calls.
func (w *worker) setCaller(c *caller) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.caller = c
}

func (w *worker) currentCaller() *caller {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.caller
}

// arrivals returns the requests that the worker began to run.
func (w *worker) arrivals() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.runs...)
}

// report returns the next status report.
func (w *worker) report() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	text, err := json.Marshal(map[string]any{
		"service": w.node.service, "address": w.node.at(appPort), "zone": w.node.zone, "version": "v1", "slots": slots,
		"state": "ready", "cold_left_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	if err != nil {
		// Maps of strings and numbers always encode.
		panic(err)
	}
	return text
}

// beatEvery sends a report at each beat interval until ctx ends.
func (w *worker) beatEvery(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = w.post("Heartbeat", w.report())
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// post sends a call to the daemon beside the worker and returns its status.
func (w *worker) post(call string, body []byte) (int, error) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+w.node.at(controlPort)+"/api/Instances."+call+"/"+w.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// leave ends the reports and says that the worker leaves. It returns the time of the ack.
func (w *worker) leave() (time.Time, error) {
	w.endBeat()
	status, err := w.post("Leave", fmt.Appendf(nil, `{"born":%d}`, w.born))
	if err != nil || status != http.StatusOK {
		return time.Time{}, fmt.Errorf("no ack of the leaving of %s: status %d, %w", w.id, status, err)
	}
	w.play.printf("worker %s, born %d, leaves: acknowledged", w.id, w.born)
	return time.Now(), nil
}

// crash ends the worker and its connections without a word.
func (w *worker) crash() {
	w.endBeat()
	_ = w.server.Close()
}
