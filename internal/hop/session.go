package hop

import (
	"context"
	"errors"
	"io"
	"maps"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
)

const (
	// resumeGrace is how long requests run on after their connection was reset, for the
	// peer to move them to another one. A caller that has left with its entry daemon
	// must not keep an upstream busy for longer than 0.5 s.
	resumeGrace = 250 * time.Millisecond
	// unreadResumeLimit is how much longer they run while this daemon has not read all that
	// has arrived.
	unreadResumeLimit = 200 * time.Millisecond
	// sessionRetention is how long a session is known after the end of its connection.
	// A peer that resumes it later is answered that its requests may have run.
	sessionRetention = 10 * time.Second
)

// session is one connection that a peer opened, with the requests on it.
type session struct {
	server   *Server
	peerConn *peerConn
	// peer is the peer's instance from its Hello. Other goroutines read it only while
	// they hold Server.sessionsMu.
	peer string
	// epoch is the origin of the arrival times given to queueDelay and ledger.
	epoch time.Time
	// queueDelay and announced are used only by the goroutine that reads the connection.
	queueDelay queueDelay
	// announced holds, by stream, the requests of which not all has arrived.
	announced map[uint64]announcedRequest

	// Server.sessionsMu guards the fields below.

	// id is the session's id from the peer's Hello; 0 for a daemon of an earlier
	// release, which cannot resume it.
	id     uint64
	ledger ledger
	// cancels holds, by stream, the function that cancels the running request.
	cancels map[uint64]context.CancelCauseFunc
	// replacedBy is the session to which the requests have moved, or nil.
	replacedBy *session
}

func newSession(server *Server, pc *peerConn) *session {
	return &session{
		server:    server,
		peerConn:  pc,
		epoch:     server.epoch,
		announced: map[uint64]announcedRequest{},
		ledger:    ledger{running: map[uint64]bool{}},
		cancels:   map[uint64]context.CancelCauseFunc{},
	}
}

func (s *session) handleFrame(frame *hopv1.Frame) {
	handler := s.server.handler
	delay := s.delayOf(frame)
	switch body := frame.Body.(type) {
	case *hopv1.Frame_Hello:
		s.register(body.Hello)
		hello := withState(s.server.hello, handler.HelloState(), handler.DrainRecord(s.peer), s.server.link)
		hello.Session = body.Hello.GetSession()
		_ = s.peerConn.send(&hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: hello}})
		handler.HelloReceived(body.Hello)
	case *hopv1.Frame_Ping:
		handler.StateReceived(s.peer, body.Ping.GetState())
		if body.Ping.GetDrainConfirmed() {
			s.peerConn.drainConfirmed.Store(true)
		}
		_ = s.peerConn.send(&hopv1.Frame{Stream: frame.Stream, Body: &hopv1.Frame_Pong{Pong: &hopv1.Pong{State: handler.State()}}})
	case *hopv1.Frame_Request:
		// The sender computed the time left until the deadline and the latency goal
		// when it sent the frame. The queueing delay has used up part of it.
		body.Request.RemainingMs = subtractDelay(body.Request.RemainingMs, delay)
		body.Request.GoalMs = subtractDelay(body.Request.GoalMs, delay)
		s.start(frame.Stream, body.Request)
	case *hopv1.Frame_QuotaRequest:
		s.answerQuota(frame.Stream, body.QuotaRequest)
	case *hopv1.Frame_PartAnnounce:
		s.handleAnnounce(frame.Stream, body.PartAnnounce, delay)
	case *hopv1.Frame_Cancel:
		s.cancel(frame.Stream)
	case *hopv1.Frame_RolloutReport:
		handler.RolloutReportReceived(s.peer, body.RolloutReport)
	case *hopv1.Frame_ConfigRequest:
		config := handler.Config()
		_ = s.peerConn.send(&hopv1.Frame{Stream: frame.Stream, Body: &hopv1.Frame_ConfigAnswer{ConfigAnswer: config}})
	case *hopv1.Frame_Resume:
		s.resume(body.Resume)
	}
}

// register makes the session known under the id of its Hello.
func (s *session) register(hello *hopv1.Hello) {
	s.server.sessionsMu.Lock()
	defer s.server.sessionsMu.Unlock()
	s.peer = hello.GetInstance()
	if s.id = hello.GetSession(); s.id != 0 {
		s.server.sessions[s.id] = s
	}
}

// start runs a request in a goroutine and sends the reply on its stream.
func (s *session) start(stream uint64, request *hopv1.Request) {
	ctx, cancel := context.WithCancelCause(context.Background())
	s.server.sessionsMu.Lock()
	begins := s.ledger.begin(stream)
	if begins {
		s.cancels[stream] = cancel
	}
	s.server.sessionsMu.Unlock()
	if !begins {
		cancel(nil)
		return
	}
	go func() {
		defer cancel(nil)
		reply := s.execute(ctx, request)
		reply.Stream = stream
		s.reply(reply)
	}()
}

// execute runs a request. If that panics, the reply says that the request may have
// run: one request must not end the process and with it all others.
func (s *session) execute(ctx context.Context, request *hopv1.Request) (reply *hopv1.Frame) {
	defer func() {
		if cause := recover(); cause != nil {
			s.server.handler.Panicked(cause)
			reply = &hopv1.Frame{Body: brokenAnswer()}
		}
	}()
	return s.server.handler.Execute(ctx, request)
}

// brokenAnswer returns the failure of a request that may have run and has no answer
// that can be sent.
func brokenAnswer() *hopv1.Frame_Failure {
	return &hopv1.Frame_Failure{Failure: &hopv1.Failure{Code: uint32(code.CallAnswerBroken)}}
}

// cancelledReply returns the failure that takes the place of an answer for which no caller
// waits.
func cancelledReply(stream uint64) *hopv1.Frame {
	return &hopv1.Frame{Stream: stream, Body: &hopv1.Frame_Failure{Failure: &hopv1.Failure{Code: uint32(code.CallCancelled)}}}
}

// reply sends the reply of a request on the connection to which it has moved. A large
// answer for which no caller waits is not sent.
func (s *session) reply(reply *hopv1.Frame) {
	encoded, err := encode(reply)
	if err != nil {
		// A failure without a text can always be encoded.
		encoded, _ = encode(&hopv1.Frame{Stream: reply.Stream, Body: brokenAnswer()})
	}
	out := outgoing{stream: reply.Stream, encoded: encoded, cancellable: reply.GetAnswer() != nil}
	s.server.sessionsMu.Lock()
	defer s.server.sessionsMu.Unlock()
	latest := s.latest()
	if out.cancellable && !latest.ledger.awaited(out.stream) && latest.peerConn.parts.takes(encoded) {
		out.encoded, _ = encode(cancelledReply(out.stream))
	}
	delete(latest.cancels, out.stream)
	latest.ledger.end(time.Since(s.epoch), out.stream, out.encoded)
	// If the connection has ended, the peer may still resume the session.
	_ = latest.peerConn.sendEncoded(out)
}

// latest returns the session to which the requests of this one have moved, or itself.
// The caller holds Server.sessionsMu.
func (s *session) latest() *session {
	for s.replacedBy != nil {
		s = s.replacedBy
	}
	return s
}

// resume moves the requests of earlier sessions to this one and sends the peer what has
// become of them, unless this session has been replaced.
func (s *session) resume(resume *hopv1.Resume) {
	moved := s.moveRequests(resume)
	if moved == nil {
		return
	}
	if moved.repliesResent {
		// The states in these replies are old.
		_ = s.peerConn.send(&hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{State: s.server.handler.State()}}})
	}
	s.server.handler.Resumed(s.peer, moved.running, moved.cancelled)
}

// movedRequests counts what a Resume has moved to a session.
type movedRequests struct {
	// running is the number of requests that run on, cancelled that of those that the
	// peer did not want any more.
	running, cancelled int
	// repliesResent is set if any reply was sent again.
	repliesResent bool
}

// moveRequests moves the requests of earlier sessions to this one, and sends the Resumed
// and the replies that may have been lost. It returns nil if this session has been
// replaced.
func (s *session) moveRequests(resume *hopv1.Resume) *movedRequests {
	s.server.sessionsMu.Lock()
	defer s.server.sessionsMu.Unlock()
	if s.ledger.fenced {
		return nil
	}
	unsent := map[uint64]outgoing{}
	complete := true
	for _, id := range resume.GetSessions() {
		complete = s.absorb(id, unsent) && complete
	}
	sending := map[uint64]bool{}
	for stream := range unsent {
		sending[stream] = true
	}
	result := s.ledger.resume(resume.GetWanted(), complete, sending)
	for _, stream := range result.unwanted {
		s.cancels[stream](ErrNotResumed)
	}
	_ = s.peerConn.send(&hopv1.Frame{Body: &hopv1.Frame_Resumed{Resumed: &hopv1.Resumed{
		NotReceived: result.notReceived, Lost: result.lost,
	}}})
	for _, reply := range result.resend {
		_ = s.peerConn.sendEncoded(outgoing{stream: reply.stream, encoded: reply.encoded})
		delete(unsent, reply.stream)
	}
	for _, stream := range resume.GetWanted() {
		if reply, found := unsent[stream]; found {
			_ = s.peerConn.sendEncoded(reply)
		}
	}
	return &movedRequests{
		running:       len(s.ledger.running) - len(result.unwanted),
		cancelled:     len(result.unwanted),
		repliesResent: len(result.resend)+len(unsent) > 0,
	}
}

// absorb moves the requests of an earlier session to this one, and to unsent the large
// replies whose parts it has not all sent. It returns false if the session is unknown.
// The caller holds Server.sessionsMu.
func (s *session) absorb(id uint64, unsent map[uint64]outgoing) bool {
	earlier := s.server.sessions[id]
	if earlier == nil || earlier.peer != s.peer {
		return false
	}
	earlier = earlier.latest()
	if earlier == s {
		return true
	}
	s.ledger.absorb(&earlier.ledger)
	for stream, cancel := range earlier.cancels {
		s.cancels[stream] = cancel
	}
	earlier.cancels = map[uint64]context.CancelCauseFunc{}
	earlier.peerConn.grants.close()
	maps.Copy(unsent, earlier.peerConn.parts.takeUnsent())
	earlier.replacedBy = s
	return true
}

// connectionEnded cancels the requests of the session after its connection has ended
// with err: at once if the peer has closed it, otherwise unless the peer moves them to
// another connection within resumeGrace. It returns their number.
func (s *session) connectionEnded(err error) int {
	s.server.sessionsMu.Lock()
	defer s.server.sessionsMu.Unlock()
	running := len(s.cancels)
	if s.id == 0 || errors.Is(err, io.EOF) || s.server.isClosing() {
		s.cancelRunning(ErrPeerGone)
	} else if running > 0 {
		time.AfterFunc(resumeGrace, func() { s.endUnlessUnread(time.Now().Add(unreadResumeLimit)) })
	}
	if s.id != 0 {
		time.AfterFunc(replyRetention, s.dropUnsent)
		time.AfterFunc(sessionRetention, s.forget)
	}
	return running
}

// endUnlessUnread cancels the requests of a connection that has ended, but waits until end at
// most while data is unread on any connection: the peer's Resume may be in it.
func (s *session) endUnlessUnread(end time.Time) {
	if time.Now().Before(end) && s.server.hasUnread() {
		time.AfterFunc(busyCheckInterval, func() { s.endUnlessUnread(end) })
		return
	}
	s.cancelAll(ErrPeerGone)
}

// dropUnsent discards the large replies whose parts were not all sent, unless the peer has
// moved them to another connection.
func (s *session) dropUnsent() { s.peerConn.parts.takeUnsent() }

// forget removes the session from those that can be resumed.
func (s *session) forget() {
	s.server.sessionsMu.Lock()
	defer s.server.sessionsMu.Unlock()
	if s.server.sessions[s.id] == s {
		delete(s.server.sessions, s.id)
	}
}

// cancel cancels the request of a stream, if it still runs, or the sending of its large
// reply. In that case a Cancel makes the peer drop what it has of the reply, and a failure
// confirms the end of the request.
func (s *session) cancel(stream uint64) {
	s.server.sessionsMu.Lock()
	defer s.server.sessionsMu.Unlock()
	s.ledger.cancel(stream)
	if cancel := s.cancels[stream]; cancel != nil {
		cancel(ErrCancelled)
	}
	if s.peerConn.parts.sendsCancellable(stream) {
		// If these fail, the connection has ended, and the reply is not moved to the next one.
		_ = s.peerConn.send(&hopv1.Frame{Stream: stream, Body: &hopv1.Frame_Cancel{Cancel: &hopv1.Cancel{}}})
		_ = s.peerConn.send(cancelledReply(stream))
	}
}

// cancelAll cancels, with a cause, all running requests that have not moved to another
// session. A request that must not run twice goes on at the upstream, and its answer is still
// sent.
func (s *session) cancelAll(cause error) {
	s.server.sessionsMu.Lock()
	defer s.server.sessionsMu.Unlock()
	s.cancelRunning(cause)
}

// cancelRunning is cancelAll for a caller that holds Server.sessionsMu.
func (s *session) cancelRunning(cause error) {
	for _, cancel := range s.cancels {
		cancel(cause)
	}
}
