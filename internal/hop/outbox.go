package hop

import (
	"context"
	"net"
	"sync"
)

const (
	// maxQueuedBytes bounds the bytes that wait to be written. An empty queue
	// accepts a frame of any size.
	maxQueuedBytes = 32 << 20
	// maxBatchBytes bounds a single write. The slowest network links in use
	// transmit it in a fraction of writeTimeout, even when a hundred connections
	// share the link.
	maxBatchBytes = 64 << 10
	// maxQueuedParts is the number of queued bytes up to which a part of a large frame is
	// queued. One batch waits while another is written.
	maxQueuedParts = maxBatchBytes
)

// outbox is a queue of encoded frames that wait to be written. It holds no
// memory while it is empty. All methods may be called from any goroutine.
type outbox struct {
	// ready holds a value after a frame was queued.
	ready chan struct{}

	mu          sync.Mutex
	frames      [][]byte
	queuedBytes int
	// writing is set while a batch that nextBatch has returned is written.
	writing bool
	// drained is closed when queuedBytes falls below maxQueuedParts; nil if nothing waits
	// for that.
	drained chan struct{}
}

func newOutbox() outbox { return outbox{ready: make(chan struct{}, 1)} }

// put queues a frame. It returns false if other frames are queued and the total
// would exceed maxQueuedBytes.
func (o *outbox) put(frame []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.queuedBytes > 0 && o.queuedBytes+len(frame) > maxQueuedBytes {
		return false
	}
	o.frames = append(o.frames, frame)
	o.queuedBytes += len(frame)
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return true
}

// awaitRoom returns once less than maxQueuedParts is queued, or once ctx ends. It reports
// whether there is room. Parts wait here, since the queue would overflow if they were
// produced faster than the connection carries them.
func (o *outbox) awaitRoom(ctx context.Context) bool {
	for {
		o.mu.Lock()
		if o.queuedBytes < maxQueuedParts {
			o.mu.Unlock()
			return ctx.Err() == nil
		}
		if o.drained == nil {
			o.drained = make(chan struct{})
		}
		drained := o.drained
		o.mu.Unlock()
		select {
		case <-drained:
		case <-ctx.Done():
			return false
		}
	}
}

// allWritten reports whether no frame waits or is being written.
func (o *outbox) allWritten() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedBytes == 0 && !o.writing
}

// awaitsWriter reports whether frames wait although no batch is being written: the goroutine
// that writes has not come to run.
func (o *outbox) awaitsWriter() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedBytes > 0 && !o.writing
}

// nextBatch removes and returns at most maxBatchBytes from the head of the
// queue. A frame that does not fit is split across batches. The batch is empty
// when the queue is. The call says that the batch before it was written.
func (o *outbox) nextBatch() net.Buffers {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = len(o.frames) > 0
	defer o.signalRoom()
	var batch net.Buffers
	remaining := maxBatchBytes
	for len(o.frames) > 0 && remaining > 0 {
		next := o.frames[0]
		if len(next) > remaining {
			o.frames[0] = next[remaining:]
			batch = append(batch, next[:remaining])
			o.queuedBytes -= remaining
			return batch
		}
		batch = append(batch, next)
		remaining -= len(next)
		o.queuedBytes -= len(next)
		o.frames[0] = nil
		o.frames = o.frames[1:]
	}
	if len(o.frames) == 0 {
		o.frames = nil
	}
	return batch
}

// signalRoom wakes what awaitRoom holds if there is room. The caller holds mu.
func (o *outbox) signalRoom() {
	if o.drained != nil && o.queuedBytes < maxQueuedParts {
		close(o.drained)
		o.drained = nil
	}
}
