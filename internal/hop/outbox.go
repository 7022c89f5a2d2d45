package hop

import (
	"net"
	"sync"
)

const (
	// maxQueued is how many bytes may wait to be written; one frame of any size
	// always may.
	maxQueued = 32 << 20
	// batchBytes is how much is written at once. The slowest lines in use carry
	// it in a fraction of writeTimeout, also when they are shared by a hundred.
	batchBytes = 64 << 10
)

// outbox holds encoded frames until they are written. It takes no memory while
// it is empty. All methods may be called from any goroutine.
type outbox struct {
	// filled holds a value after frames were put into an empty outbox.
	filled chan struct{}

	mu     sync.Mutex
	frames [][]byte
	queued int
}

func newOutbox() outbox { return outbox{filled: make(chan struct{}, 1)} }

// put adds a frame. It reports false when too much waits already.
func (o *outbox) put(frame []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.queued > 0 && o.queued+len(frame) > maxQueued {
		return false
	}
	o.frames = append(o.frames, frame)
	o.queued += len(frame)
	select {
	case o.filled <- struct{}{}:
	default:
	}
	return true
}

// take removes the next bytes to write: whole frames as far as they fit into a
// batch, or a part of a large one.
func (o *outbox) take() net.Buffers {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batch net.Buffers
	left := batchBytes
	for len(o.frames) > 0 && left > 0 {
		next := o.frames[0]
		if len(next) > left {
			o.frames[0] = next[left:]
			batch = append(batch, next[:left])
			o.queued -= left
			return batch
		}
		batch = append(batch, next)
		left -= len(next)
		o.queued -= len(next)
		o.frames[0] = nil
		o.frames = o.frames[1:]
	}
	if len(o.frames) == 0 {
		o.frames = nil
	}
	return batch
}
