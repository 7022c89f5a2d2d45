package soak

import (
	"net"
	"sync"
	"time"
)

// lineTrouble is what is wrong with a line.
type lineTrouble uint8

const (
	lineClear lineTrouble = iota
	// lineSlow delays each part that passes.
	lineSlow
	// lineSilent holds everything back; nothing is reset.
	lineSilent
	// lineOneWay holds back what comes from the target.
	lineOneWay
	// lineBroken resets what is open and refuses what is new.
	lineBroken
)

const (
	slowDelay = 60 * time.Millisecond
	holdStep  = 5 * time.Millisecond
	lineChunk = 16 << 10
)

// line is a forwarder between daemons that can be disturbed.
type line struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	trouble lineTrouble
	open    map[net.Conn]bool
}

func newLine(address, target string) (*line, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &line{listener: listener, target: target, open: map[net.Conn]bool{}}
	go l.run()
	return l, nil
}

func (l *line) run() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(client)
	}
}

func (l *line) forward(client net.Conn) {
	defer l.end(client)
	if l.state() == lineBroken {
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer l.end(server)
	l.mu.Lock()
	l.open[client], l.open[server] = true, true
	l.mu.Unlock()
	back := make(chan struct{})
	go func() {
		defer close(back)
		l.copy(client, server, true)
		l.end(client)
	}()
	l.copy(server, client, false)
	l.end(server)
	<-back
}

func (l *line) copy(to, from net.Conn, fromTarget bool) {
	buffer := make([]byte, lineChunk)
	for {
		n, err := from.Read(buffer)
		l.hold(fromTarget)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// hold waits for as long as the line lets nothing pass in a direction.
func (l *line) hold(fromTarget bool) {
	if l.state() == lineSlow {
		time.Sleep(slowDelay)
	}
	for {
		state := l.state()
		if state != lineSilent && (state != lineOneWay || !fromTarget) {
			return
		}
		time.Sleep(holdStep)
	}
}

func (l *line) state() lineTrouble {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trouble
}

func (l *line) set(trouble lineTrouble) {
	l.mu.Lock()
	l.trouble = trouble
	var broken []net.Conn
	if trouble == lineBroken {
		for conn := range l.open {
			broken = append(broken, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range broken {
		l.end(conn)
	}
}

// end resets a connection.
func (l *line) end(conn net.Conn) {
	l.mu.Lock()
	delete(l.open, conn)
	l.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
