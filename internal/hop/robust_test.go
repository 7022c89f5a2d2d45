package hop

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// TestPanickingRequestDoesNotEndTheProcess covers a request whose handling panics.
// Its sender learns that it may have run, and the next one is served.
func TestPanickingRequestDoesNotEndTheProcess(t *testing.T) {
	_, _, client, _ := startPair(t)
	frame, err := client.Do(context.Background(), &hopv1.Request{Id: "panic"}, giveUpAtOnce)
	if err != nil || frame.GetFailure() == nil || frame.GetFailure().GetNotRun() {
		t.Errorf("got %v, error %v; want a failure that may have run", frame, err)
	}
	if frame, err := client.Do(context.Background(), &hopv1.Request{Id: "a"}, giveUpAtOnce); err != nil || frame.GetAnswer() == nil {
		t.Errorf("the next request: %v, error %v", frame, err)
	}
}

// TestOversizedReplyBecomesAFailure covers an answer above the frame limit: without a
// reply the sender would wait until its deadline.
func TestOversizedReplyBecomesAFailure(t *testing.T) {
	_, _, client, _ := startPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	frame, err := client.Do(ctx, &hopv1.Request{Id: "oversized"}, giveUpAtOnce)
	if err != nil || frame.GetFailure() == nil || frame.GetFailure().GetNotRun() {
		t.Errorf("got %v, error %v; want a failure that may have run", frame.GetFailure(), err)
	}
}

// rawPeer is a peer that speaks the protocol by hand on one connection.
type rawPeer struct {
	net.Conn
	reader *bufio.Reader
}

// acceptRaw accepts one connection of a client of the instance "server".
func acceptRaw(t *testing.T, hooks Hooks) (*Client, *rawPeer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	hooks.Instance = "server"
	hooks.Down = func(error) {}
	hooks.DrainRecord = func() *hopv1.Left { return nil }
	hooks.DrainRecordReceived = func(*hopv1.Left) {}
	hooks.HelloState = func() *hopv1.State { return &hopv1.State{} }
	hooks.State = hooks.HelloState
	hooks.AdaptiveTimeout = &AdaptiveTimeout{}
	hooks.Now = func() time.Duration { return time.Since(start) }
	client := NewClient(listener.Addr().String(), &hopv1.Hello{Instance: "client"}, hooks)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); _ = conn.Close(); _ = listener.Close() })
	return client, &rawPeer{conn, bufio.NewReader(conn)}
}

func (p *rawPeer) send(t *testing.T, frame *hopv1.Frame) {
	t.Helper()
	encoded, err := encode(frame)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Write(encoded); err != nil {
		t.Fatal(err)
	}
}

func (p *rawPeer) receive(t *testing.T) *hopv1.Frame {
	t.Helper()
	frame, _, err := readFrame(p.reader)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// TestSecondCopyOfAnAnswerReachesNobody covers a peer that sends an answer twice, the
// second time while the next request is in flight.
func TestSecondCopyOfAnAnswerReachesNobody(t *testing.T) {
	up := make(chan struct{}, 10)
	client, peer := acceptRaw(t, Hooks{Up: func() { up <- struct{}{} }, StateReceived: func(*hopv1.State) {}})
	peer.receive(t)
	peer.send(t, &hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: &hopv1.Hello{Instance: "server"}}})
	<-up
	answers := make(chan string, 2)
	ask := func(id string) {
		frame, err := client.Do(context.Background(), &hopv1.Request{Id: id}, giveUpAtOnce)
		if err != nil {
			t.Error(err)
		}
		answers <- string(frame.GetAnswer().GetBody())
	}
	answer := func(request *hopv1.Frame, body string) *hopv1.Frame {
		return &hopv1.Frame{Stream: request.Stream, Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 200, Body: []byte(body)}}}
	}
	go ask("a")
	first := peer.receive(t)
	peer.send(t, answer(first, "of a"))
	if got := <-answers; got != "of a" {
		t.Errorf("the first request got %q", got)
	}
	go ask("b")
	second := peer.receive(t)
	peer.send(t, answer(first, "of a, again"))
	peer.send(t, &hopv1.Frame{Stream: 99, Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 200}}})
	peer.send(t, answer(second, "of b"))
	if got := <-answers; got != "of b" {
		t.Errorf("the second request got %q", got)
	}
}

// TestStateBeforeTheHandshakeIsIgnored covers another instance that has taken over
// the peer's address and speaks before its Hello.
func TestStateBeforeTheHandshakeIsIgnored(t *testing.T) {
	states := make(chan struct{}, 10)
	_, peer := acceptRaw(t, Hooks{Up: func() {}, StateReceived: func(*hopv1.State) { states <- struct{}{} }})
	peer.receive(t)
	peer.send(t, &hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{State: &hopv1.State{TakesWork: true}}}})
	peer.send(t, &hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: &hopv1.Hello{Instance: "other"}}})
	if _, _, err := readFrame(peer.reader); err == nil {
		t.Error("the connection to another instance stays open")
	}
	if len(states) > 0 {
		t.Error("a state was used before the handshake")
	}
}

// TestCloseDuringTheHandshakeEndsTheConnection covers a member that is removed while
// its connection is being established.
func TestCloseDuringTheHandshakeEndsTheConnection(t *testing.T) {
	up := make(chan struct{}, 10)
	client, peer := acceptRaw(t, Hooks{Up: func() { up <- struct{}{} }, StateReceived: func(*hopv1.State) {}})
	peer.receive(t)
	client.Close()
	encoded, err := encode(&hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: &hopv1.Hello{Instance: "server"}}})
	if err != nil {
		t.Fatal(err)
	}
	// The connection may be closed already.
	_, _ = peer.Write(encoded)
	if err := peer.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if frame, _, err := readFrame(peer.reader); err == nil {
		t.Errorf("after Close got %v", frame)
	} else if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		t.Error("the connection stays open after Close")
	}
	if len(up) > 0 {
		t.Error("Up was called after Close")
	}
}

// FuzzReadFrame reads arbitrary bytes as frames of a peer.
func FuzzReadFrame(f *testing.F) {
	for _, frame := range []*hopv1.Frame{
		{Body: &hopv1.Frame_Hello{Hello: &hopv1.Hello{Instance: "a"}}},
		{Stream: 1, Body: &hopv1.Frame_Part{Part: &hopv1.Part{Data: []byte{1}, Last: true}}},
		{Stream: 1, Body: &hopv1.Frame_Cancel{Cancel: &hopv1.Cancel{}}},
	} {
		encoded, err := encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{5, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		reader, parts := bufio.NewReader(bytes.NewReader(data)), newPartReceiver()
		for {
			frame, _, err := readFrame(reader)
			if err != nil {
				return
			}
			if _, err := parts.receive(frame); err != nil {
				return
			}
		}
	})
}
