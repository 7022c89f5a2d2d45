// Command share shows that a data centre whose machines lose power while it is cut off takes an
// equal share of an allowance that another one has.
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
	// rate and burst are the tenant's allowance; window, excess and slack those of the rule.
	rate, burst   = 300.0, 30.0
	window        = 5 * time.Second
	excess, slack = 0.1, 20.0
	key           = "7yx5x42q492cqf75rjvz"
	// calm is how long the tenant's clients are in the first zone alone.
	calm   = 20 * time.Second
	cutFor = 6300 * time.Millisecond
	after  = 5 * time.Second
)

// perNode is how many requests a second the tenant's clients send at each machine of the zones.
var perNode = [3]float64{300, 150, 45}

func main() { rig.Main(run) }

func run() (*rig.Mesh, bool, error) {
	m, err := rig.NewMesh(true)
	if err != nil {
		return nil, false, err
	}
	config := platformtest.Config(1, []string{"box-office"},
		platformtest.Route{Host: "seats.example", Prefix: "/seats/", Kind: platformtest.Idempotent, Service: "box-office", TimeoutMS: 1500, GoalMS: 500, MaxAttempts: 2})
	m.Store.Publish(platformtest.WithTenants(config, platformtest.Tenant{Name: "huka270", APIKeys: []string{key}, RatePerSec: rate, Burst: burst}))
	for _, zone := range []string{"sierra-a", "sierra-b", "sierra-c"} {
		for number := 1; number <= 2; number++ {
			n, err := m.AddNode(fmt.Sprintf("%s-%d", zone, number), zone, "box-office")
			if err != nil {
				return m, false, err
			}
			if _, err := rig.StartWorker(rig.WorkerConfig{ID: "i-" + n.Name, Service: n.Service, Zone: zone, Address: n.App, Control: n.Control,
				Slots: 20, Born: time.Now().UnixMilli(), Work: 5 * time.Millisecond, Beat: rig.Beat}, m.Record); err != nil {
				return m, false, err
			}
		}
	}
	if err := m.AwaitReady(15 * time.Second); err != nil {
		return m, false, err
	}
	time.Sleep(3 * time.Second)
	m.Record.Event("the tenant's clients begin in the first zone")
	end := m.Record.Now() + calm + cutFor + after
	var clients sync.WaitGroup
	send := func(zone int) {
		for _, n := range m.Nodes[2*zone : 2*zone+2] {
			m.SendEvery(&clients, n, perNode[zone], end, func(number int) rig.Call {
				return rig.Call{Method: "GET", Host: "seats.example", Path: fmt.Sprintf("/seats/%d", number), Key: key, Budget: 1500 * time.Millisecond}
			})
		}
	}
	send(0)
	time.Sleep(calm)
	if err := cut(m, m.Nodes[2], m.Nodes[3]); err != nil {
		return m, false, err
	}
	m.Record.Event("the tenant's clients begin in the other zones")
	send(1)
	send(2)
	time.Sleep(cutFor)
	if rig.Trouble() {
		m.Network.IsolateGroup()
		m.Record.Event("the cut ends")
	}
	clients.Wait()
	return m, judge(m), nil
}

// cut cuts the second zone off, and kills its daemons, which start again at once.
func cut(m *rig.Mesh, nodes ...*rig.Node) error {
	if !rig.Trouble() {
		return nil
	}
	m.Record.Event("%s and %s are cut off from the other zones, and their daemons are killed", nodes[0].Name, nodes[1].Name)
	m.Network.IsolateGroup(nodes[0].Name, nodes[1].Name)
	for _, n := range nodes {
		n.Signal(syscall.SIGKILL)
	}
	for _, n := range nodes {
		<-n.Ended()
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// judge reports whether in some window more requests of the tenant were both sent and run than the
// rule allows.
func judge(m *rig.Mesh) bool {
	allowed := (rate*window.Seconds()+burst)*(1+excess) + slack
	most, at := 0, time.Duration(0)
	all := m.Record.Requests()
	for i := range all {
		from, count := all[i].Sent, 0
		for _, other := range all[i:] {
			if other.Sent > from+window {
				break
			}
			if len(other.Runs) > 0 && other.Runs[0].At <= from+window {
				count++
			}
		}
		if count > most {
			most, at = count, from
		}
	}
	m.Record.Event("most requests of the tenant sent and run in %s: %d, from %.3f s on; allowed are %.0f", window, most, at.Seconds(), allowed)
	return float64(most) > allowed
}
