// Command killer shows that a request that has crashed workers crashes workers again once all
// daemons were killed.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"godwitmount/platform/platformtest"
	"godwitmount/review/rig3/rig"
)

const (
	contact = 3000 * time.Millisecond
	// backAfter is how long a crashed worker is down.
	backAfter = 3 * time.Second
	killer    = "/orders/killer"
	// first and again are how many clients send the request at once, at as many machines.
	first, again = 9, 9
	// mayReach is how many retries may reach workers.
	mayReach = 3
	perNode  = 10
)

func main() { rig.Main(run) }

type scene struct {
	*rig.Mesh
	mu      sync.Mutex
	crashes int
	third   time.Duration
}

func run() (*rig.Mesh, bool, error) {
	m, err := rig.NewMesh(false, "contact_ms=3000", "drain_ms=2000", "grace_s=6", "budget_ratio=0.2", "budget_window_s=10", "budget_extra=56")
	if err != nil {
		return nil, false, err
	}
	s := &scene{Mesh: m}
	m.Store.Publish(platformtest.Config(1, []string{"orders-desk"},
		platformtest.Route{Host: "orders.example", Prefix: "/orders/", Kind: platformtest.Idempotent, Service: "orders-desk", TimeoutMS: 2000, GoalMS: 300, MaxAttempts: 2}))
	for _, zone := range []string{"kendal-a", "penrith-b", "lancaster-c"} {
		for number := 1; number <= 3; number++ {
			if _, err := m.AddNode(fmt.Sprintf("%s-%d", zone, number), zone, "orders-desk"); err != nil {
				return m, false, err
			}
		}
	}
	if err := m.AwaitReady(15 * time.Second); err != nil {
		return m, false, err
	}
	for _, n := range m.Nodes {
		if err := s.startWorker(n); err != nil {
			return m, false, err
		}
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	end := m.Record.Now() + 26*time.Second
	for _, n := range m.Nodes {
		m.SendEvery(&clients, n, perNode, end, func(number int) rig.Call {
			return rig.Call{Method: "GET", Host: "orders.example", Path: fmt.Sprintf("/orders/%d", number), Budget: 2 * time.Second}
		})
	}
	s.sendKiller(first)
	time.Sleep(backAfter + contact)
	if rig.Trouble() {
		m.Record.Event("all daemons are killed at once")
		for _, n := range m.Nodes {
			n.Signal(syscall.SIGKILL)
		}
		for _, n := range m.Nodes {
			<-n.Ended()
			if err := n.Start(); err != nil {
				return m, false, err
			}
		}
	}
	time.Sleep(contact + 3*time.Second)
	if err := m.AwaitReady(15 * time.Second); err != nil {
		return m, false, err
	}
	from := m.Record.Now()
	s.sendKiller(again)
	clients.Wait()
	return m, s.judge(from), nil
}

// startWorker starts a worker that starts again some time after it has crashed.
func (s *scene) startWorker(n *rig.Node) error {
	_, err := rig.StartWorker(rig.WorkerConfig{ID: fmt.Sprintf("i-%s-%d", n.Name, time.Now().UnixMilli()), Service: n.Service, Zone: n.Zone,
		Address: n.App, Control: n.Control, Slots: 9, Born: time.Now().UnixMilli(), Work: 90 * time.Millisecond, Beat: rig.Beat,
		CrashOn: killer, Crashed: func() { s.crashed(n) }}, s.Record)
	return err
}

func (s *scene) crashed(n *rig.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes++; s.crashes == mayReach {
		s.third = s.Record.Now()
	}
	time.AfterFunc(backAfter, func() {
		if err := s.startWorker(n); err != nil {
			s.Record.Event("the worker of %s could not start again: %v", n.Name, err)
		}
	})
}

// sendKiller sends the request that crashes workers from a number of clients at once.
func (s *scene) sendKiller(clients int) {
	s.Record.Event("%d clients send the request that crashes workers", clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := s.Nodes[i%len(s.Nodes)]
			status, _ := s.Send(n, rig.Call{Method: "GET", Host: "orders.example", Path: killer, Budget: 2 * time.Second})
			s.Record.Event("%s answers %d", n.Name, status)
		}()
	}
	wg.Wait()
}

// judge reports whether the request has reached workers in too many retries, sent later than
// contact after it has crashed the third.
func (s *scene) judge(from time.Duration) bool {
	s.mu.Lock()
	third, crashes := s.third, s.crashes
	s.mu.Unlock()
	reached := 0
	for _, request := range s.Record.Requests() {
		if request.Path == killer && third > 0 && request.Sent >= max(from, third+contact) {
			reached += len(request.Runs)
		}
	}
	s.Record.Event("the request has crashed its third worker at %.3f s, %d in all; runs of retries later than that: %d, allowed are %d",
		third.Seconds(), crashes, reached, mayReach)
	return reached > mayReach
}
