package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"godwitmount/internal/asynclog"
	"godwitmount/internal/event"
)

// Values of the label stage of unanswered requests.
const (
	// unserved requests were read and not begun when their connection ended.
	unserved = "unserved"
	// undelivered ones had an answer that could not be written.
	undelivered = "undelivered"
)

// newUnansweredCounter returns the counter of requests whose connection ended before their
// answer, by stage and by who closed the connection.
func newUnansweredCounter() *prometheus.CounterVec {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "godwitmount_unanswered_requests_total", Help: "Requests of callers whose connection ended before their answer.",
	}, []string{"stage", "closed_by"})
	for _, stage := range []string{unserved, undelivered} {
		for _, side := range []string{"caller", "daemon"} {
			counter.WithLabelValues(stage, side)
		}
	}
	return counter
}

// closedBy returns who closed a caller's connection that has failed with err.
func closedBy(err error) string {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return "daemon"
	}
	return "caller"
}

// RecordUnserved records requests that were read from a caller's connection and not begun
// when it ended with cause, which is net.ErrClosed if this daemon ended it.
func (p *Proxy) RecordUnserved(heads [][]byte, cause error) {
	for _, head := range heads {
		p.recordUnanswered(unserved, p.requestID(head), cause)
	}
}

// requestID returns the request's id in a head, or "".
func (p *Proxy) requestID(head []byte) string {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return ""
	}
	return r.Header.Get(p.cfg.Headers.RequestID)
}

// recordUnanswered records a request whose connection ended before its answer.
func (p *Proxy) recordUnanswered(stage, id string, cause error) {
	side := closedBy(cause)
	p.metrics.unanswered.WithLabelValues(stage, side).Inc()
	p.deps.Log.Request(event.CallUnanswered, asynclog.Uncertain, zap.String("id", id), zap.String("stage", stage),
		zap.String("closed_by", side), zap.Bool("stopping", p.stopping.Load()), zap.Error(cause))
}

// recordDelivery records that the answer to the request with the id was written with the
// result err.
func (p *Proxy) recordDelivery(id string, err error) {
	if err != nil {
		p.recordUnanswered(undelivered, id, err)
	}
}

// writeWhole writes a whole answer whose headers are set, and returns an error if its
// connection has ended.
func writeWhole(w http.ResponseWriter, status int, body []byte) error {
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	// A short answer is in a buffer until now.
	return http.NewResponseController(w).Flush()
}
