package soak

import (
	"net"
	"sync"
	"time"
)

// linkFault is a fault of a network link.
type linkFault uint8

const (
	linkHealthy linkFault = iota
	// linkSlow delays each chunk of data in both directions.
	linkSlow
	// linkBlocked forwards no data in either direction and resets nothing.
	linkBlocked
	// linkOneWay forwards no data from the target and resets nothing.
	linkOneWay
	// linkReset resets open connections, and new ones as soon as they are
	// accepted.
	linkReset
)

const (
	// slowDelay is the delay of each chunk on a slow link.
	slowDelay = 60 * time.Millisecond
	// blockPoll is how often a blocked direction checks whether the fault is
	// over.
	blockPoll = 5 * time.Millisecond
	// chunkSize is the largest number of bytes forwarded in one write.
	chunkSize = 16 << 10
)

// link is a TCP forwarder in front of a daemon's peer listener. It simulates
// faults of the network between daemons.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	// open is the set of connections to reset when the fault becomes linkReset.
	open map[net.Conn]bool
}

// newLink starts to forward connections from address to target, both host:port.
func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, open: map[net.Conn]bool{}}
	go l.run()
	return l, nil
}

func (l *link) run() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

func (l *link) forward(client net.Conn) {
	defer l.reset(client)
	if l.activeFault() == linkReset {
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer l.reset(server)
	l.mu.Lock()
	l.open[client], l.open[server] = true, true
	l.mu.Unlock()
	returnDone := make(chan struct{})
	go func() {
		defer close(returnDone)
		l.copy(client, server, true)
		l.reset(client)
	}()
	l.copy(server, client, false)
	l.reset(server)
	<-returnDone
}

// copy forwards the data of one direction until either connection ends.
// fromTarget says that from is the connection to the target.
func (l *link) copy(to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		l.delay(fromTarget)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// delay waits for slowDelay on a slow link, and until the fault is over in a
// blocked direction.
func (l *link) delay(fromTarget bool) {
	if l.activeFault() == linkSlow {
		time.Sleep(slowDelay)
	}
	for {
		activeFault := l.activeFault()
		if activeFault != linkBlocked && (activeFault != linkOneWay || !fromTarget) {
			return
		}
		time.Sleep(blockPoll)
	}
}

func (l *link) activeFault() linkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

func (l *link) setFault(fault linkFault) {
	l.mu.Lock()
	l.fault = fault
	var dropped []net.Conn
	if fault == linkReset {
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
func (l *link) reset(conn net.Conn) {
	l.mu.Lock()
	delete(l.open, conn)
	l.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
