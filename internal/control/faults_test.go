package control

import (
	"strings"
	"time"

	"godwitmount/internal/platformstandin"
)

const (
	// crossDelay lets later messages pass, lateDelay every timeout.
	crossDelay = 60 * time.Millisecond
	lateDelay  = 7 * time.Second
	// faultTime is how long a state of fault lasts.
	faultTime = 6 * time.Second
)

// fault is what happens to one message of a flow, or right after it.
type fault struct {
	name string
	// lasts is until when its effects may delay what is asked, from the
	// message on.
	lasts time.Duration
	// do carries the message, or not.
	do func(n *network, m message)
	// forgets is set when all memory of the mesh is lost, so that flows which
	// rest on it need not reach their end.
	forgets bool
	// applies tells which messages it fits; nil means all.
	applies func(m message) bool
}

func toProcess(m message) bool   { return m.to != platformName }
func fromProcess(m message) bool { return m.from != platformName }
func toPlatform(m message) bool  { return m.to == platformName }

var faults = []fault{
	{name: "lost", do: func(*network, message) {}, lasts: platformTimeout},
	{name: "repeated", do: func(n *network, m message) {
		n.carry(m, linkDelay)
		n.carry(m, 2*linkDelay)
	}},
	{name: "repeated late", lasts: lateDelay, do: func(n *network, m message) {
		n.carry(m, linkDelay)
		n.carry(m, lateDelay)
	}},
	{name: "crossed", do: func(n *network, m message) { n.carry(m, crossDelay) }},
	{name: "late", lasts: lateDelay, do: func(n *network, m message) { n.carry(m, lateDelay) }},
	{name: "late after a restart of the receiver", lasts: lateDelay, applies: toProcess, do: func(n *network, m message) {
		n.after(crossDelay, n.processes[m.to].start)
		n.carry(m, time.Second)
	}},
	{name: "then the receiver restarts", lasts: faultTime, applies: toProcess, do: func(n *network, m message) {
		n.carry(m, linkDelay)
		n.after(linkDelay, n.processes[m.to].start)
	}},
	{name: "then the sender restarts", lasts: faultTime, applies: fromProcess, do: func(n *network, m message) {
		n.carry(m, linkDelay)
		n.after(0, n.processes[m.from].start)
	}},
	{name: "then the receiver pauses", lasts: faultTime, applies: toProcess, do: func(n *network, m message) {
		n.carry(m, linkDelay)
		n.after(linkDelay, func() { n.processes[m.to].freeze(faultTime) })
	}},
	{name: "then the sender pauses", lasts: faultTime, applies: fromProcess, do: func(n *network, m message) {
		n.carry(m, linkDelay)
		n.after(0, func() { n.processes[m.from].freeze(faultTime) })
	}},
	{name: "platform down", lasts: faultTime, do: func(n *network, m message) {
		n.platformFault(platformstandin.Faults{Outage: platformstandin.OutageRefuse})
		n.carry(m, linkDelay)
	}},
	{name: "platform down, then the receiver restarts", lasts: faultTime, applies: toProcess, do: func(n *network, m message) {
		n.platformFault(platformstandin.Faults{Outage: platformstandin.OutageRefuse})
		n.carry(m, linkDelay)
		n.after(linkDelay, n.processes[m.to].start)
	}},
	{name: "platform's answer lost", lasts: faultTime, applies: toPlatform, do: func(n *network, m message) {
		n.platformFault(platformstandin.Faults{LoseAnswers: 1})
		n.carry(m, linkDelay)
	}},
	{name: "platform's reads stale", lasts: faultTime, do: func(n *network, m message) {
		n.platformFault(platformstandin.Faults{StaleRevisions: 3})
		n.carry(m, linkDelay)
	}},
	{name: "platform's reads stale, then the receiver restarts", lasts: faultTime, applies: toProcess, do: func(n *network, m message) {
		n.platformFault(platformstandin.Faults{StaleRevisions: 3})
		n.carry(m, linkDelay)
		n.after(linkDelay, n.processes[m.to].start)
	}},
	{name: "then all restart", lasts: faultTime, forgets: true, do: func(n *network, m message) {
		n.carry(m, linkDelay)
		n.after(0, func() { n.restartAll("") })
	}},
	{name: "then a data centre restarts", lasts: faultTime, forgets: true, do: func(n *network, m message) {
		n.carry(m, linkDelay)
		n.after(0, func() { n.restartAll("k") })
	}},
	{name: "data centres cut", lasts: faultTime, do: func(n *network, m message) {
		n.carry(m, linkDelay)
		n.cut = true
		n.after(faultTime, func() { n.cut = false })
	}},
}

// platformFault puts faults of the platform in force for a while.
func (n *network) platformFault(f platformstandin.Faults) {
	n.setFaults(f)
	n.after(faultTime, func() { n.setFaults(platformstandin.Faults{}) })
}

// restartAll kills all processes whose names have a prefix, and starts them
// again.
func (n *network) restartAll(prefix string) {
	for _, name := range n.names {
		if p := n.processes[name]; strings.HasPrefix(name, prefix) && !p.down {
			p.restart()
		}
	}
}
