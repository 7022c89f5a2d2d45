package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

const (
	// goneLimit is how long after its caller has disconnected a request may run.
	goneLimit = 500 * time.Millisecond
	// longRoute is the prefix of a route to service back. Its requests for longTarget run
	// for longWork if nobody ends them: longer than maxLeaveAfter and goneLimit together, and
	// not longer than a planned stop waits for them (0.3 of its grace of 6 s).
	longRoute  = "/long/"
	longTarget = longRoute + "gone-"
	longWork   = deadline
	// maxLeaveAfter is the longest time after which a caller of longRoute disconnects.
	maxLeaveAfter = 600 * time.Millisecond
)

// departure is a request whose caller has disconnected before the answer.
type departure struct {
	id   string
	node int
	left time.Time
}

// leaver sends requests for longRoute one after the other. It disconnects before the answers
// of half of them and waits for those of the others: an upstream names its limit only in
// answers.
func (l *load) leaver(ctx context.Context, n *node, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("gone-%d-%d", n.number, number)
		l.leave(client, n, "stay-"+id, deadline+deadlineSlack)
		if l.leave(client, n, id, time.Duration(random.Int64N(int64(maxLeaveAfter)))) {
			l.mu.Lock()
			l.departures = append(l.departures, departure{id, n.number, time.Now()})
			l.mu.Unlock()
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanCallPause))))
	}
}

// leave sends one request and closes the connection leaveAfter later. It returns false if
// the answer came first.
func (l *load) leave(client *http.Client, n *node, id string, leaveAfter time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	request, err := newRequest(ctx, n, http.MethodGet, longRoute+id, id, calmKey, deadline)
	if err != nil {
		l.problem("request %s: %v", id, err)
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		// The caller has disconnected, or the daemon has ended.
		return true
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err != nil
}

// checkDepartures reports requests that ran on at an upstream although their callers had
// disconnected. The time until the entry and the executing daemon were last disturbed
// does not count, nor that in which the machine was too busy to run them.
func (l *load) checkDepartures(disturbances *disturbances) {
	departures := map[string]departure{}
	for _, d := range l.departures {
		departures[d.id] = d
	}
	abandoned := 0
	for _, n := range l.nodes {
		for _, run := range runsOf([]*node{n}) {
			d, left := departures[run.ID]
			if !left {
				continue
			}
			abandoned++
			end, settled := disturbances.settled(d.left, goneLimit, reach(d.node), process(d.node), reach(n.number), process(n.number), theMachine)
			if settled && (run.Ended.IsZero() || run.Ended.After(end)) {
				l.problem("request %s of node %d, whose caller had disconnected, ran at node %d %s",
					d.id, d.node, n.number, overrun(run.Ended, d.left, end))
			}
		}
	}
	if abandoned == 0 {
		l.problem("no request ran whose caller disconnected")
	}
}

// overrun describes how long a run went on after its caller had left and after it had to end.
// Ended is zero for a run that has not ended.
func overrun(ended, left, end time.Time) string {
	if ended.IsZero() {
		return "and has not ended"
	}
	return fmt.Sprintf("for %s after that, %s longer than allowed",
		ended.Sub(left).Round(time.Millisecond), ended.Sub(end).Round(time.Millisecond))
}

// TestOverrunOfARunThatHasNotEnded covers the failure text, which gave a huge negative time.
func TestOverrunOfARunThatHasNotEnded(t *testing.T) {
	left := time.Now()
	end := left.Add(goneLimit)
	for ended, want := range map[time.Time]string{
		{}:                             "and has not ended",
		end.Add(20 * time.Millisecond): "for 520ms after that, 20ms longer than allowed",
	} {
		if got := overrun(ended, left, end); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
