// Package faultlink forwards TCP connections for tests and simulates faults of the
// network on the way.
package faultlink

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is a fault of a network link that lasts until another one is set.
type Fault uint8

// Faults of a link.
const (
	// None means that the link works.
	None Fault = iota
	// Slow delays each chunk of data in both directions, by the time of SetDelay.
	Slow
	// Blocked forwards no data in either direction and resets nothing.
	Blocked
	// OneWay forwards no data from the target and resets nothing.
	OneWay
	// Reset resets open connections, and new ones as soon as they are accepted.
	Reset
)

const (
	// defaultDelay is the delay of each chunk on a slow link unless SetDelay sets one.
	defaultDelay = 60 * time.Millisecond
	// blockPoll is how often a blocked direction checks whether the fault is
	// over.
	blockPoll = 5 * time.Millisecond
	// ChunkSize is the largest number of bytes forwarded in one write.
	ChunkSize = 4 << 10
)

// Link is a TCP forwarder in front of a listener. Its methods may be called from any
// goroutine.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	// slowness is the delay of each chunk while the fault is Slow.
	slowness time.Duration
	// open is the set of connections to reset when the fault becomes Reset.
	open map[net.Conn]bool
	// silence is closed when the connections that are open fall silent, and then
	// replaced for new ones.
	silence chan struct{}
}

// New starts to forward connections from address to target, both host:port.
func New(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, slowness: defaultDelay, open: map[net.Conn]bool{}, silence: make(chan struct{})}
	go l.run()
	return l, nil
}

// Address returns the host:port at which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close stops accepting connections. Those that are open stay.
func (l *Link) Close() { _ = l.listener.Close() }

// Silence makes all open connections carry nothing for good, in both directions and
// without a reset, not even when one end closes. New connections work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.silence)
	l.silence = make(chan struct{})
}

func (l *Link) run() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

func (l *Link) forward(client net.Conn) {
	if activeFault, _ := l.activeFault(); activeFault == Reset {
		l.reset(client)
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		l.reset(client)
		return
	}
	l.mu.Lock()
	l.open[client], l.open[server] = true, true
	silence := l.silence
	l.mu.Unlock()
	go l.copy(client, server, silence, true)
	l.copy(server, client, silence, false)
}

// copy forwards the data of one direction until either connection ends, and then
// resets both, or until the connection falls silent. fromTarget says that from is
// the connection to the target.
func (l *Link) copy(to, from net.Conn, silence <-chan struct{}, fromTarget bool) {
	buffer := make([]byte, ChunkSize)
	for {
		n, err := from.Read(buffer)
		l.delay(fromTarget)
		if isClosed(silence) {
			// The other end must not see that this one closes.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			l.reset(to)
			l.reset(from)
			return
		}
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// delay waits for the delay of a slow link, and until the fault is over in a blocked
// direction.
func (l *Link) delay(fromTarget bool) {
	if activeFault, slowness := l.activeFault(); activeFault == Slow {
		time.Sleep(slowness)
	}
	for {
		activeFault, _ := l.activeFault()
		if activeFault != Blocked && (activeFault != OneWay || !fromTarget) {
			return
		}
		time.Sleep(blockPoll)
	}
}

func (l *Link) activeFault() (Fault, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.slowness
}

// SetDelay makes the link slow: each chunk is delayed by that time in each direction.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.slowness = Slow, delay
}

// SetFault sets the fault of the link. Reset applies to open connections at once.
func (l *Link) SetFault(fault Fault) {
	l.mu.Lock()
	l.fault = fault
	var dropped []net.Conn
	if fault == Reset {
		for conn := range l.open {
			dropped = append(dropped, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range dropped {
		l.reset(conn)
	}
}

// reset closes a connection with a TCP reset.
func (l *Link) reset(conn net.Conn) {
	l.mu.Lock()
	delete(l.open, conn)
	l.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
