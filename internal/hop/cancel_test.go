package hop

import (
	"context"
	"errors"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/faultlink"
	"godwitmount/internal/shaping"
)

// expectCancelledReply reads the frames of a peer up to the end of a cancelled reply: a
// Cancel, with which the peer drops the parts it has, and a failure in place of the reply.
// It returns the number of bytes in parts before that.
func expectCancelledReply(t *testing.T, peer *rawPeer, stream uint64) int {
	t.Helper()
	size := 0
	frame := peer.next(t)
	for ; frame.GetPart() != nil; frame = peer.next(t) {
		size += len(frame.GetPart().Data)
	}
	if frame.GetCancel() != nil {
		frame = peer.next(t)
	} else if size > 0 {
		t.Error("no Cancel follows the parts")
	}
	if frame.Stream != stream || code.Code(frame.GetFailure().GetCode()) != code.CallCancelled {
		t.Errorf("got %T on stream %d, want a failure in place of the reply", frame.Body, frame.Stream)
	}
	return size
}

// TestCancelEndsALargeReply covers a caller that leaves during a large download: the rest
// was sent in full, and occupied a slow link.
func TestCancelEndsALargeReply(t *testing.T) {
	link := shaping.NewLink(200_000)
	_, network, _, _ := startPairOn(t, link)
	peer := dialRaw(t, network, 7)
	peer.request(t, 1, "huge")
	if first := peer.next(t); first.GetPart() == nil {
		t.Fatalf("got %T, want the first part of the reply", first.Body)
	}
	peer.send(t, &hopv1.Frame{Stream: 1, Body: &hopv1.Frame_Cancel{Cancel: &hopv1.Cancel{}}})
	if size := expectCancelledReply(t, peer, 1); size > hugeBody/2 {
		t.Errorf("%d of %d bytes were sent after the first part", size, hugeBody)
	}
	peer.send(t, &hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{}}})
	if frame := peer.next(t); frame.GetPong() == nil {
		t.Errorf("%T follows the end of the reply", frame.Body)
	}
	if backlog := link.Backlog(); backlog > 0 {
		t.Errorf("the backlog of the link is %s", backlog)
	}
}

// TestLargeReplyAfterACancelIsNotSent covers a request that goes on at the upstream after
// its caller has left, and then has a large answer.
func TestLargeReplyAfterACancelIsNotSent(t *testing.T) {
	handler, network, _, _ := startPairOn(t, shaping.NewLink(1_000_000))
	peer := dialRaw(t, network, 7)
	peer.request(t, 1, "large after release")
	<-handler.started
	peer.send(t, &hopv1.Frame{Stream: 1, Body: &hopv1.Frame_Cancel{Cancel: &hopv1.Cancel{}}})
	// The Pong shows that the Cancel before it was handled.
	peer.send(t, &hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{}}})
	peer.receive(t)
	handler.release <- struct{}{}
	if size := expectCancelledReply(t, peer, 1); size > 0 {
		t.Errorf("%d bytes of the reply were sent", size)
	}
}

// TestCancelledDownloadReleasesItsGrants covers the client of both: it grants no more of a
// reply that nobody waits for, and does not wait for its end.
func TestCancelledDownloadReleasesItsGrants(t *testing.T) {
	link := shaping.NewLink(100_000)
	handler, _, client, _ := startPairBetween(t, nil, link)
	ctx, cancel := context.WithCancel(context.Background())
	result := start(ctx, client, &hopv1.Request{Id: "huge"})
	<-handler.started
	for link.Inbound().Transfers() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-result
	expectIdle(t, link)
	for end := time.Now().Add(resumeLimit); client.Unconfirmed() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the client still waits for the end of the request")
		}
	}
}

// TestEndOfARequestNamesItsCause checks that the executing daemon can tell apart why a request
// of a peer ends.
func TestEndOfARequestNamesItsCause(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(t *testing.T, peer *rawPeer, network *faultlink.Link)
		want error
	}{
		"cancelled": {func(t *testing.T, peer *rawPeer, _ *faultlink.Link) {
			peer.send(t, &hopv1.Frame{Stream: 1, Body: &hopv1.Frame_Cancel{Cancel: &hopv1.Cancel{}}})
		}, ErrCancelled},
		"not resumed": {func(t *testing.T, peer *rawPeer, network *faultlink.Link) {
			dialRaw(t, network, 8).resume(t, []uint64{7}, nil)
		}, ErrNotResumed},
		"connection ended": {func(t *testing.T, peer *rawPeer, _ *faultlink.Link) {
			_ = peer.Close()
		}, ErrPeerGone},
	} {
		t.Run(name, func(t *testing.T) {
			handler, network, _, _ := startPair(t)
			peer := dialRaw(t, network, 7)
			peer.request(t, 1, "slow")
			<-handler.started
			c.end(t, peer, network)
			if got := <-handler.causes; !errors.Is(got, c.want) {
				t.Errorf("got the cause %v, want %v", got, c.want)
			}
		})
	}
}
