// Command popular shows that a request that many clients send is refused by all machines for
// minutes after two workers have crashed while they ran it, though it has crashed none.
package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"godwitmount/platform/platformtest"
	"godwitmount/review/rig3/rig"
)

const (
	contact = 3000 * time.Millisecond
	// downFor is how long crashed workers are down, and coldFor how long they are slow then.
	downFor = 3300 * time.Millisecond
	coldFor = 3 * time.Second
	// steadyFor is how long requests are counted after that.
	steadyFor = 20 * time.Second
	perNode   = 10
	popular   = "/added/today"
)

func main() { rig.Main(run) }

func config(version uint64, added bool) []byte {
	route := func(prefix string) platformtest.Route {
		return platformtest.Route{Host: "quotes.example", Prefix: prefix, Kind: platformtest.Idempotent, Service: "pricing", TimeoutMS: 1200, GoalMS: 250, MaxAttempts: 2}
	}
	routes := []platformtest.Route{route("/first/")}
	if added {
		routes = append(routes, route("/added/"))
	}
	return platformtest.Config(version, []string{"pricing"}, routes...)
}

func run() (*rig.Mesh, bool, error) {
	m, err := rig.NewMesh(false, "contact_ms=3000", "drain_ms=2000", "grace_s=6", "budget_ratio=0.2", "budget_window_s=10", "budget_extra=58")
	if err != nil {
		return nil, false, err
	}
	m.Store.Publish(config(1, false))
	for _, zone := range []string{"south-a", "south-b", "south-c"} {
		for number := 1; number <= 4; number++ {
			if _, err := m.AddNode(fmt.Sprintf("%s-%d", zone, number), zone, "pricing"); err != nil {
				return m, false, err
			}
		}
	}
	if err := m.AwaitReady(10 * time.Second); err != nil {
		return m, false, err
	}
	workers := make([]*rig.Worker, len(m.Nodes))
	for i, n := range m.Nodes {
		if workers[i], err = rig.StartWorker(workerOf(n), m.Record); err != nil {
			return m, false, err
		}
	}
	time.Sleep(2 * time.Second)
	m.Store.Publish(config(2, true))
	m.Record.Event("version 2 adds a route")
	time.Sleep(2500 * time.Millisecond)
	end := m.Record.Now() + 5*time.Second + downFor + coldFor + contact + steadyFor
	var clients sync.WaitGroup
	for _, n := range m.Nodes {
		m.SendEvery(&clients, n, perNode, end, func(number int) rig.Call {
			return rig.Call{Method: "GET", Host: "quotes.example", Path: fmt.Sprintf("/first/%d", number), Budget: 1200 * time.Millisecond}
		})
		m.SendEvery(&clients, n, perNode, end, func(int) rig.Call {
			return rig.Call{Method: "GET", Host: "quotes.example", Path: popular, Budget: 1200 * time.Millisecond}
		})
	}
	time.Sleep(5 * time.Second)
	if err := crash(m, workers); err != nil {
		return m, false, err
	}
	steady := m.Record.Now() + coldFor + contact
	clients.Wait()
	return m, judge(m, steady), nil
}

func workerOf(n *rig.Node) rig.WorkerConfig {
	return rig.WorkerConfig{ID: fmt.Sprintf("i-%s-%d", n.Name, time.Now().UnixMilli()), Service: n.Service, Zone: n.Zone, Address: n.App, Control: n.Control,
		Slots: 12, Born: time.Now().UnixMilli(), Work: 60 * time.Millisecond, Beat: rig.Beat}
}

// crash lets two of the workers that run the popular request crash, and starts them again.
func crash(m *rig.Mesh, workers []*rig.Worker) error {
	if !rig.Trouble() {
		time.Sleep(downFor)
		return nil
	}
	var crashed []int
	for deadline := m.Record.Now() + 5*time.Second; len(crashed) < 2; time.Sleep(time.Millisecond) {
		if m.Record.Now() > deadline {
			return errors.New("no two workers ran the request at once")
		}
		crashed = crashed[:0]
		for i, w := range workers {
			if len(crashed) < 2 && w.Running(popular) > 0 {
				crashed = append(crashed, i)
			}
		}
	}
	for _, i := range crashed {
		workers[i].Kill()
	}
	time.Sleep(downFor)
	for _, i := range crashed {
		if _, err := rig.StartWorker(workerOf(m.Nodes[i]), m.Record); err != nil {
			return err
		}
	}
	return nil
}

// judge compares how often requests on the two routes were served from a time on.
func judge(m *rig.Mesh, from time.Duration) bool {
	sent, served := map[bool]int{}, map[bool]int{}
	for _, request := range m.Record.Requests() {
		if request.Sent < from {
			continue
		}
		added := request.Path == popular
		sent[added]++
		if request.Status == 200 {
			served[added]++
		}
	}
	m.Record.Event("sent later than %.3f s: on the first route %d, served %d; on the added one %d, served %d",
		from.Seconds(), sent[false], served[false], sent[true], served[true])
	if sent[true] < 20 || sent[false] == 0 {
		return false
	}
	shareAdded, shareFirst := float64(served[true])/float64(sent[true]), float64(served[false])/float64(sent[false])
	return shareAdded < shareFirst/4
}
