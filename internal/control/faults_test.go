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
	do action
	// forgets is set when all memory of the mesh is lost, so that flows which
	// rest on it need not reach their end.
	forgets bool
	// applies tells which messages it fits; nil means all.
	applies func(m message) bool
}

func toProcess(m message) bool   { return m.to != platformName }
func fromProcess(m message) bool { return m.from != platformName }
func toPlatform(m message) bool  { return m.to == platformName }

// action is what is done about a message.
type action func(n *network, m message)

// after carries the message once with each delay.
func after(delays ...time.Duration) action {
	return func(n *network, m message) {
		for _, delay := range delays {
			n.carry(m, delay)
		}
	}
}

// then carries the message and does more after a delay.
func then(delay time.Duration, more action) action {
	return func(n *network, m message) {
		n.carry(m, linkDelay)
		n.After(delay, func() { more(n, m) })
	}
}

// during puts faults of the platform in force and does the rest under them.
func during(f platformstandin.Faults, rest action) action {
	return func(n *network, m message) {
		n.platformFault(f)
		rest(n, m)
	}
}

func restartReceiver(n *network, m message) { n.processes[m.to].start() }
func restartSender(n *network, m message)   { n.processes[m.from].start() }
func pauseReceiver(n *network, m message)   { n.processes[m.to].freeze(faultTime) }
func pauseSender(n *network, m message)     { n.processes[m.from].freeze(faultTime) }

var (
	platformDown = platformstandin.Faults{Outage: platformstandin.OutageRefuse}
	staleReads   = platformstandin.Faults{StaleRevisions: 3}
)

var faults = []fault{
	{name: "lost", do: after(), lasts: platformTimeout},
	{name: "repeated", do: after(linkDelay, 2*linkDelay)},
	{name: "repeated late", lasts: lateDelay, do: after(linkDelay, lateDelay)},
	{name: "crossed", do: after(crossDelay)},
	{name: "late", lasts: lateDelay, do: after(lateDelay)},
	{name: "late after a restart of the receiver", lasts: lateDelay, applies: toProcess, do: func(n *network, m message) {
		n.After(crossDelay, n.processes[m.to].start)
		n.carry(m, time.Second)
	}},
	{name: "then the receiver restarts", lasts: faultTime, applies: toProcess, do: then(linkDelay, restartReceiver)},
	{name: "then the sender restarts", lasts: faultTime, applies: fromProcess, do: then(0, restartSender)},
	{name: "then the receiver pauses", lasts: faultTime, applies: toProcess, do: then(linkDelay, pauseReceiver)},
	{name: "then the sender pauses", lasts: faultTime, applies: fromProcess, do: then(0, pauseSender)},
	{name: "platform down", lasts: faultTime, do: during(platformDown, after(linkDelay))},
	{name: "platform down, then the receiver restarts", lasts: faultTime, applies: toProcess,
		do: during(platformDown, then(linkDelay, restartReceiver))},
	{name: "platform's answer lost", lasts: faultTime, applies: toPlatform,
		do: during(platformstandin.Faults{LoseAnswers: 1}, after(linkDelay))},
	{name: "platform's reads stale", lasts: faultTime, do: during(staleReads, after(linkDelay))},
	{name: "platform's reads stale, then the receiver restarts", lasts: faultTime, applies: toProcess,
		do: during(staleReads, then(linkDelay, restartReceiver))},
	{name: "then all restart", lasts: faultTime, forgets: true,
		do: then(0, func(n *network, _ message) { n.restartAll("") })},
	{name: "then a data centre restarts", lasts: faultTime, forgets: true,
		do: then(0, func(n *network, _ message) { n.restartAll("k") })},
	{name: "data centres cut", lasts: faultTime, do: func(n *network, m message) {
		n.carry(m, linkDelay)
		n.cut = true
		n.After(faultTime, func() { n.cut = false })
	}},
}

// platformFault puts faults of the platform in force for a while.
func (n *network) platformFault(f platformstandin.Faults) {
	n.setFaults(f)
	n.After(faultTime, func() { n.setFaults(platformstandin.Faults{}) })
}

// restartAll kills all processes whose names have a prefix, and starts them
// again.
func (n *network) restartAll(prefix string) {
	for _, name := range n.names {
		if p := n.processes[name]; strings.HasPrefix(name, prefix) && !p.Down {
			p.restart()
		}
	}
}
