package hop

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/shaping"
)

const (
	// writeTimeout bounds the write of one batch; when it expires, the connection
	// is reset. It is long because many connections that share a saturated network
	// link each make slow progress. The daemon that opened the connection detects a
	// dead peer earlier, by the read timeout.
	writeTimeout = 10 * time.Second
	// readBuffer is the size in bytes of the read buffer. Larger bodies bypass it.
	readBuffer = 4 << 10
)

// errConnClosed is returned for a frame that was not sent because the
// connection is closed.
var errConnClosed = errors.New("connection between daemons is closed")

// peerConn is one connection between two daemons. It writes from a goroutine of
// its own; read runs on the caller's.
type peerConn struct {
	conn net.Conn
	// link is the machine's network link, which all connections share.
	link  *shaping.Link
	out   outbox
	parts *partSender
	// grants grants what the peer announces.
	grants *partGranter
	// done is closed by cancel, with the connection.
	done      <-chan struct{}
	cancel    context.CancelFunc
	closeOnce sync.Once
	// writeClosed is set by closeWrite.
	writeClosed atomic.Bool
	epoch       time.Time
	// lastReceived is when data last arrived, lastWritten when a batch was last written,
	// in nanoseconds since epoch.
	lastReceived atomic.Int64
	// drainConfirmed is set once the peer has confirmed that it sends no more requests.
	drainConfirmed atomic.Bool
	lastWritten    atomic.Int64
}

func newPeerConn(conn net.Conn, link *shaping.Link) *peerConn {
	ctx, cancel := context.WithCancel(context.Background())
	pc := &peerConn{conn: conn, link: link, out: newOutbox(), done: ctx.Done(), cancel: cancel, epoch: time.Now()}
	pc.parts = newPartSender(ctx, link, pc.put, pc.out.awaitRoom)
	pc.grants = newPartGranter(link.Inbound(), pc.send)
	go pc.write()
	return pc
}

// send queues a frame and never blocks. It returns errFrameTooLarge for a frame
// above MaxFrame, and errConnClosed if the connection is closed. It resets a
// connection whose outbox is full.
func (pc *peerConn) send(frame *hopv1.Frame) error { return pc.sendTracked(frame, nil) }

// sendTracked is send. It sets sent, if that is not nil, before the last byte is queued.
func (pc *peerConn) sendTracked(frame *hopv1.Frame, sent *atomic.Bool) error {
	if frame.GetCancel() != nil {
		pc.parts.cancel(frame.Stream)
		defer pc.parts.cancelSent(frame.Stream)
	}
	buffer, err := encode(frame)
	if err != nil {
		return err
	}
	isConfig := frame.GetConfigAnswer() != nil
	return pc.sendEncoded(outgoing{
		stream:  frame.Stream,
		encoded: buffer,
		// A late configuration harms all requests; a late answer harms one.
		urgent: isConfig,
		// A request that arrived before the Resume would not be among the wanted ones.
		whole:       frame.GetResume() != nil,
		cancellable: isConfig,
		request:     frame.GetRequest(),
		sentUs:      frame.SentUs,
		sent:        sent,
	})
}

// sendEncoded is send for the result of encode.
func (pc *peerConn) sendEncoded(frame outgoing) error {
	if isClosed(pc.done) || pc.writeClosed.Load() {
		return errConnClosed
	}
	if !frame.whole && pc.parts.takes(frame.encoded) {
		pc.parts.start(frame)
		return nil
	}
	pc.link.Consume(len(frame.encoded))
	frame.markSent()
	return pc.put(frame.encoded)
}

// put queues an encoded frame.
func (pc *peerConn) put(buffer []byte) error {
	if isClosed(pc.done) || pc.writeClosed.Load() {
		return errConnClosed
	}
	if !pc.out.put(buffer) {
		pc.reset()
		return errConnClosed
	}
	return nil
}

// allWritten reports whether all frames were written, those in parts included.
func (pc *peerConn) allWritten() bool { return pc.parts.allQueued() && pc.out.allWritten() }

// write writes queued frames in batches until the connection is closed.
func (pc *peerConn) write() {
	defer pc.reset()
	for {
		select {
		case <-pc.done:
			return
		case <-pc.out.ready:
		}
		for batch := pc.out.nextBatch(); len(batch) > 0; batch = pc.out.nextBatch() {
			if err := pc.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return
			}
			if _, err := batch.WriteTo(pc.conn); err != nil {
				return
			}
			pc.lastWritten.Store(int64(time.Since(pc.epoch)))
		}
	}
}

// read calls handle with each received frame until the connection ends, closes
// it, and returns the error that ended it.
func (pc *peerConn) read(handle func(*hopv1.Frame)) error {
	defer pc.grants.close()
	defer pc.close()
	reader := bufio.NewReaderSize(pc, readBuffer)
	parts := newPartReceiver()
	for {
		received, size, err := readFrame(reader)
		if err != nil {
			return err
		}
		pc.grants.received(received, size)
		frame, err := parts.receive(received)
		if err != nil {
			return err
		}
		if frame == nil {
			continue
		}
		switch body := frame.Body.(type) {
		case *hopv1.Frame_Hello:
			pc.parts.helloReceived(body.Hello)
		case *hopv1.Frame_PartGrant:
			pc.parts.grant(frame.Stream, int(body.PartGrant.GetBytes()))
		case *hopv1.Frame_PartAnnounce:
			if body.PartAnnounce.GetBytes() > MaxFrame {
				return errFrameTooLarge
			}
		}
		handle(frame)
	}
}

// Read implements io.Reader. It records the time of all received data, since
// parts of a large frame show that the peer is alive, too.
func (pc *peerConn) Read(buffer []byte) (int, error) {
	n, err := pc.conn.Read(buffer)
	if n > 0 {
		pc.lastReceived.Store(int64(time.Since(pc.epoch)))
	}
	return n, err
}

// idleTime returns the time since data last arrived.
func (pc *peerConn) idleTime() time.Duration {
	return time.Since(pc.epoch) - time.Duration(pc.lastReceived.Load())
}

// quietTime returns the time since data last arrived or was written.
func (pc *peerConn) quietTime() time.Duration {
	last := max(pc.lastReceived.Load(), pc.lastWritten.Load())
	return time.Since(pc.epoch) - time.Duration(last)
}

// closeWrite ends the writing: frames are not sent any more. The connection stays open for the
// peer to close it. All frames must have been written.
func (pc *peerConn) closeWrite() {
	pc.writeClosed.Store(true)
	if inner, ok := pc.conn.(interface{ CloseWrite() error }); ok {
		// If this fails, the connection has ended.
		_ = inner.CloseWrite()
	}
}

// close closes the connection. Data that was already written is still sent.
func (pc *peerConn) close() {
	pc.closeOnce.Do(func() {
		pc.cancel()
		_ = pc.conn.Close()
	})
}

// reset closes the connection and discards data that the peer has not received.
// Otherwise requests delayed by a network partition would run once it ends.
func (pc *peerConn) reset() {
	pc.closeOnce.Do(func() {
		pc.cancel()
		if tcp, ok := pc.conn.(*net.TCPConn); ok {
			// If this fails, Close still sends pending data in the background.
			_ = tcp.SetLinger(0)
		}
		_ = pc.conn.Close()
	})
}
