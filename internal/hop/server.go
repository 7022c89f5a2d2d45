package hop

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/shaping"
)

// Handler handles the frames of peers that connect to this daemon. Its methods
// may be called from any goroutine.
type Handler interface {
	// Execute runs a request at the local upstream and returns an Answer or
	// Failure frame. Ctx ends when the peer cancels the request, or its connection
	// has ended and the peer has not moved the request to another one. Its cause is one of
	// the errors in cause.go.
	Execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame
	// Config returns the configuration in force.
	Config() *hopv1.ConfigAnswer
	// HelloState returns the state to send in the handshake, State that in pongs.
	HelloState() *hopv1.State
	State() *hopv1.State
	// Quota replies to a peer's request for tokens of a customer.
	Quota(ctx context.Context, instance string, request *hopv1.QuotaRequest) *hopv1.QuotaReply
	// DrainRecord returns this daemon's drain record of the peer instance's
	// upstream, or nil.
	DrainRecord(instance string) *hopv1.Left
	// Disconnected is called when a connection on which a peer sent a Hello has ended,
	// with the number of its requests that still ran.
	Disconnected(instance string, running int, cause error)
	// RefuseTransfer returns the Failure frame for a request of the given size that the
	// peer has announced, and that would arrive too late by excess. It has not run.
	RefuseTransfer(instance string, bytes int, excess time.Duration) *hopv1.Frame
	// Panicked is called with the cause when Execute has panicked.
	Panicked(cause any)
	// Resumed is called when a peer has moved its requests to another connection, with
	// the number of those that run on and of those that were cancelled.
	Resumed(instance string, running, cancelled int)
	// HelloReceived is called with the Hello of a peer that connected.
	HelloReceived(hello *hopv1.Hello)
	// StateReceived is called with the state that a peer sent in a Ping. The state
	// may be nil.
	StateReceived(instance string, state *hopv1.State)
	// RolloutReportReceived is called with a report that a peer sent.
	RolloutReportReceived(instance string, report *hopv1.RolloutReport)
}

// Server serves the connections that peers open.
type Server struct {
	hello   *hopv1.Hello
	handler Handler
	link    *shaping.Link
	// epoch is the zero of the monotonic clock of all sessions.
	epoch time.Time

	mu    sync.Mutex
	conns map[*peerConn]bool
	// closing is set by Close.
	closing bool

	// sessionsMu guards sessions and the state of all of them, since requests move from
	// one to another.
	sessionsMu sync.Mutex
	// sessions holds the sessions of open connections and, for sessionRetention, of
	// closed ones, by id.
	sessions map[uint64]*session
}

// NewServer returns a server that replies to each peer's Hello with hello and
// the current state. Link is the machine's network link; nil for no limit.
func NewServer(hello *hopv1.Hello, handler Handler, link *shaping.Link) *Server {
	return &Server{hello: hello, handler: handler, link: link, epoch: time.Now(), conns: map[*peerConn]bool{}, sessions: map[uint64]*session{}}
}

// Serve accepts connections until the listener fails or is closed, and returns
// the listener's error.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serve(conn)
	}
}

// Broadcast sends state in a Ping to all connected peers.
func (s *Server) Broadcast(state *hopv1.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pc := range s.conns {
		_ = pc.send(&hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{State: state}}})
	}
}

// Close closes all connections, also those that are accepted later. It does not close the
// listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for pc := range s.conns {
		pc.close()
	}
}

// DrainConfirmed reports whether all connected peers know that this daemon stops and takes no
// requests, and all that they had sent before was received. Daemons of earlier releases do
// not confirm it.
func (s *Server) DrainConfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pc := range s.conns {
		if !isClosed(pc.done) && !pc.drainConfirmed.Load() {
			return false
		}
	}
	return true
}

// CloseGently ends all connections, also those that are accepted later, so that their peers get
// all that was written, and returns once they have closed them, at most when ctx ends. Data that
// a peer sends to a connection that is closed resets it, and what was written is discarded.
func (s *Server) CloseGently(ctx context.Context) {
	for _, pc := range s.endWriting() {
		select {
		case <-pc.done:
		case <-ctx.Done():
			return
		}
	}
}

// endWriting ends the writing on all connections and returns them.
func (s *Server) endWriting() []*peerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for pc := range s.conns {
		pc.closeWrite()
	}
	return slices.Collect(maps.Keys(s.conns))
}

// AllReplied reports whether no request of a peer runs and each reply was written on its
// connection, if that is open.
func (s *Server) AllReplied() bool { return !s.anyRunning() && s.allWritten() }

// anyRunning reports whether a request of a peer runs, or has no reply that was queued.
func (s *Server) anyRunning() bool {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	for _, session := range s.sessions {
		if len(session.ledger.running) > 0 && !isClosed(session.peerConn.done) {
			return true
		}
	}
	return false
}

// allWritten reports whether nothing waits to be written on an open connection.
func (s *Server) allWritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pc := range s.conns {
		if !isClosed(pc.done) && !pc.allWritten() {
			return false
		}
	}
	return true
}

// hasUnread reports whether data is unread on a connection.
func (s *Server) hasUnread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pc := range s.conns {
		if pc.hasUnread() {
			return true
		}
	}
	return false
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) serve(conn net.Conn) {
	pc := newPeerConn(conn, s.link)
	if !s.addConn(pc) {
		pc.close()
		return
	}
	defer s.removeConn(pc)
	session := newSession(s, pc)
	time.AfterFunc(vanishedAfter, session.watchQuiet)
	// The error is only reported: the peer connects again.
	err := pc.read(session.handleFrame)
	running := session.connectionEnded(err)
	if session.peer != "" {
		s.handler.Disconnected(session.peer, running, err)
	}
}

// addConn registers a connection. It returns false after Close, which would not close it.
func (s *Server) addConn(pc *peerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.conns[pc] = true
	return true
}

func (s *Server) removeConn(pc *peerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, pc)
}
