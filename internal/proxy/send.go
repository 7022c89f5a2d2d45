package proxy

import (
	"context"
	"errors"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/hop"
)

// sendTo sends the request to a peer and returns its reply. If the peer falls silent
// meanwhile, it returns the hedge that was started, which may go on; nil if there is none.
func (f *forwarder) sendTo(ctx context.Context, instance string) (*hopv1.Frame, *hedge) {
	p := f.proxy.deps.Peers.get(instance)
	if p == nil {
		return failureFrame(code.CallConnectRefused, true, 0, nil), nil
	}
	var h *hedge
	frame, err := p.send(ctx, f.call.request, func() <-chan struct{} {
		if h = f.startHedge(ctx); h == nil {
			return nil
		}
		return h.answered
	})
	return f.replyOf(ctx, p, frame, err), h
}

// replyOf returns the reply of a peer, or the failure frame for an error. It backs off from
// a peer that caused one.
func (f *forwarder) replyOf(ctx context.Context, p *peer, frame *hopv1.Frame, err error) *hopv1.Frame {
	peers := f.proxy.deps.Peers
	switch {
	case err == nil:
		if answer := frame.GetAnswer(); f.proxy.noticeOf(answer).leaving {
			p.recordLeaving(answer.GetState())
		}
		if isCancelled(frame) {
			f.lostBy = errTakenForGone
		}
		return notCancelled(frame)
	case errors.Is(err, hop.ErrNotSent) && ctx.Err() != nil:
		// The request was withdrawn while the peer had not received all of it.
		return failureFrame(code.CallDeadlineNotRun, true, 0, nil)
	case errors.Is(err, hop.ErrTransferLate):
		f.transferLate = true
		return failureFrame(code.CallShed, true, 0, nil)
	case errors.Is(err, hop.ErrNotSent):
		p.backOff(peers.now())
		return failureFrame(code.CallConnectRefused, true, 0, nil)
	case errors.Is(err, hop.ErrConnectionLost), errors.Is(err, hop.ErrPeerSilent):
		p.backOff(peers.now())
		f.lostBy = err
		return failureFrame(code.CallPeerLost, false, 0, nil)
	default:
		return failureFrame(code.CallDeadlineUnknown, false, 0, nil)
	}
}

// notCancelled replaces a peer's failure that says that the caller has disconnected: the
// peer took this daemon for vanished, while the caller still waits.
func notCancelled(frame *hopv1.Frame) *hopv1.Frame {
	if !isCancelled(frame) {
		return frame
	}
	failed := frame.GetFailure()
	if failed.NotRun {
		return failureFrame(code.CallConnectRefused, true, 0, failed.State)
	}
	return failureFrame(code.CallPeerLost, false, 0, failed.State)
}

// isCancelled reports whether a peer's reply says that the caller has disconnected.
func isCancelled(frame *hopv1.Frame) bool {
	return code.Code(frame.GetFailure().GetCode()) == code.CallCancelled
}

// errTakenForGone means that a peer has ended a request for which this daemon still waits.
var errTakenForGone = errors.New("the peer took this daemon for gone")
