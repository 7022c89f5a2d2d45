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
	// writeTimeout ends a connection whose peer takes nothing.
	writeTimeout = 3 * time.Second
	// queueFrames is how many frames may wait to be written.
	queueFrames = 4096
	readBuffer  = 16 << 10
	writeBuffer = 32 << 10
)

// errLinkClosed is returned for frames that were not written any more.
var errLinkClosed = errors.New("connection between daemons is closed")

// link is one connection with a goroutine that writes and one that reads.
type link struct {
	conn  net.Conn
	out   chan []byte
	done  chan struct{}
	once  sync.Once
	epoch time.Time
	// heard is when the last frame arrived, in nanoseconds since epoch.
	heard atomic.Int64
}

func newLink(conn net.Conn) *link {
	l := &link{conn: conn, out: make(chan []byte, queueFrames), done: make(chan struct{}), epoch: time.Now()}
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
	select {
	case l.out <- buffer:
		return nil
	default:
		l.reset()
		return errLinkClosed
	}
}

// write writes queued frames, as many as there are at once.
func (l *link) write() {
	defer l.reset()
	writer := bufio.NewWriterSize(l.conn, writeBuffer)
	for {
		select {
		case <-l.done:
			return
		case buffer := <-l.out:
			if !l.writeAll(writer, buffer) {
				return
			}
		}
	}
}

func (l *link) writeAll(writer *bufio.Writer, buffer []byte) bool {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	for {
		if _, err := writer.Write(buffer); err != nil {
			return false
		}
		select {
		case buffer = <-l.out:
			continue
		default:
		}
		return writer.Flush() == nil
	}
}

// read hands each frame to take until the connection ends.
func (l *link) read(take func(*hopv1.Frame)) error {
	defer l.close()
	reader := bufio.NewReaderSize(l.conn, readBuffer)
	for {
		frame, err := readFrame(reader)
		if err != nil {
			return err
		}
		l.heard.Store(int64(time.Since(l.epoch)))
		take(frame)
	}
}

// silence is how long ago the last frame arrived.
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
