// Package rig starts a small mesh for the cases of the third review: daemons as processes, and
// stand-ins of the platform, workers and clients in this process, all on loopback addresses.
package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Run is one run of a request at a worker.
type Run struct {
	At     time.Duration
	Worker string
	Tenant string
	Path   string
}

// Request is one client attempt and what became of it. Status 0 stands for no answer.
type Request struct {
	ID, Node, Path string
	Sent, Answered time.Duration
	Status         int
	Runs           []Run
}

// Record holds what was sent, answered and run. Its methods may be called from any goroutine.
type Record struct {
	began time.Time

	mu       sync.Mutex
	requests []*Request
	byID     map[string]*Request
	events   []string
}

// NewRecord returns an empty record whose clock begins now.
func NewRecord() *Record { return &Record{began: time.Now(), byID: map[string]*Request{}} }

// Now returns the time since the record began.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Event records something else that has happened, and prints it.
func (r *Record) Event(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s", r.Now().Seconds(), fmt.Sprintf(format, args...))
	fmt.Println(line)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, line)
}

// Sent records that a request is sent.
func (r *Record) Sent(id, node, path string) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := &Request{ID: id, Node: node, Path: path, Sent: r.Now()}
	r.requests = append(r.requests, request)
	r.byID[id] = request
	return request
}

// Answered records the status of a request's answer; 0 stands for none.
func (r *Record) Answered(request *Request, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request.Answered, request.Status = r.Now(), status
}

// Ran records that a worker has begun to work on a request.
func (r *Record) Ran(id, worker, tenant, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := Run{At: r.Now(), Worker: worker, Tenant: tenant, Path: path}
	if request := r.byID[id]; request != nil {
		request.Runs = append(request.Runs, run)
		return
	}
	r.events = append(r.events, fmt.Sprintf("%8.3f s  %s runs %s, which no client has sent", run.At.Seconds(), worker, id))
}

// Requests returns copies of all requests, in the order in which they were sent.
func (r *Record) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Request, len(r.requests))
	for i, request := range r.requests {
		all[i] = *request
		all[i].Runs = append([]Run(nil), request.Runs...)
	}
	return all
}

// Write writes the record to a file.
func (r *Record) Write(file string) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	buffered := bufio.NewWriter(out)
	r.mu.Lock()
	for _, line := range r.events {
		_, _ = fmt.Fprintln(buffered, line)
	}
	r.mu.Unlock()
	_, _ = fmt.Fprintln(buffered, "requests: sent at, by id to node, path, answer at, status; runs at, worker, tenant")
	for _, request := range r.Requests() {
		_, _ = fmt.Fprintf(buffered, "%.3f %s %s %s %.3f %d", request.Sent.Seconds(), request.ID, request.Node, request.Path, request.Answered.Seconds(), request.Status)
		for _, run := range request.Runs {
			_, _ = fmt.Fprintf(buffered, "; %.3f %s %s", run.At.Seconds(), run.Worker, run.Tenant)
		}
		_, _ = fmt.Fprintln(buffered)
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	return out.Close()
}
