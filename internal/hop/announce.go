package hop

import (
	"context"
	"sync/atomic"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/shaping"
)

// This file is the sending side of receiver-side pacing: a large frame is announced to a
// peer whose network link is slow, and its parts are sent as the peer grants them. The
// granting side is in grant.go.

// maxLateTransfer is how long after its goal a request may wait for the peer's grants.
// Requests that still meet their goal are granted first, so that it might wait until its
// deadline otherwise.
const maxLateTransfer = 500 * time.Millisecond

// outgoing is an encoded frame to be sent.
type outgoing struct {
	stream  uint64
	encoded []byte
	// urgent makes its parts go before those of other frames.
	urgent bool
	// whole makes it precede all frames that are sent later: it is not sent in parts.
	whole bool
	// cancellable marks a reply that is of no use to a peer that has cancelled its stream.
	// A failure is of use: it says whether the request has run.
	cancellable bool
	// request holds the times left of a request; nil for other frames. sentUs is the
	// frame's.
	request *hopv1.Request
	sentUs  uint64
	// sent, if it is not nil, is set before the last byte is queued. While it is not
	// set, the peer cannot have received the frame.
	sent *atomic.Bool
}

// markSent records that all of the frame is queued.
func (o *outgoing) markSent() {
	if o.sent != nil {
		o.sent.Store(true)
	}
}

// announcement returns the frame that announces this one.
func (o *outgoing) announcement() *hopv1.Frame {
	announce := &hopv1.PartAnnounce{Bytes: uint32(len(withoutLength(o.encoded)))}
	if o.request != nil {
		remaining, goal := o.request.RemainingMs, o.request.GoalMs
		announce.RemainingMs, announce.GoalMs = &remaining, &goal
	}
	return &hopv1.Frame{Stream: o.stream, SentUs: o.sentUs, Body: &hopv1.Frame_PartAnnounce{PartAnnounce: announce}}
}

// allowance is the number of bytes of an announced frame that the peer has granted and that
// have not been sent. One goroutine takes from it.
type allowance struct {
	bytes atomic.Int64
	// added holds a value after a grant.
	added chan struct{}
}

func newAllowance() *allowance { return &allowance{added: make(chan struct{}, 1)} }

// add adds a grant.
func (a *allowance) add(bytes int) {
	a.bytes.Add(int64(bytes))
	select {
	case a.added <- struct{}{}:
	default:
	}
}

// take waits for a grant, takes up to maxBytes of it and returns how many it took. It
// returns 0 if ctx ends first.
func (a *allowance) take(ctx context.Context, maxBytes int) int {
	for {
		if available := a.bytes.Load(); available > 0 {
			taken := min(available, int64(maxBytes))
			a.bytes.Add(-taken)
			return int(taken)
		}
		select {
		case <-a.added:
		case <-ctx.Done():
			return 0
		}
	}
}

// helloReceived records whether the peer takes large frames in parts, and whether it grants
// them.
func (s *partSender) helloReceived(hello *hopv1.Hello) {
	s.linkKbps.Store(hello.GetLinkKbps())
	s.allowed.Store(hello.GetTakesParts())
}

// announces reports whether a frame is announced. Frames without a stream of their own
// cannot be told apart by a grant.
func (s *partSender) announces(frame *outgoing) bool { return s.paced() && frame.stream != 0 }

// paced reports whether the peer grants the parts of large frames.
func (s *partSender) paced() bool { return shaping.IsPaced(s.linkKbps.Load()) }

// transferLimit returns how long the transfer of a request to the peer may take: until
// maxLateTransfer after its goal, and for a large one twice what the peer's link needs. It
// returns 0 for a request that is not announced, which has no limit.
func (s *partSender) transferLimit(request *hopv1.Request) time.Duration {
	if !s.paced() || len(request.GetBody()) < pacedBytes {
		return 0
	}
	const bitsPerByte = 8
	// Bits by kilobits per second are milliseconds.
	transfer := time.Duration(len(request.Body)*bitsPerByte/int(s.linkKbps.Load())) * time.Millisecond
	return milliseconds(request.GoalMs) + maxLateTransfer + 2*transfer
}

// announce queues the announcement of a frame. The caller holds mu, so that no grant
// precedes the frame's entry in sending.
func (s *partSender) announce(frame *partedFrame) {
	encoded, err := encode(frame.announcement())
	if err != nil {
		return
	}
	s.link.Consume(len(encoded))
	// If this fails, the connection has ended, and the frame ends with it.
	_ = s.put(encoded)
}

// grant handles a grant of the peer. It ignores one for a frame that is not being sent any
// more. Only what is granted waits for this machine's own link: the rest waits for the
// peer's.
func (s *partSender) grant(stream uint64, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if frame := s.sending[stream]; frame != nil && frame.granted != nil {
		s.addBacklog(frame, min(bytes, frame.unsent-frame.backlog))
		frame.granted.add(bytes)
	}
}
