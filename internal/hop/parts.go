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

// partBytes is the size of a part, and that from which a frame is sent in parts. The
// slowest network links in use transmit a part in a few milliseconds.
const partBytes = 8 << 10

// partSender sends large frames in parts as the machine's network link has room.
type partSender struct {
	link *shaping.Link
	// put queues an encoded frame to be written.
	put func([]byte) error
	// ctx ends with the connection.
	ctx context.Context
	// allowed is set once the peer has said that it takes parts.
	allowed atomic.Bool

	mu sync.Mutex
	// sending holds, by stream, the frames whose parts are not all sent.
	sending map[uint64]*partedFrame
}

// partedFrame is a frame that is sent in parts.
type partedFrame struct {
	// encoded is the result of encode.
	encoded []byte
	// cancel ends the sending.
	cancel context.CancelFunc
}

func newPartSender(ctx context.Context, link *shaping.Link, put func([]byte) error) *partSender {
	return &partSender{ctx: ctx, link: link, put: put, sending: map[uint64]*partedFrame{}}
}

// takes reports whether an encoded frame is to be sent in parts.
func (s *partSender) takes(encoded []byte) bool {
	return len(encoded) > partBytes && s.allowed.Load()
}

// urgentLead is how much earlier than it was an urgent frame counts as queued: it goes
// before all frames that are not, and in the order of arrival among urgent ones.
const urgentLead = time.Hour

// start sends an encoded frame in parts in the background. The parts of an urgent frame
// go before those of others on the machine's network link.
func (s *partSender) start(stream uint64, encoded []byte, urgent bool) {
	order := s.link.Now()
	if urgent {
		order -= urgentLead
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	frame := &partedFrame{encoded, cancel}
	s.sending[stream] = frame
	s.mu.Unlock()
	go func() {
		defer s.end(stream, frame)
		s.send(ctx, stream, withoutLength(encoded), order)
	}()
}

// end records that all parts of a frame were sent, or that none follows.
func (s *partSender) end(stream uint64, frame *partedFrame) {
	frame.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sending[stream] == frame {
		delete(s.sending, stream)
	}
}

// takeUnsent ends the sending of all parts and returns, by stream, the encoded frames
// of which some parts were not sent.
func (s *partSender) takeUnsent() map[uint64][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	unsent := make(map[uint64][]byte, len(s.sending))
	for stream, frame := range s.sending {
		frame.cancel()
		unsent[stream] = frame.encoded
	}
	s.sending = map[uint64]*partedFrame{}
	return unsent
}

// send sends the parts of a frame that was queued at the time order until ctx ends.
func (s *partSender) send(ctx context.Context, stream uint64, encoded []byte, order time.Duration) {
	s.link.AddBacklog(len(encoded))
	defer func() { s.link.AddBacklog(-len(encoded)) }()
	for len(encoded) > 0 {
		part := encoded[:min(partBytes, len(encoded))]
		last := len(part) == len(encoded)
		if !s.link.Await(ctx, order, len(part)) || !s.sendPart(ctx, stream, part, last) {
			return
		}
		encoded = encoded[len(part):]
		s.link.AddBacklog(-len(part))
	}
}

// sendPart queues one part unless ctx has ended or the connection is closed, and
// reports whether it did. No part follows a Cancel: cancel holds mu, too.
func (s *partSender) sendPart(ctx context.Context, stream uint64, data []byte, last bool) bool {
	frame, err := encode(&hopv1.Frame{Stream: stream, Body: &hopv1.Frame_Part{Part: &hopv1.Part{Data: data, Last: last}}})
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return ctx.Err() == nil && s.put(frame) == nil
}

// cancel stops sending the parts of a stream, if any are left.
func (s *partSender) cancel(stream uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if frame := s.sending[stream]; frame != nil {
		frame.cancel()
		delete(s.sending, stream)
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
