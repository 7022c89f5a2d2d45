package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/gen/godwitmount/peer/v1/peerv1connect"
	"godwitmount/internal/membership"
	"godwitmount/test/harness"
)

// tablesCommand measures daemons that hold many records.
type tablesCommand struct {
	Records  []int         `long:"records" default:"96" default:"500" default:"2200" description:"how many records; may be repeated"`
	Daemons  int           `long:"daemons" default:"6" description:"real daemons that hold the records"`
	Idle     time.Duration `long:"idle" default:"20s" description:"how long the real daemons are watched at rest"`
	Versions int           `long:"versions" default:"10" description:"versions published to the real daemons"`
	Hours    int           `long:"hours" default:"24" description:"virtual hours of one reducer"`
}

// tableDataCentres is how many data centres a large table has.
const tableDataCentres = 14

// madeRecord is the i-th record of a table that no daemon stands behind. Its
// address refuses connections.
func madeRecord(i int, dataCentre string) membership.Record {
	return membership.Record{
		Instance:      fmt.Sprintf("%s-made-%04d", dataCentre, i),
		Incarnation:   1,
		Sequence:      2,
		DataCentre:    dataCentre,
		Address:       fmt.Sprintf("127.%d.%d.%d:9", 1+i/62500, i/250%250, 1+i%250),
		Service:       serviceName(i),
		Slots:         upstreamSlots,
		UpstreamState: membership.UpstreamReady,
		Liveness:      membership.Alive,
	}
}

// Execute implements flags.Commander.
func (c *tablesCommand) Execute([]string) error {
	machineLoad("begin")
	if err := c.reducers(); err != nil {
		return err
	}
	r := report{title: fmt.Sprintf("One of %d real daemons with a table of this many records", c.Daemons), size: "records",
		columns: []string{"% of a core", "resident MB", "heap MB", "B/s, each byte once", "ms of a core a version", "resident MB after versions"}}
	for _, records := range c.Records {
		err := withFleets([]int{c.Daemons}, func(f *fleet) error { return c.daemons(f, records, &r) })
		if err != nil {
			return err
		}
	}
	r.print()
	machineLoad("end")
	return nil
}

// daemons fills the tables of a small fleet and watches it.
func (c *tablesCommand) daemons(f *fleet, records int, r *report) error {
	if err := f.inject(records - f.count); err != nil {
		return err
	}
	if err := f.awaitUpstreams(records, f.mesh.Instances); err != nil {
		return err
	}
	f.settle()
	rest, err := f.observe(func() error { time.Sleep(c.Idle); return nil })
	if err != nil {
		return err
	}
	busy, err := f.observe(func() error { return f.publishSpaced(c.Versions, time.Second) })
	if err != nil {
		return err
	}
	const milli, mega = 1000, 1e6
	spent := busy.cpuSeconds - rest.cpuSeconds*busy.seconds/rest.seconds
	r.add(records, append(restOf(f, rest), milli*spent/float64(c.Versions*f.count), busy.resident/float64(f.count)/mega)...)
	return nil
}

// inject gives each daemon records of instances that do not exist, in further
// data centres, so that no daemon may declare them dead.
func (f *fleet) inject(count int) error {
	const batch = 200
	others := tableDataCentres - len(dataCentres)
	var members []*peerv1.Member
	for i := range count {
		members = append(members, membership.MemberOf(madeRecord(i, fmt.Sprintf("far-%02d", i%others))))
	}
	return each(f.mesh.Instances, func(_ int, instance *harness.Instance) error {
		client := peerv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+instance.Peer)
		for begin := 0; begin < count; begin += batch {
			request := &peerv1.ExchangeMembersRequest{
				Mesh:    meshName,
				From:    "measure",
				Members: members[begin:min(begin+batch, count)],
			}
			if _, err := client.ExchangeMembers(context.Background(), connect.NewRequest(request)); err != nil {
				return fmt.Errorf("inject records: %w", err)
			}
		}
		return nil
	})
}

// publishSpaced publishes versions with some time between them.
func (f *fleet) publishSpaced(versions int, spacing time.Duration) error {
	for range versions {
		if _, err := f.publish(); err != nil {
			return err
		}
		time.Sleep(spacing)
	}
	return nil
}
