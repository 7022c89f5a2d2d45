package hop

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

const (
	// writeTimeout ends a connection whose peer does not take a batch. Where many
	// connections fill one line, each gets its part slowly; whether the peer is
	// there is seen from its signs.
	writeTimeout = 10 * time.Second
	// readBuffer is in bytes; larger bodies are read past it.
	readBuffer = 4 << 10
)

// errLinkClosed is returned for frames that were not written any more.
var errLinkClosed = errors.New("connection between daemons is closed")

// link is one connection with a goroutine that writes and one that reads.
type link struct {
	conn  net.Conn
	out   outbox
	done  chan struct{}
	once  sync.Once
	epoch time.Time
	// heard is when anything arrived last, in nanoseconds since epoch.
	heard atomic.Int64
}

func newLink(conn net.Conn) *link {
	l := &link{conn: conn, out: newOutbox(), done: make(chan struct{}), epoch: time.Now()}
	go l.write()
	return l
}

// send queues a frame. It never blocks.
func (l *link) send(frame *hopv1.Frame) error {
	buffer, err := encode(frame)
	if err != nil {
		return err
	}
	select {
	case <-l.done:
		return errLinkClosed
	default:
	}
	if !l.out.put(buffer) {
		l.reset()
		return errLinkClosed
	}
	return nil
}

// write writes queued frames, as many as there are at once.
func (l *link) write() {
	defer l.reset()
	for {
		select {
		case <-l.done:
			return
		case <-l.out.filled:
		}
		for batch := l.out.take(); len(batch) > 0; batch = l.out.take() {
			if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return
			}
			if _, err := batch.WriteTo(l.conn); err != nil {
				return
			}
		}
	}
}

// read hands each frame to take until the connection ends.
func (l *link) read(take func(*hopv1.Frame)) error {
	defer l.close()
	reader := bufio.NewReaderSize(l, readBuffer)
	for {
		frame, err := readFrame(reader)
		if err != nil {
			return err
		}
		take(frame)
	}
}

// Read implements io.Reader. Parts of a large frame are signs of the peer, too.
func (l *link) Read(buffer []byte) (int, error) {
	n, err := l.conn.Read(buffer)
	if n > 0 {
		l.heard.Store(int64(time.Since(l.epoch)))
	}
	return n, err
}

// silence is how long ago anything arrived.
func (l *link) silence() time.Duration {
	return time.Since(l.epoch) - time.Duration(l.heard.Load())
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// reset ends the connection and drops what the peer has not received yet.
// Otherwise requests that were held up by a cut would run after it.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.done)
		if tcp, ok := l.conn.(*net.TCPConn); ok {
			// Without it the end is only less sudden.
			_ = tcp.SetLinger(0)
		}
		_ = l.conn.Close()
	})
}
