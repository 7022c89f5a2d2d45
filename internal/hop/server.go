package hop

import (
	"context"
	"net"
	"sync"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// Handler serves what peers ask. Its methods may be called from any goroutine.
type Handler interface {
	// Execute runs a request at the upstream beside this daemon. The frame is
	// an answer or a failure. When ctx ends the caller is gone.
	Execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame
	// Config returns the configuration in force.
	Config() *hopv1.ConfigAnswer
	// State returns the state to tell peers.
	State() *hopv1.State
	// Left returns what is remembered of a peer's upstream, or nil.
	Left(instance string) *hopv1.Left
	// Greeted takes the first frame of a peer that connected.
	Greeted(hello *hopv1.Hello)
	// Heard takes a peer's state.
	Heard(instance string, state *hopv1.State)
}

// Server takes the connections of peers.
type Server struct {
	hello   *hopv1.Hello
	handler Handler

	mu    sync.Mutex
	links map[*link]bool
}

// NewServer returns a server for connections that Serve accepts.
func NewServer(hello *hopv1.Hello, handler Handler) *Server {
	return &Server{hello: hello, handler: handler, links: map[*link]bool{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serve(conn)
	}
}

// Tell sends the state to all peers that are connected.
func (s *Server) Tell(state *hopv1.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		_ = l.send(&hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{State: state}}})
	}
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.close()
	}
}

// session is one connection of a peer.
type session struct {
	server *Server
	link   *link
	ctx    context.Context
	peer   string
	// epoch is the zero of the times at which frames arrive.
	epoch   time.Time
	transit transit

	mu      sync.Mutex
	running map[uint64]context.CancelFunc
}

func (s *Server) serve(conn net.Conn) {
	l := newLink(conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.mu.Lock()
	s.links[l] = true
	s.mu.Unlock()
	defer s.forget(l)
	session := &session{server: s, link: l, ctx: ctx, epoch: time.Now(), running: map[uint64]context.CancelFunc{}}
	// The end of a connection is the peer's business; it connects again.
	_ = l.read(session.take)
}

func (s *Server) forget(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

func (s *session) take(frame *hopv1.Frame) {
	handler := s.server.handler
	delay := s.transit.delay(time.Since(s.epoch), time.Duration(frame.SentUs)*time.Microsecond)
	switch body := frame.Body.(type) {
	case *hopv1.Frame_Hello:
		s.peer = body.Hello.GetInstance()
		hello := withState(s.server.hello, handler.State(), handler.Left(s.peer))
		_ = s.link.send(&hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: hello}})
		handler.Greeted(body.Hello)
	case *hopv1.Frame_Ping:
		_ = s.link.send(&hopv1.Frame{Body: &hopv1.Frame_Pong{Pong: &hopv1.Pong{State: handler.State()}}})
		handler.Heard(s.peer, body.Ping.GetState())
	case *hopv1.Frame_Request:
		// Its time has run on the way, too.
		body.Request.RemainingMs = shortened(body.Request.RemainingMs, delay)
		body.Request.GoalMs = shortened(body.Request.GoalMs, delay)
		s.start(frame.Stream, body.Request)
	case *hopv1.Frame_Cancel:
		s.cancel(frame.Stream)
	case *hopv1.Frame_ConfigRequest:
		answer := handler.Config()
		_ = s.link.send(&hopv1.Frame{Stream: frame.Stream, Body: &hopv1.Frame_ConfigAnswer{ConfigAnswer: answer}})
	}
}

func (s *session) start(stream uint64, request *hopv1.Request) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.running[stream] = cancel
	s.mu.Unlock()
	go func() {
		defer s.cancel(stream)
		reply := s.server.handler.Execute(ctx, request)
		reply.Stream = stream
		_ = s.link.send(reply)
	}()
}

func (s *session) cancel(stream uint64) {
	s.mu.Lock()
	cancel := s.running[stream]
	delete(s.running, stream)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
