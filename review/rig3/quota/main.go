// Command quota shows that two daemons of a data centre that are cut off from each other both
// grant the whole allowance of the data centre.
package main

import (
	"fmt"
	"sync"
	"time"

	"godwitmount/platform/platformtest"
	"godwitmount/review/rig3/rig"
)

const (
	// rate and burst are the tenant's allowance; window, excess and slack the rule's.
	rate, burst   = 40.0, 40.0
	window        = 5 * time.Second
	excess, slack = 0.1, 20.0
	// sentPerSecond are the requests of the tenant at each of the two machines of its zone.
	sentPerSecond = 80
	key           = "7yx5x42q492cqf75rjvz"
	cutAfter      = 12 * time.Second
	cutFor        = 12 * time.Second
	calmAfter     = 4 * time.Second
)

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
				Slots: 9, Born: time.Now().UnixMilli(), Work: 5 * time.Millisecond, Beat: rig.Beat}, m.Record); err != nil {
				return m, false, err
			}
		}
	}
	if err := m.AwaitReady(15 * time.Second); err != nil {
		return m, false, err
	}
	time.Sleep(3 * time.Second)
	m.Record.Event("the tenant's clients begin")
	began := m.Record.Now()
	var clients sync.WaitGroup
	for _, n := range m.Nodes[:2] {
		m.SendEvery(&clients, n, sentPerSecond, began+cutAfter+cutFor+calmAfter, func(number int) rig.Call {
			return rig.Call{Method: "GET", Host: "seats.example", Path: fmt.Sprintf("/seats/%d", number), Key: key, Budget: 1500 * time.Millisecond}
		})
	}
	time.Sleep(cutAfter)
	cutOff := m.Nodes[1].Name
	if rig.Trouble() {
		m.Record.Event("%s is cut off from all other machines of the system", cutOff)
		m.Network.Isolate(cutOff, true)
	}
	time.Sleep(cutFor)
	if rig.Trouble() {
		m.Record.Event("the cut of %s ends", cutOff)
		m.Network.Isolate(cutOff, false)
	}
	clients.Wait()
	return m, judge(m), nil
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
