package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"godwitmount/platform/platformtest"
)

const (
	// grace is the shutdown grace of the daemons.
	grace = 6 * time.Second
	// heldRead and heldWrite are the prefixes of routes to services back and desk whose
	// requests may last heldDeadline. Those with slowMark in their ids run for slowWork,
	// longer than the time between the last request that a stopping daemon takes and its
	// end (0.3 of the grace).
	heldRead, heldWrite = "/held-read/", "/held-write/"
	slowMark            = "slow-"
	slowWork            = 2600 * time.Millisecond
	heldDeadline        = 3500 * time.Millisecond
	heldTimeoutMS       = 4000
	// heldCallersPerNode is the number of callers for these routes, maxBehind the largest
	// number of requests that they send behind one another, and heldPause the mean pause
	// after them.
	heldCallersPerNode = 2
	maxBehind          = 3
	heldPause          = 300 * time.Millisecond
	// calmTime is how long no fault has been injected before the stops of stopOverlapping,
	// and maxStopOffset how long after the first of them the second begins at most.
	calmTime      = 3 * time.Second
	maxStopOffset = 2 * time.Second
	// lateSend is how long after SIGTERM a request may be sent that a daemon may still
	// break off in the last sixth of its grace, from lastSixth on.
	lateSend  = 3 * time.Second
	lastSixth = grace * 5 / 6
)

// heldRoutes returns the routes for heldRead and heldWrite.
func heldRoutes() []platformtest.Route {
	read := platformtest.Route{Prefix: heldRead, Kind: platformtest.Idempotent, Service: "back", TimeoutMS: heldTimeoutMS, GoalMS: heldTimeoutMS, MaxAttempts: maxAttempts}
	write := read
	write.Prefix, write.Kind, write.Service = heldWrite, platformtest.NonIdempotent, "desk"
	return []platformtest.Route{read, write}
}

// window is a span of time.
type window struct{ from, to time.Time }

// stopOverlapping performs planned stops of two daemons that overlap, with no other
// disturbance from calmTime before them on until they are over. Faults were injected until
// faultsEnded.
func (s *soak) stopOverlapping(seed uint64, faultsEnded time.Time) {
	random := rand.New(rand.NewPCG(seed, uint64(numKinds)))
	first := random.IntN(len(s.nodes))
	second := (first + 1 + random.IntN(len(s.nodes)-1)) % len(s.nodes)
	offset := time.Duration(random.Int64N(int64(maxStopOffset)))
	s.t.Logf("planned stops of nodes %d and %d, %s later", first, second, offset.Round(time.Millisecond))
	time.Sleep(time.Until(faultsEnded.Add(calmTime)))
	from := time.Now()
	for _, n := range s.nodes {
		n.settle()
	}
	var stops sync.WaitGroup
	stops.Go(s.nodes[first].stop)
	time.Sleep(offset)
	stops.Go(s.nodes[second].stop)
	stops.Wait()
	s.load.calm = window{from, time.Now()}
	s.awaitHealthy("stops", recoveryTimeout)
}

// held is a request of a held caller.
type held struct {
	outcome
	target  string
	request *http.Request
}

// heldCaller sends one to maxBehind requests at once on a connection, which it keeps until
// the daemon closes it, reads their answers, and begins again, until ctx ends. It does not
// wait for its last answers.
func (l *load) heldCaller(ctx context.Context, n *node, random *rand.Rand, name string) {
	var conn net.Conn
	var answers *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for number := 0; ctx.Err() == nil; number++ {
		batch := l.drawHeld(n, random, fmt.Sprintf("%s-%d", name, number))
		var err error
		if conn == nil {
			if conn, err = net.DialTimeout("tcp", n.host+":7481", deadlineSlack); err == nil {
				answers = bufio.NewReader(conn)
				opened := conn
				context.AfterFunc(ctx, func() { _ = opened.Close() })
			}
		}
		if conn != nil && !l.exchange(conn, answers, batch) {
			_ = conn.Close()
			conn = nil
		}
		l.mu.Lock()
		for _, h := range batch {
			if err != nil {
				h.answered, h.err = time.Now(), err
			}
			l.outcomes = append(l.outcomes, h.outcome)
		}
		l.mu.Unlock()
		time.Sleep(time.Duration(random.Int64N(int64(2 * heldPause))))
	}
}

// drawHeld returns the next requests of a held caller: reads, which daemons run side by side,
// or writes, whose bodies have a length, so that one follows the other.
func (l *load) drawHeld(n *node, random *rand.Rand, name string) []*held {
	var batch []*held
	write := random.IntN(2) == 0
	now := time.Now()
	for i := range 1 + random.IntN(maxBehind) {
		h := &held{outcome: outcome{id: fmt.Sprintf("held-%s-%d", name, i), node: n.number, write: write,
			sent: now, turn: now, deadline: heldDeadline, credential: calm}}
		if random.IntN(2) == 0 {
			h.id = slowMark + h.id
		}
		method, prefix := http.MethodGet, heldRead
		if h.write {
			method, prefix = http.MethodPost, heldWrite
		}
		h.target = prefix + h.id
		var err error
		if h.request, err = newRequest(context.Background(), n, method, h.target, h.id, h.key, heldDeadline); err != nil {
			l.problem("request %s: %v", h.id, err)
			continue
		}
		batch = append(batch, h)
	}
	return batch
}

// exchange sends requests with one write and reads their answers. It reports whether the
// connection can be used again.
func (l *load) exchange(conn net.Conn, answers *bufio.Reader, batch []*held) (open bool) {
	var text bytes.Buffer
	for _, h := range batch {
		// A buffer takes all writes.
		_ = h.request.Write(&text)
	}
	_, err := conn.Write(text.Bytes())
	open = true
	for i, h := range batch {
		if i > 0 && h.write {
			h.turn = batch[i-1].answered
		}
		var closes bool
		if err == nil {
			_ = conn.SetReadDeadline(time.Now().Add(heldDeadline + deadlineSlack))
			closes, err = l.readAnswer(answers, h)
		}
		h.answered, h.err = time.Now(), err
		open = open && err == nil && !closes
	}
	return open
}

// readAnswer reads the answer to a request, and reports whether the daemon closes the
// connection.
func (l *load) readAnswer(answers *bufio.Reader, h *held) (closes bool, err error) {
	response, err := http.ReadResponse(answers, h.request)
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false, err
	}
	l.checkAnswer(&h.outcome, response, string(body), h.target)
	return response.Close, nil
}

// checkStopsAlone reports the requests that were lost in the time with planned stops alone, and
// that no slow request was in flight during them.
func (l *load) checkStopsAlone(t *testing.T) {
	ran := map[string][]run{}
	for _, n := range l.nodes {
		for _, r := range runsOf([]*node{n}) {
			ran[r.ID] = append(ran[r.ID], run{r, n})
		}
	}
	inFlight := 0
	for _, o := range l.outcomes {
		if strings.HasPrefix(o.id, slowMark) && l.meetsStop(o) {
			inFlight++
		}
		if l.lost(o, ran[o.id]) {
			l.problem("request %s at node %d was lost beside planned stops: sent at %s, answered after %s, %d runs, status %d, %v", o.id, o.node,
				o.sent.Format(time.TimeOnly+".000"), o.answered.Sub(o.sent).Round(time.Millisecond), len(ran[o.id]), o.status, o.err)
		}
	}
	t.Logf("%d slow requests were in flight during planned stops of their daemons", inFlight)
	if inFlight == 0 {
		l.problem("no slow request was in flight during a planned stop of its daemon")
	}
}

// meetsStop reports whether a request is in flight during a planned stop of its daemon.
func (l *load) meetsStop(o outcome) bool {
	return slices.ContainsFunc(l.nodes[o.node].stopsIn(l.calm), func(stop plannedStop) bool {
		return o.sent.Before(stop.ended) && o.answered.After(stop.began)
	})
}

// lost reports whether a request that was sent and answered in the time with planned stops
// alone got no answer from a daemon that did not stop, or got one that a daemon gave in place
// of an upstream although time was left. Of requests that ran into the last sixth of the grace
// some may be broken off.
func (l *load) lost(o outcome, runs []run) bool {
	if o.sent.Before(l.calm.from) || o.answered.After(l.calm.to) {
		return false
	}
	if o.err != nil {
		// Those of daemons that stop are checked by checkPlannedStops.
		return len(l.nodes[o.node].stopsIn(l.calm)) == 0
	}
	inPlace := o.status == http.StatusBadGateway || o.status == http.StatusGatewayTimeout
	return inPlace && o.answered.Sub(o.turn) < o.deadline && !l.brokenOffLate(o, runs)
}

// run is a run of a request at the upstream of a node.
type run struct {
	platformtest.Run
	node *node
}

// brokenOffLate reports whether a request was sent no later than lateSend after a planned stop
// of its entry or executing daemon began and its upstream was at work on it in the last sixth
// of the grace.
func (l *load) brokenOffLate(o outcome, runs []run) bool {
	for _, r := range runs {
		for _, stop := range append(l.nodes[o.node].stopsIn(l.calm), r.node.stopsIn(l.calm)...) {
			late := stop.began.Add(lastSixth)
			if !o.sent.After(stop.began.Add(lateSend)) && r.At.Before(stop.ended) && (r.Ended.IsZero() || r.Ended.After(late)) {
				return true
			}
		}
	}
	return false
}

// settle makes the node's process count as undisturbed from now on.
func (n *node) settle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbed = false
}

// stopsIn returns the planned stops of a node that began in a window.
func (n *node) stopsIn(w window) []plannedStop {
	var stops []plannedStop
	for _, stop := range n.stops {
		if stop.began.After(w.from) && stop.began.Before(w.to) {
			stops = append(stops, stop)
		}
	}
	return stops
}

// TestLostRequestIsSeen covers what counts as lost beside planned stops.
func TestLostRequestIsSeen(t *testing.T) {
	began := time.Now()
	at := func(after time.Duration) time.Time { return began.Add(after) }
	stopping := &node{stops: []plannedStop{{began: began, ended: at(grace)}}}
	other := &node{}
	l := &load{nodes: []*node{stopping, other}, calm: window{at(-time.Second), at(grace + time.Second)}}
	runs := func(from, to time.Duration) []run {
		return []run{{platformtest.Run{At: at(from), Ended: at(to)}, stopping}}
	}
	late := lateSend + 100*time.Millisecond
	for name, c := range map[string]struct {
		node     int
		sent     time.Duration
		answered time.Duration
		status   int
		err      error
		runs     []run
		lost     bool
	}{
		"answered":                                 {1, 0, time.Second, http.StatusOK, nil, runs(0, time.Second), false},
		"refused":                                  {1, 0, time.Second, http.StatusServiceUnavailable, nil, nil, false},
		"connection closed":                        {1, 0, time.Second, 0, io.ErrUnexpectedEOF, nil, true},
		"connection closed before the stops":       {1, -2 * time.Second, time.Second, 0, io.ErrUnexpectedEOF, nil, false},
		"connection closed after the stops":        {1, time.Second, grace + 2*time.Second, 0, io.ErrUnexpectedEOF, nil, false},
		"no upstream got it":                       {1, 0, time.Second, http.StatusBadGateway, nil, nil, true},
		"broken off":                               {0, 0, time.Second, http.StatusGatewayTimeout, nil, runs(0, time.Second), true},
		"time over":                                {0, 0, heldDeadline, http.StatusGatewayTimeout, nil, runs(0, heldDeadline), false},
		"broken off in the last sixth":             {1, lateSend, lastSixth + time.Millisecond, http.StatusBadGateway, nil, runs(lateSend, lastSixth+time.Millisecond), false},
		"broken off in the last sixth, sent later": {1, late, lastSixth + time.Millisecond, http.StatusBadGateway, nil, runs(late, lastSixth+time.Millisecond), true},
		"broken off before the last sixth":         {1, lateSend, lastSixth - time.Millisecond, http.StatusBadGateway, nil, runs(lateSend, lastSixth-time.Millisecond), true},
	} {
		o := outcome{node: c.node, sent: at(c.sent), turn: at(c.sent), answered: at(c.answered), deadline: heldDeadline, status: c.status, err: c.err}
		if got := l.lost(o, c.runs); got != c.lost {
			t.Errorf("%s: got %t, want %t", name, got, c.lost)
		}
	}
}
