// Command crash shows that a daemon ends with a panic when it goes on after a suspension: peers
// have announced large requests on the connection that they have since replaced.
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwitmount/platform/platformtest"
	"godwitmount/review/rig3/rig"
)

const (
	// fronts is the number of machines without a worker of the service. Their clients' requests all
	// go to the machine that is suspended.
	fronts = 8
	// linkKbps is the rate of each machine's network link. Requests take 0.8 of it.
	linkKbps  = 10_000
	bodyBytes = 2500
	perFront  = 50
	ownPerSec = 50
	timeout   = 600 * time.Millisecond
	work      = 20 * time.Millisecond
	slots     = 100
	// Each of the rounds is calm for calm, a suspension for suspended, and after.
	rounds    = 17
	calm      = 2500 * time.Millisecond
	suspended = 1800 * time.Millisecond
	// after is how long the daemon is watched after a suspension.
	after = time.Second
)

func main() { rig.Main(run) }

func run() (*rig.Mesh, bool, error) {
	m, err := rig.NewMesh(false, "contact_ms=3000", "grace_s=6")
	if err != nil {
		return nil, false, err
	}
	m.LinkKbps = linkKbps
	m.Store.Publish(platformtest.Config(1, []string{"box-office", "event-catalog"},
		platformtest.Route{Host: "seats.example", Prefix: "/seats/", Kind: platformtest.Idempotent, Service: "box-office", TimeoutMS: int(timeout.Milliseconds()), GoalMS: 250, MaxAttempts: 2}))
	for number := 0; number <= fronts; number++ {
		service := "event-catalog"
		if number == 0 {
			service = "box-office"
		}
		n, err := m.AddNode(fmt.Sprintf("sierra-%d", number), "sierra-a", service)
		if err != nil {
			return m, false, err
		}
		if _, err := rig.StartWorker(rig.WorkerConfig{ID: "i-" + n.Name, Service: service, Zone: n.Zone, Address: n.App, Control: n.Control,
			Slots: slots, Born: time.Now().UnixMilli(), Work: work, Beat: rig.Beat}, m.Record); err != nil {
			return m, false, err
		}
	}
	if err := m.AwaitReady(15 * time.Second); err != nil {
		return m, false, err
	}
	time.Sleep(3 * time.Second)
	m.Record.Event("clients begin")
	var clients sync.WaitGroup
	end := m.Record.Now() + rounds*(calm+suspended+after)
	for _, n := range m.Nodes[1:] {
		m.SendEvery(&clients, n, perFront, end, func(number int) rig.Call {
			return rig.Call{Method: "POST", Host: "seats.example", Path: fmt.Sprintf("/seats/%s-%d", n.Name, number), Budget: timeout, Body: strings.Repeat("x", bodyBytes)}
		})
	}
	m.SendEvery(&clients, m.Nodes[0], ownPerSec, end, func(number int) rig.Call {
		return rig.Call{Method: "GET", Host: "seats.example", Path: fmt.Sprintf("/seats/own-%d", number), Budget: timeout}
	})
	broken := disturb(m, m.Nodes[0])
	if !broken {
		clients.Wait()
	}
	return m, broken, nil
}

// disturb suspends a node's daemon again and again, and reports whether it has ended by itself.
func disturb(m *rig.Mesh, n *rig.Node) bool {
	for round := 1; round <= rounds; round++ {
		time.Sleep(calm)
		if rig.Trouble() {
			n.Signal(syscall.SIGSTOP)
		}
		time.Sleep(suspended)
		goesOn := m.Record.Now()
		if rig.Trouble() {
			n.Signal(syscall.SIGCONT)
			m.Record.Event("the daemon of %s goes on after its suspension number %d", n.Name, round)
		}
		select {
		case <-n.Ended():
		case <-time.After(after):
			continue
		}
		time.Sleep(after)
		m.Record.Event("it has ended by itself; %d of its own clients' requests of the next second had no answer; its log: %s", unanswered(m, n, goesOn), n.Panic())
		return !n.IsReady()
	}
	m.Record.Event("the daemon of %s runs on", n.Name)
	return false
}

// unanswered counts the requests that were sent to a node later than from and got no answer.
func unanswered(m *rig.Mesh, n *rig.Node, from time.Duration) int {
	count := 0
	for _, request := range m.Record.Requests() {
		if request.Node == n.Name && request.Sent > from && request.Answered > 0 && request.Status == 0 {
			count++
		}
	}
	return count
}
