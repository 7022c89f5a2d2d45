// Command drain shows that a worker whose machine's time of day has jumped back gets an
// acknowledgement when it leaves, and requests for seconds after that.
package main

import (
	"fmt"
	"sync"
	"time"

	"godwitmount/platform/platformtest"
	"godwitmount/review/rig3/rig"
)

const (
	// drainAfter is drain_ms, and contact is contact_ms.
	drainAfter = 2000 * time.Millisecond
	contact    = 3000 * time.Millisecond
	// step is how far the time of day jumps back.
	step = 2400 * time.Millisecond
	// lingers is how long the worker serves after it has left.
	lingers = 9 * time.Second
	perNode = 30
)

func main() { rig.Main(run) }

func run() (*rig.Mesh, bool, error) {
	m, err := rig.NewMesh(false, "contact_ms=3000", "drain_ms=2000", "grace_s=6", "budget_ratio=0.2", "budget_window_s=10", "budget_extra=56")
	if err != nil {
		return nil, false, err
	}
	m.Store.Publish(platformtest.Config(1, []string{"orders-desk"},
		platformtest.Route{Host: "orders.example", Prefix: "/orders/", Kind: platformtest.Idempotent, Service: "orders-desk", TimeoutMS: 2000, GoalMS: 300, MaxAttempts: 2}))
	for _, zone := range []string{"kendal-a", "penrith-b", "lancaster-c"} {
		for number := 1; number <= 2; number++ {
			if _, err := m.AddNode(fmt.Sprintf("%s-%d", zone, number), zone, "orders-desk"); err != nil {
				return m, false, err
			}
		}
	}
	if err := m.AwaitReady(15 * time.Second); err != nil {
		return m, false, err
	}
	for _, n := range m.Nodes[1:] {
		if _, err := rig.StartWorker(workerOf(n, time.Now().UnixMilli()), m.Record); err != nil {
			return m, false, err
		}
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	end := m.Record.Now() + 16*time.Second
	for _, n := range m.Nodes {
		m.SendEvery(&clients, n, perNode, end, func(number int) rig.Call {
			return rig.Call{Method: "GET", Host: "orders.example", Path: fmt.Sprintf("/orders/%d", number), Budget: 2 * time.Second}
		})
	}
	broken, err := leave(m)
	clients.Wait()
	return m, broken(), err
}

func workerOf(n *rig.Node, born int64) rig.WorkerConfig {
	return rig.WorkerConfig{ID: "i-" + n.Name, Service: n.Service, Zone: n.Zone, Address: n.App, Control: n.Control,
		Slots: 9, Born: born, Work: 90 * time.Millisecond, Beat: rig.Beat}
}

// leave starts the worker of the first machine, lets it crash and start again under its id after
// the time of day has jumped back, and lets that one leave. It returns the check.
func leave(m *rig.Mesh) (broken func() bool, err error) {
	never := func() bool { return false }
	n := m.Nodes[0]
	first, err := rig.StartWorker(workerOf(n, time.Now().UnixMilli()), m.Record)
	if err != nil {
		return never, err
	}
	time.Sleep(time.Second)
	jump := time.Duration(0)
	if rig.Trouble() {
		jump = step
		m.Record.Event("the time of day of %s jumps back by %s", n.Name, jump)
	}
	jumped := m.Record.Now()
	time.Sleep(200 * time.Millisecond)
	first.Kill()
	time.Sleep(500 * time.Millisecond)
	second, err := rig.StartWorker(workerOf(n, time.Now().Add(-jump).UnixMilli()), m.Record)
	if err != nil {
		return never, err
	}
	time.Sleep(time.Second)
	second.StopBeats()
	status, err := second.Leave()
	acknowledged := m.Record.Now()
	m.Record.Event("worker %s leaves, answer %d, error %v", workerOf(n, 0).ID, status, err)
	if err != nil || status < 200 || status > 299 {
		return never, fmt.Errorf("the leaving was not acknowledged: status %d, error %w", status, err)
	}
	time.AfterFunc(lingers, second.Kill)
	return func() bool { return judge(m, workerOf(n, 0).ID, jumped, acknowledged) }, nil
}

// judge reports whether requests have reached the worker later than allowed after the
// acknowledgement, while the machine that runs it was in touch again.
func judge(m *rig.Mesh, worker string, jumped, acknowledged time.Duration) bool {
	from := max(acknowledged+drainAfter, jumped+contact)
	late, last := 0, time.Duration(0)
	for _, request := range m.Record.Requests() {
		for _, run := range request.Runs {
			if run.Worker == worker && run.At > from {
				late++
				last = max(last, run.At)
			}
		}
	}
	m.Record.Event("acknowledged at %.3f s; requests that reached %s later than %.3f s: %d, the last at %.3f s",
		acknowledged.Seconds(), worker, from.Seconds(), late, last.Seconds())
	return late > 0
}
