package hop

import (
	"context"
	"sync"
)

// incompleteFrames bounds the frames that a peer receives in parts at the same time on one
// connection: it ends a connection on which these exceed MaxFrame together. All methods may
// be called from any goroutine.
type incompleteFrames struct {
	mu sync.Mutex
	// bytes is the total size of the frames that have begun and not ended.
	bytes int
	// ended is closed when a frame ends, and replaced.
	ended chan struct{}
}

func newIncompleteFrames() incompleteFrames { return incompleteFrames{ended: make(chan struct{})} }

// begin returns once a frame fits beside the others, or once ctx ends, and reports whether it
// fits. A frame that is alone fits.
func (f *incompleteFrames) begin(ctx context.Context, size int) bool {
	for {
		f.mu.Lock()
		if f.bytes+size <= MaxFrame {
			f.bytes += size
			f.mu.Unlock()
			return true
		}
		ended := f.ended
		f.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			return false
		}
	}
}

// end removes a frame that the peer has received or dropped.
func (f *incompleteFrames) end(size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes -= size
	close(f.ended)
	f.ended = make(chan struct{})
}
