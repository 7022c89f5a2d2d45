package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// workTime is how long the workers of the report cases run a request.
const workTime = 20 * time.Millisecond

// reportCase is the deployment of the cases about reports: two workers of one service, of which
// one leaves, and clients on all machines.
type reportCase struct {
	play    *play
	leaving *node
	seen    *outcome
	cancel  context.CancelFunc
	clients sync.WaitGroup
}

// startReportCase starts the deployment without the worker that is to leave.
func startReportCase(p *play) (*reportCase, error) {
	r := route{name: "r-read", host: "read.example", prefix: "/read/", kind: "idempotent", service: "svc-a", timeoutMS: 2000}
	p.publish(1, []string{"svc-a", "svc-b"}, nil, r)
	for _, service := range []string{"svc-a", "svc-a", "svc-b"} {
		if _, err := p.addNode("zone-a", service); err != nil {
			return nil, err
		}
	}
	if err := p.awaitReady(); err != nil {
		return nil, err
	}
	for i, n := range p.nodes[1:] {
		if _, err := n.startWorker(fmt.Sprintf("i-other-%d", i), workTime); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &reportCase{play: p, leaving: p.nodes[0], seen: &outcome{}, cancel: cancel}
	for _, n := range p.nodes {
		c.clients.Add(1)
		go func() {
			defer c.clients.Done()
			n.traffic(ctx, r, http.MethodGet, 30*time.Millisecond, c.seen)
		}()
	}
	return c, nil
}

// end ends the clients.
func (c *reportCase) end() {
	c.cancel()
	c.clients.Wait()
	c.play.printf("answers by status (0: none): %s", c.seen)
}

// countLate returns the number of requests that reached the worker later than drain_ms after the
// ack of its leaving.
func (c *reportCase) countLate(w *worker, ackAt time.Time) int {
	const shown = 5
	count := 0
	for _, run := range w.arrivals() {
		if !run.at.After(ackAt.Add(drainTime)) {
			continue
		}
		if count++; count <= shown {
			c.play.printf("request %s reached %s %d ms after the ack", run.id, w.id, run.at.Sub(ackAt).Milliseconds())
		}
	}
	c.play.printf("%d requests reached the leaving worker later than %d ms after the ack of its leaving; it ran %d in all",
		count, drainTime.Milliseconds(), len(w.arrivals()))
	return count
}

// lateReport plays a worker that starts again under its id and leaves, and a report of its
// earlier run that arrives late.
func lateReport(p *play) (broken bool, err error) {
	c, err := startReportCase(p)
	if err != nil {
		return false, err
	}
	defer c.end()
	first, err := c.leaving.startWorker("i-same", workTime)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	// The first run sends one more report, which the network holds back, and crashes.
	late := first.report()
	sentAt := time.Now()
	p.printf("worker %s, born %d, sends a report, which is delayed: %s", first.id, first.born, late)
	first.crash()
	p.printf("worker %s, born %d, crashes", first.id, first.born)
	time.Sleep(time.Second)
	second, err := c.leaving.startWorker("i-same", workTime)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ackAt, err := second.leave()
	if err != nil {
		return false, err
	}
	// It goes on serving for drain_ms and a little longer.
	const delayAfterAck = 2700 * time.Millisecond
	time.Sleep(delayAfterAck)
	if p.trouble {
		status, err := first.post("Heartbeat", late)
		p.printf("the delayed report arrives %.1f s after it was sent: status %d, error %v", time.Since(sentAt).Seconds(), status, err)
	}
	time.Sleep(3 * time.Second)
	return c.countLate(second, ackAt) > 0, nil
}

// foreignReport plays a worker that leaves, and a report of another writer in its name that lacks
// fields and has one of another type.
func foreignReport(p *play) (broken bool, err error) {
	c, err := startReportCase(p)
	if err != nil {
		return false, err
	}
	defer c.end()
	w, err := c.leaving.startWorker("i-leaving", workTime)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ackAt, err := w.leave()
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if p.trouble {
		// There is no cold_left_ms, and the zone is a number.
		report := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":7,"version":"v1","slots":%d,"state":"ready","sequence":1,"born":%d}`,
			c.leaving.service, c.leaving.at(appPort), slots, time.Now().UnixMilli())
		status, err := w.post("Heartbeat", report)
		p.printf("another writer sends %s: status %d, error %v", report, status, err)
	}
	time.Sleep(4 * time.Second)
	return c.countLate(w, ackAt) > 0, nil
}
