package hop

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/shaping"
)

// partBytes is the size of a part, and that from which a frame is sent in parts to a peer
// that does not pace what it receives.
const partBytes = shaping.PartBytes

// pacedBytes is the size from which a frame is sent in parts to a peer that paces what it
// receives. Requests with bodies of a few kilobytes, offered to one full upstream after the
// other, can fill a slow link, where replies would queue behind them.
const pacedBytes = 2 << 10

// partSender sends large frames in parts as the machine's network link, and that of a peer
// that paces what it receives, have room.
type partSender struct {
	link *shaping.Link
	// put queues an encoded frame to be written. It does not block.
	put func([]byte) error
	// awaitRoom waits until there is room for a part in the queue, or ctx ends, and reports
	// whether there is.
	awaitRoom func(ctx context.Context) bool
	// ctx ends with the connection.
	ctx context.Context
	// allowed is set once the peer has said that it takes parts.
	allowed atomic.Bool
	// linkKbps is the rate of the peer's network link in kilobits per second; 0 is unknown.
	// It decides whether the peer grants parts.
	linkKbps atomic.Uint32

	mu sync.Mutex
	// sending holds, by stream, the last frame whose parts are not all sent. After the end
	// of the connection it stays there for takeUnsent.
	sending map[uint64]*partedFrame
	// incomplete bounds what the peer has of incomplete frames; stopped holds, by stream,
	// those that will not be completed, until the Cancel with which the peer drops them.
	incomplete incompleteFrames
	stopped    map[uint64]*partedFrame
	// ended is set by takeUnsent: nothing more is sent.
	ended bool
}

// partedFrame is a frame that is sent in parts. The partSender's mu guards unsent and
// backlog.
type partedFrame struct {
	outgoing
	// cancel ends the sending; done is closed when it has ended.
	cancel context.CancelFunc
	done   chan struct{}
	// granted is nil if the peer does not pace the frame.
	granted *allowance
	// size is the number of bytes in parts, unsent that of those that are not sent, backlog
	// the part of these that counts in the backlog of the machine's network link.
	size, unsent, backlog int
}

// partlySent reports whether the peer has some parts of the frame and not all.
func (f *partedFrame) partlySent() bool { return 0 < f.unsent && f.unsent < f.size }

func newPartSender(ctx context.Context, link *shaping.Link, put func([]byte) error, awaitRoom func(context.Context) bool) *partSender {
	return &partSender{ctx: ctx, link: link, put: put, awaitRoom: awaitRoom,
		sending: map[uint64]*partedFrame{}, stopped: map[uint64]*partedFrame{}, incomplete: newIncompleteFrames()}
}

// takes reports whether an encoded frame is to be sent in parts.
func (s *partSender) takes(encoded []byte) bool {
	return len(encoded) > s.wholeBytes() && s.allowed.Load()
}

// wholeBytes is the largest size of a frame that is sent as a whole.
func (s *partSender) wholeBytes() int {
	if s.paced() {
		return pacedBytes
	}
	return partBytes
}

// urgentLead is how much earlier than it was an urgent frame counts as queued: it goes
// before all frames that are not, and in the order of arrival among urgent ones.
const urgentLead = time.Hour

// allQueued reports whether no frame has parts that are not queued.
func (s *partSender) allQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sending) == 0
}

// start sends a frame in parts in the background. The parts of an urgent frame go before
// those of others on the machine's network link. Frames of the same stream are sent one
// after another, since the receiver joins the parts of a stream: pings, pongs and other
// frames without a stream of their own share one.
func (s *partSender) start(frame outgoing) {
	order := s.link.Now()
	if frame.urgent {
		order -= urgentLead
	}
	ctx, cancel := context.WithCancel(s.ctx)
	data := withoutLength(frame.encoded)
	parted := &partedFrame{outgoing: frame, cancel: cancel, done: make(chan struct{}), size: len(data), unsent: len(data)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		cancel()
		return
	}
	previous := s.sending[frame.stream]
	s.sending[frame.stream] = parted
	if s.announces(&frame) {
		parted.granted = newAllowance()
		s.announce(parted)
	} else {
		s.addBacklog(parted, len(data))
	}
	go func() {
		defer close(parted.done)
		if previous != nil {
			<-previous.done
		}
		if s.incomplete.begin(ctx, parted.size) {
			s.send(ctx, parted, data, order)
			s.incompleteEnds(parted)
		}
		s.end(parted)
	}()
}

// send sends the parts of a frame that was queued at the time order until ctx ends.
func (s *partSender) send(ctx context.Context, frame *partedFrame, data []byte, order time.Duration) {
	for len(data) > 0 {
		size := min(partBytes, len(data))
		if frame.granted != nil {
			size = frame.granted.take(ctx, size)
		}
		if !s.awaitRoom(ctx) || !s.link.Await(ctx, order, size) || !s.sendPart(ctx, frame, data[:size]) {
			return
		}
		data = data[size:]
	}
}

// sendPart queues the next part unless ctx has ended or the connection is closed, and
// reports whether it did. No part follows a Cancel: cancel holds mu, too.
func (s *partSender) sendPart(ctx context.Context, frame *partedFrame, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || ctx.Err() != nil {
		return false
	}
	last := len(data) == frame.unsent
	encoded, err := encode(&hopv1.Frame{Stream: frame.stream, Body: &hopv1.Frame_Part{Part: &hopv1.Part{Data: data, Last: last}}})
	if err != nil {
		return false
	}
	if last {
		frame.markSent()
	}
	if s.put(encoded) != nil {
		return false
	}
	frame.unsent -= len(data)
	s.addBacklog(frame, -len(data))
	return true
}

// addBacklog counts bytes of a frame in the backlog of the machine's network link. The
// caller holds mu.
func (s *partSender) addBacklog(frame *partedFrame, bytes int) {
	frame.backlog += bytes
	s.link.AddBacklog(bytes)
}

// incompleteEnds records that the sending of a frame has ended. If the peer has some parts of
// it, these count until the Cancel.
func (s *partSender) incompleteEnds(frame *partedFrame) {
	s.mu.Lock()
	partly := frame.partlySent()
	s.mu.Unlock()
	if !partly {
		s.incomplete.end(frame.size)
	}
}

// cancelSent records that a Cancel is queued, which makes the peer drop what it has of the
// frame of a stream.
func (s *partSender) cancelSent(stream uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if frame := s.stopped[stream]; frame != nil {
		delete(s.stopped, stream)
		s.incomplete.end(frame.size)
	}
}

// end records that nothing more of a frame will be sent. A frame that ends with its
// connection stays in sending.
func (s *partSender) end(frame *partedFrame) {
	frame.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addBacklog(frame, -frame.backlog)
	if s.sending[frame.stream] == frame && frame.unsent == 0 {
		delete(s.sending, frame.stream)
	}
}

// takeUnsent ends the sending of all parts and returns, by stream, the frames of which
// some parts were not sent. Nothing more is sent in parts after that.
func (s *partSender) takeUnsent() map[uint64]outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	unsent := make(map[uint64]outgoing, len(s.sending))
	for stream, frame := range s.sending {
		frame.cancel()
		if frame.unsent > 0 {
			unsent[stream] = frame.outgoing
		}
	}
	s.sending = map[uint64]*partedFrame{}
	return unsent
}

// sendsCancellable reports whether parts of a frame are left that need not be sent to a
// peer that has cancelled the stream.
func (s *partSender) sendsCancellable(stream uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	frame := s.sending[stream]
	return frame != nil && frame.cancellable
}

// cancel stops sending the parts of a stream, if any are left. A Cancel has to follow if the
// peer has some of them.
func (s *partSender) cancel(stream uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	frame := s.sending[stream]
	if frame == nil {
		return
	}
	frame.cancel()
	delete(s.sending, stream)
	if frame.partlySent() {
		s.stopped[stream] = frame
	}
}

// partReceiver assembles the frames that a peer sends in parts. It is not safe for
// concurrent use.
type partReceiver struct {
	// incomplete holds what has arrived, by stream; total is its size in bytes.
	incomplete map[uint64][]byte
	total      int
}

func newPartReceiver() *partReceiver { return &partReceiver{incomplete: map[uint64][]byte{}} }

// receive returns the frame that a received one completes: itself unless it is a
// part, or nil if parts are missing. It returns errFrameTooLarge if the incomplete
// frames of the connection exceed MaxFrame.
func (r *partReceiver) receive(frame *hopv1.Frame) (*hopv1.Frame, error) {
	part := frame.GetPart()
	if part == nil {
		if frame.GetCancel() != nil {
			r.drop(frame.Stream)
		}
		return frame, nil
	}
	r.total += len(part.Data)
	if r.total > MaxFrame {
		return nil, errFrameTooLarge
	}
	r.incomplete[frame.Stream] = append(r.incomplete[frame.Stream], part.Data...)
	if !part.Last {
		return nil, nil
	}
	encoded := r.incomplete[frame.Stream]
	r.drop(frame.Stream)
	return decode(encoded)
}

// drop discards what has arrived of a stream's frame.
func (r *partReceiver) drop(stream uint64) {
	r.total -= len(r.incomplete[stream])
	delete(r.incomplete, stream)
}

// withoutLength returns an encoded frame without its length.
func withoutLength(encoded []byte) []byte {
	_, size := binary.Uvarint(encoded)
	return encoded[size:]
}
