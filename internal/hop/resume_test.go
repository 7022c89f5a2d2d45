package hop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/faultlink"
	"godwitmount/internal/shaping"
)

// resumeLimit bounds the waits of these tests. It only has to exceed the time on a
// loaded machine.
const resumeLimit = 10 * time.Second

// never does not give a request up, like a caller that has no other upstream.
func never() <-chan struct{} { return nil }

// outcome is what Client.Do returned.
type outcome struct {
	frame *hopv1.Frame
	err   error
}

// start calls Client.Do in the background.
func start(ctx context.Context, client *Client, request *hopv1.Request) chan outcome {
	result := make(chan outcome, 1)
	go func() {
		frame, err := client.Do(ctx, request, never)
		result <- outcome{frame, err}
	}()
	return result
}

func expectAnswer(t *testing.T, result chan outcome, body string) {
	t.Helper()
	select {
	case got := <-result:
		if got.err != nil || string(got.frame.GetAnswer().GetBody()) != body {
			t.Errorf("got %v, error %v; want answer %q", got.frame, got.err, body)
		}
	case <-time.After(resumeLimit):
		t.Error("no answer")
	}
}

// TestUnreceivedRequestIsSentAgain covers a request that is sent on a connection which
// has fallen silent: it has not run and is sent again on a new one, in time.
func TestUnreceivedRequestIsSentAgain(t *testing.T) {
	handler, network, client, _ := startPair(t)
	network.Silence()
	expectAnswer(t, start(context.Background(), client, &hopv1.Request{Id: "a", RemainingMs: 5000, GoalMs: 5000}), "a")
	if runs := handler.runs.Load(); runs != 1 {
		t.Errorf("%d runs", runs)
	}
	if remaining := handler.remainingMs.Load(); remaining >= 5000-busyPingAfter.Milliseconds() {
		t.Errorf("%d of 5000 ms are left: the time on the silent connection does not count", remaining)
	}
}

// TestReplyOfRunningRequestComesOnTheNewConnection covers a request that runs while its
// connection falls silent. It must neither be lost nor run twice.
func TestReplyOfRunningRequestComesOnTheNewConnection(t *testing.T) {
	handler, network, client, _ := startPair(t)
	result := start(context.Background(), client, &hopv1.Request{Id: "held"})
	<-handler.started
	network.Silence()
	// The answer to this one shows that the connection has been replaced.
	expectAnswer(t, start(context.Background(), client, &hopv1.Request{Id: "a"}), "a")
	handler.release <- struct{}{}
	expectAnswer(t, result, "held")
	if runs := handler.runs.Load(); runs != 2 {
		t.Errorf("%d runs of two requests", runs)
	}
}

// TestReplySentOnTheSilentConnectionIsSentAgain covers a request that ends after its
// connection has fallen silent and before that is noticed.
func TestReplySentOnTheSilentConnectionIsSentAgain(t *testing.T) {
	handler, network, client, _ := startPair(t)
	result := start(context.Background(), client, &hopv1.Request{Id: "held"})
	<-handler.started
	network.Silence()
	handler.release <- struct{}{}
	expectAnswer(t, result, "held")
	if runs := handler.runs.Load(); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// TestCancellationOnSilentConnectionReachesPeer covers a caller that leaves while the
// connection to the executing daemon is silent and nobody knows it yet: the Cancel is
// lost with the connection, and the request must end all the same.
func TestCancellationOnSilentConnectionReachesPeer(t *testing.T) {
	handler, network, client, _ := startPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	result := start(ctx, client, &hopv1.Request{Id: "slow"})
	<-handler.started
	network.Silence()
	cancel()
	if got := <-result; !errors.Is(got.err, context.Canceled) {
		t.Errorf("got %v, error %v", got.frame, got.err)
	}
	select {
	case <-handler.cancelled:
	case <-time.After(vanishedAfter / 2):
		t.Error("the request runs on after its caller has left")
	}
}

// TestCancellationOnSilentConnectionAfterLatePings covers the same after a peer that was
// paused: its late answers to pings must not delay the end of the request.
func TestCancellationOnSilentConnectionAfterLatePings(t *testing.T) {
	handler, network, client, _ := startPair(t)
	client.hooks.AdaptiveTimeout.RecordPingDelay(client.now(), time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	result := start(ctx, client, &hopv1.Request{Id: "slow"})
	<-handler.started
	network.Silence()
	cancel()
	<-result
	select {
	case <-handler.cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the request runs on 0.5 s after its caller has left")
	}
}

// TestCancellationFollowsTheRequest covers a caller that leaves after its running
// request has moved to another connection.
func TestCancellationFollowsTheRequest(t *testing.T) {
	handler, network, client, _ := startPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	_ = start(ctx, client, &hopv1.Request{Id: "slow"})
	<-handler.started
	network.Silence()
	expectAnswer(t, start(context.Background(), client, &hopv1.Request{Id: "a"}), "a")
	cancel()
	select {
	case <-handler.cancelled:
	case <-time.After(vanishedAfter / 2):
		t.Error("the request runs on after its caller has left")
	}
}

// TestConfigurationFetchIsRepeated covers a fetch on a connection that has fallen silent.
func TestConfigurationFetchIsRepeated(t *testing.T) {
	_, network, client, _ := startPair(t)
	network.Silence()
	config, err := client.FetchConfig(context.Background())
	if err != nil || config.Version != 3 {
		t.Errorf("got configuration %v, error %v", config, err)
	}
}

// TestLargeFramesMoveToTheNewConnection covers a large request and a large answer whose
// parts are on the way when the connection falls silent. The link needs about 0.9 s for the
// request and 0.45 s for the answer, longer than it takes to replace the connection.
func TestLargeFramesMoveToTheNewConnection(t *testing.T) {
	handler, network, client, _ := startPairOn(t, shaping.NewLink(4_000_000))
	answer := start(context.Background(), client, &hopv1.Request{Id: "large"})
	<-handler.started
	request := start(context.Background(), client, &hopv1.Request{Id: "a", RemainingMs: 60_000, Body: bytes.Repeat([]byte("b"), 400<<10)})
	network.Silence()
	expectAnswer(t, request, "a")
	if got := <-answer; got.err != nil || len(got.frame.GetAnswer().GetBody()) != largeBody {
		t.Errorf("got %d bytes, error %v", len(got.frame.GetAnswer().GetBody()), got.err)
	}
	if runs := handler.runs.Load(); runs != 2 {
		t.Errorf("%d runs of two requests", runs)
	}
}

// TestRequestsSurviveAReset covers a connection that is reset by the network while
// a request runs.
func TestRequestsSurviveAReset(t *testing.T) {
	handler, network, client, _ := startPair(t)
	result := start(context.Background(), client, &hopv1.Request{Id: "held"})
	<-handler.started
	before := client.conn.Load()
	network.SetFault(faultlink.Reset)
	network.SetFault(faultlink.None)
	for conn := before; conn == nil || conn == before; conn = client.conn.Load() {
		time.Sleep(time.Millisecond)
	}
	handler.release <- struct{}{}
	expectAnswer(t, result, "held")
	if runs := handler.runs.Load(); runs != 1 || len(handler.cancelled) > 0 {
		t.Errorf("%d runs, %d cancelled", runs, len(handler.cancelled))
	}
}

// TestTwoConnectionsFallSilent covers a second connection that falls silent like the
// first: the requests move on.
func TestTwoConnectionsFallSilent(t *testing.T) {
	handler, network, client, _ := startPair(t)
	result := start(context.Background(), client, &hopv1.Request{Id: "held"})
	<-handler.started
	for range 3 {
		network.Silence()
		expectAnswer(t, start(context.Background(), client, &hopv1.Request{Id: "a"}), "a")
	}
	handler.release <- struct{}{}
	expectAnswer(t, result, "held")
	if runs := handler.runs.Load(); runs != 4 {
		t.Errorf("%d runs of four requests", runs)
	}
}

// TestSlowPeerIsNotReplaced covers a peer that answers late on a connection that works:
// the second connection answers after the first, and is closed.
func TestSlowPeerIsNotReplaced(t *testing.T) {
	handler, network, client, _ := startPair(t)
	before := client.conn.Load()
	network.SetDelay(busyPingAfter)
	result := start(context.Background(), client, &hopv1.Request{Id: "a"})
	<-handler.started
	// The answer is on its way, and arrives before that to the second Hello.
	client.replace(before)
	expectAnswer(t, result, "a")
	select {
	case <-handler.disconnected:
	case <-time.After(resumeLimit):
		t.Error("no second connection was opened and closed")
	}
	if client.conn.Load() != before {
		t.Error("the connection was replaced")
	}
}

// TestEarlierReleaseIsServedAsBefore covers a peer that does not support sessions: its
// requests are neither moved nor sent again.
func TestEarlierReleaseIsServedAsBefore(t *testing.T) {
	t.Parallel()
	up := make(chan struct{}, 10)
	client, peer := acceptRaw(t, Hooks{Up: func() { up <- struct{}{} }, StateReceived: func(*hopv1.State) {}})
	peer.receive(t)
	peer.send(t, &hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: &hopv1.Hello{Instance: "server"}}})
	<-up
	asked := 0
	_, err := client.Do(context.Background(), &hopv1.Request{Id: "a"}, func() <-chan struct{} { asked++; return nil })
	if !errors.Is(err, ErrConnectionLost) || asked != 1 {
		t.Errorf("got error %v after %d calls of silent, want ErrConnectionLost after 1", err, asked)
	}
}

// dialRaw opens a connection to the server of startPair, with a session, and waits for its
// Hello.
func dialRaw(t *testing.T, network *faultlink.Link, session uint64) *rawPeer {
	t.Helper()
	conn, err := net.Dial("tcp", network.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	peer := &rawPeer{conn, bufio.NewReader(conn)}
	peer.send(t, &hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: &hopv1.Hello{Instance: "raw", Session: session, TakesParts: true}}})
	if got := peer.receive(t).GetHello().GetSession(); got != session {
		t.Fatalf("the Hello has session %d", got)
	}
	return peer
}

// resume sends a Resume and returns the answer.
func (p *rawPeer) resume(t *testing.T, sessions, wanted []uint64) *hopv1.Resumed {
	t.Helper()
	p.send(t, &hopv1.Frame{Body: &hopv1.Frame_Resume{Resume: &hopv1.Resume{Sessions: sessions, Wanted: wanted}}})
	return p.receive(t).GetResumed()
}

func (p *rawPeer) request(t *testing.T, stream uint64, id string) {
	t.Helper()
	p.send(t, &hopv1.Frame{Stream: stream, Body: &hopv1.Frame_Request{Request: &hopv1.Request{Id: id}}})
}

// TestLateRequestOfAReplacedSessionDoesNotRun covers a connection that was only slow: a
// request that arrives on it after it was reported as not received.
func TestLateRequestOfAReplacedSessionDoesNotRun(t *testing.T) {
	handler, network, _, _ := startPair(t)
	first := dialRaw(t, network, 11)
	first.request(t, 1, "held")
	<-handler.started
	second := dialRaw(t, network, 12)
	got := second.resume(t, []uint64{11}, []uint64{1, 2})
	if !slices.Equal(got.GetNotReceived(), []uint64{2}) || len(got.GetLost()) > 0 {
		t.Errorf("got %v", got)
	}
	first.request(t, 2, "late")
	// The Pong shows that the request before it was handled.
	first.send(t, &hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{}}})
	first.receive(t)
	if runs := handler.runs.Load(); runs != 1 {
		t.Errorf("%d runs, want that of the first request only", runs)
	}
	handler.release <- struct{}{}
	if reply := second.receive(t); reply.Stream != 1 || string(reply.GetAnswer().GetBody()) != "held" {
		t.Errorf("the new connection got %v", reply)
	}
}

// TestUnknownSessionIsNeverNotReceived covers a daemon that was restarted, or that has
// forgotten a session, and sessions of another peer: a request may have run.
func TestUnknownSessionIsNeverNotReceived(t *testing.T) {
	_, network, _, _ := startPair(t)
	_ = dialRaw(t, network, 21)
	second := dialRaw(t, network, 22)
	if got := second.resume(t, []uint64{21, 20}, []uint64{1}); !slices.Equal(got.GetLost(), []uint64{1}) || len(got.GetNotReceived()) > 0 {
		t.Errorf("got %v, want stream 1 as lost", got)
	}
}

// TestSilenceOnASlowLinkIsFoundBeforeTheReadTimeout covers a connection whose pings take
// long, so that the read timeout is longer than a configuration may take.
func TestSilenceOnASlowLinkIsFoundBeforeTheReadTimeout(t *testing.T) {
	handler, network, client, down := startPair(t)
	network.SetDelay(minReplaceAfter)
	result := start(context.Background(), client, &hopv1.Request{Id: "held"})
	for client.hooks.AdaptiveTimeout.Timeout(client.now()) < 2*delayFactor*minReplaceAfter*9/10 {
		time.Sleep(busyCheckInterval)
	}
	for len(down) > 0 {
		// The timeout has grown because the first pings were late.
		<-down
	}
	network.Silence()
	if config, err := client.FetchConfig(context.Background()); err != nil || config.Version != 3 {
		t.Errorf("got configuration %v, error %v", config, err)
	}
	handler.release <- struct{}{}
	expectAnswer(t, result, "held")
	if len(down) > 0 {
		t.Errorf("the peer counted as lost: %v", <-down)
	}
}

// TestCheckIsNotAnsweredByAnEarlierPing covers a connection that falls silent between the
// answer to a ping and the moment at which monitor notes it: the check that follows must
// not count as answered.
func TestCheckIsNotAnsweredByAnEarlierPing(t *testing.T) {
	for name, check := range map[string]func(*Client){"Check": (*Client).Check, "PingNow": (*Client).PingNow} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handler, network, client, _ := startPair(t)
			for handler.states.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(2 * busyPingAfter)
			before := client.conn.Load()
			network.Silence()
			check(client)
			for end := time.Now().Add(idlePingAfter / 2); client.conn.Load() == before; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the silent connection is still in use")
				}
			}
		})
	}
}

// TestRepeatedReplyIsFollowedByTheState covers a reply that is sent again: the state in it
// is old, and the last one that arrives counts.
func TestRepeatedReplyIsFollowedByTheState(t *testing.T) {
	_, network, _, _ := startPair(t)
	first := dialRaw(t, network, 31)
	first.request(t, 1, "a")
	if reply := first.receive(t); reply.GetAnswer() == nil {
		t.Fatalf("got %v", reply)
	}
	second := dialRaw(t, network, 32)
	second.resume(t, []uint64{31}, []uint64{1})
	if reply := second.receive(t); reply.Stream != 1 || reply.GetAnswer() == nil {
		t.Errorf("got %v, want the answer again", reply)
	}
	if last := second.receive(t); last.GetPing().GetState() == nil {
		t.Errorf("got %v, want a Ping with the state", last)
	}
}

// TestAnswerOnItsWayOnAReplacedConnectionIsNotLost covers a large answer, which the peer keeps no copy of, that
// is on its way on a connection when that is replaced: a part of it has arrived, the rest follows
// a moment after the Resumed.
func TestAnswerOnItsWayOnAReplacedConnectionIsNotLost(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	client := dialTo(t, listener)
	first := acceptHello(t, listener)
	for client.conn.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	result := start(context.Background(), client, &hopv1.Request{Id: "a"})
	second := acceptHello(t, listener)
	resume := second.receive(t).GetResume()
	if len(resume.GetWanted()) != 1 {
		t.Fatalf("the second connection begins with %v", resume)
	}
	answer, err := encode(&hopv1.Frame{Stream: resume.Wanted[0], Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 200, Body: make([]byte, largeBody)}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := first.Write(answer[:len(answer)/2]); err != nil {
		t.Fatal(err)
	}
	second.send(t, &hopv1.Frame{Body: &hopv1.Frame_Resumed{Resumed: &hopv1.Resumed{Lost: resume.Wanted}}})
	time.Sleep(20 * time.Millisecond)
	// If this fails, the client has reset the connection.
	_, _ = first.Write(answer[len(answer)/2:])
	if got := <-result; got.err != nil || len(got.frame.GetAnswer().GetBody()) != largeBody {
		t.Errorf("the request ended with %d bytes, error %v", len(got.frame.GetAnswer().GetBody()), got.err)
	}
}
