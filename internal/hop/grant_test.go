package hop

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/faultlink"
	"godwitmount/internal/shaping"
)

// uploadBytes is the size of the body of the large requests of these tests.
const uploadBytes = 200 << 10

// upload returns a large request with plenty of time.
func upload(id string) *hopv1.Request {
	return &hopv1.Request{Id: id, RemainingMs: 60_000, GoalMs: 30_000, Body: bytes.Repeat([]byte("u"), uploadBytes)}
}

// next returns the next frame that is not a Ping, and answers pings, so that the client
// does not take the peer for silent.
func (p *rawPeer) next(t *testing.T) *hopv1.Frame {
	t.Helper()
	for {
		frame := p.receive(t)
		if frame.GetPing() == nil {
			return frame
		}
		p.send(t, &hopv1.Frame{Stream: frame.Stream, Body: &hopv1.Frame_Pong{Pong: &hopv1.Pong{}}})
	}
}

func (p *rawPeer) announce(t *testing.T, stream uint64, announce *hopv1.PartAnnounce) {
	t.Helper()
	p.send(t, &hopv1.Frame{Stream: stream, Body: &hopv1.Frame_PartAnnounce{PartAnnounce: announce}})
}

func (p *rawPeer) grant(t *testing.T, stream uint64, size int) {
	t.Helper()
	p.send(t, &hopv1.Frame{Stream: stream, Body: &hopv1.Frame_PartGrant{PartGrant: &hopv1.PartGrant{Bytes: uint32(size)}}})
}

// acceptClient accepts a client's connection as a peer with a network link of the given
// rate, and completes the handshake.
func acceptClient(t *testing.T, linkKbps uint32, hooks Hooks) (*Client, *rawPeer) {
	t.Helper()
	up := make(chan struct{}, 10)
	hooks.Up = func() { up <- struct{}{} }
	hooks.StateReceived = func(*hopv1.State) {}
	client, peer := acceptRaw(t, hooks)
	session := peer.receive(t).GetHello().GetSession()
	peer.send(t, &hopv1.Frame{Body: &hopv1.Frame_Hello{Hello: &hopv1.Hello{
		Instance: "server", Session: session, TakesParts: true, LinkKbps: linkKbps}}})
	<-up
	return client, peer
}

// expectIdle waits until no announced frame is left on the receiving direction of a link.
func expectIdle(t *testing.T, link *shaping.Link) {
	t.Helper()
	for end := time.Now().Add(resumeLimit); link.Inbound().Transfers() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d announced frames are left", link.Inbound().Transfers())
		}
	}
}

// expectNothingSent checks that no frame waits to be sent in parts on the connection, and
// waits until none counts as incomplete at the peer.
func expectNothingSent(t *testing.T, client *Client) {
	t.Helper()
	parts := client.conn.Load().parts
	parts.mu.Lock()
	if len(parts.sending) > 0 {
		t.Errorf("%d frames still wait for grants", len(parts.sending))
	}
	parts.mu.Unlock()
	incomplete := func() int {
		parts.incomplete.mu.Lock()
		defer parts.incomplete.mu.Unlock()
		return parts.incomplete.bytes
	}
	for end := time.Now().Add(resumeLimit); incomplete() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("frames of %d bytes still count as incomplete", incomplete())
		}
	}
}

// TestLargeRequestsAreGranted covers several large requests to a machine with a slow link:
// all arrive complete, and nothing is left of them.
func TestLargeRequestsAreGranted(t *testing.T) {
	link := shaping.NewLink(20_000_000)
	handler, _, client, _ := startPairOn(t, link)
	var results []chan outcome
	for range 3 {
		results = append(results, start(context.Background(), client, upload("a")))
	}
	for _, result := range results {
		expectAnswer(t, result, "a")
	}
	if runs := handler.runs.Load(); runs != 3 {
		t.Errorf("%d runs of three requests", runs)
	}
	expectIdle(t, link)
	expectNothingSent(t, client)
}

// TestGrantsOfAnAnnouncedRequest covers the protocol of a receiver with a slow link: no
// more than four parts are outstanding, grants follow what arrives, and the time that a
// request waits for its grants is part of its time left.
func TestGrantsOfAnAnnouncedRequest(t *testing.T) {
	handler, network, _, _ := startPairOn(t, shaping.NewLink(8_000_000))
	peer := dialRaw(t, network, 7)
	encoded, err := encode(&hopv1.Frame{Stream: 1, Body: &hopv1.Frame_Request{Request: upload("a")}})
	if err != nil {
		t.Fatal(err)
	}
	data := withoutLength(encoded)
	remaining := uint32(60_000)
	peer.announce(t, 1, &hopv1.PartAnnounce{Bytes: uint32(len(data)), RemainingMs: &remaining, GoalMs: &remaining})
	began := time.Now()
	granted := 0
	for granted < 4*partBytes {
		granted += int(peer.receive(t).GetPartGrant().GetBytes())
	}
	_ = peer.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if frame, _, err := readFrame(peer.reader); err == nil {
		t.Errorf("got %v while four parts are outstanding", frame)
	}
	_ = peer.SetReadDeadline(time.Time{})
	waited := time.Since(began)
	for sent := 0; sent < len(data); {
		if granted-sent > 4*partBytes || granted > len(data) {
			t.Fatalf("%d bytes granted, %d sent of %d", granted, sent, len(data))
		}
		size := min(granted-sent, partBytes)
		part := &hopv1.Part{Data: data[sent : sent+size], Last: sent+size == len(data)}
		peer.send(t, &hopv1.Frame{Stream: 1, Body: &hopv1.Frame_Part{Part: part}})
		sent += size
		for granted == sent && sent < len(data) {
			granted += int(peer.receive(t).GetPartGrant().GetBytes())
		}
	}
	if got := string(peer.next(t).GetAnswer().GetBody()); got != "a" {
		t.Errorf("got answer %q", got)
	}
	if left := handler.remainingMs.Load(); left > 60_000-waited.Milliseconds() {
		t.Errorf("%d ms are left of 60 s after a wait of %s", left, waited)
	}
}

// TestRequestIsRefusedBeforeItsTransfer covers a request that cannot arrive before its
// deadline: it gets a failure at once, and no part of it is sent.
func TestRequestIsRefusedBeforeItsTransfer(t *testing.T) {
	link := shaping.NewLink(1_000_000)
	handler, _, client, _ := startPairOn(t, link)
	request := upload("a")
	request.RemainingMs, request.GoalMs = 1000, 0
	frame, err := client.Do(context.Background(), request, giveUpAtOnce)
	if failed := frame.GetFailure(); err != nil || !failed.GetNotRun() || failed.GetRetryMs() < 500 || failed.GetRetryMs() > 1500 {
		t.Errorf("got %v, error %v; want a failure with the excess of 0.8 s", frame, err)
	}
	if runs := handler.runs.Load(); runs > 0 {
		t.Errorf("%d runs", runs)
	}
	expectIdle(t, link)
	expectNothingSent(t, client)
}

// TestCancelledUploadHasNotRun covers a request that is cancelled while a part of it is
// sent: no part follows, also if a grant does, and the sender knows that it has not run.
func TestCancelledUploadHasNotRun(t *testing.T) {
	client, peer := acceptClient(t, 8000, Hooks{})
	ctx, cancel := context.WithCancel(context.Background())
	result := start(ctx, client, upload("a"))
	announced := peer.next(t)
	announce := announced.GetPartAnnounce()
	if announce.GetRemainingMs() != 60_000 || announce.GetGoalMs() != 30_000 || announce.GetBytes() < uploadBytes {
		t.Errorf("announced as %v", announce)
	}
	peer.grant(t, announced.Stream, partBytes)
	if got := len(peer.next(t).GetPart().GetData()); got != partBytes {
		t.Errorf("a part of %d bytes follows the grant of one", got)
	}
	cancel()
	if got := <-result; !errors.Is(got.err, ErrNotSent) || !errors.Is(got.err, context.Canceled) {
		t.Errorf("got %v, error %v; want ErrNotSent", got.frame, got.err)
	}
	if frame := peer.next(t); frame.GetCancel() == nil {
		t.Errorf("got %v, want a Cancel", frame)
	}
	peer.grant(t, announced.Stream, 4*partBytes)
	again := start(context.Background(), client, &hopv1.Request{Id: "b"})
	if frame := peer.next(t); frame.GetRequest().GetId() != "b" {
		t.Errorf("after the Cancel got %T, want the next request", frame.Body)
	}
	if client.Unconfirmed() > 0 {
		t.Error("the client waits for the end of a request that was not received")
	}
	peer.send(t, &hopv1.Frame{Stream: announced.Stream + 1, Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Body: []byte("b")}}})
	expectAnswer(t, again, "b")
	expectNothingSent(t, client)
}

// TestCancelReleasesGrants covers a sender that cancels an announced request, and one that
// disappears: the link must be free for others.
func TestCancelReleasesGrants(t *testing.T) {
	link := shaping.NewLink(8_000_000)
	_, network, _, _ := startPairOn(t, link)
	peer := dialRaw(t, network, 7)
	peer.announce(t, 1, &hopv1.PartAnnounce{Bytes: 1 << 20})
	peer.receive(t)
	if link.Inbound().Backlog() == 0 {
		t.Error("an announced frame is no backlog")
	}
	peer.send(t, &hopv1.Frame{Stream: 1, Body: &hopv1.Frame_Cancel{Cancel: &hopv1.Cancel{}}})
	expectIdle(t, link)
	peer.announce(t, 2, &hopv1.PartAnnounce{Bytes: 1 << 20})
	peer.receive(t)
	_ = peer.Close()
	expectIdle(t, link)
}

// TestUploadMovesToTheNewConnection covers a request whose parts wait for their grants when
// the connection falls silent: it is announced again on the next one, and runs once.
func TestUploadMovesToTheNewConnection(t *testing.T) {
	link := shaping.NewLink(4_000_000)
	handler, network, client, _ := startPairOn(t, link)
	result := start(context.Background(), client, upload("a"))
	for link.Inbound().Backlog() == 0 {
		time.Sleep(time.Millisecond)
	}
	network.Silence()
	expectAnswer(t, result, "a")
	if runs := handler.runs.Load(); runs != 1 {
		t.Errorf("%d runs", runs)
	}
	expectIdle(t, link)
}

// TestUnsentReplySurvivesAReset covers a reply that is too large to be kept, whose parts
// are being sent when the connection is reset: it is sent on the next one.
func TestUnsentReplySurvivesAReset(t *testing.T) {
	handler, network, client, _ := startPairOn(t, shaping.NewLink(2_000_000))
	result := start(context.Background(), client, &hopv1.Request{Id: "large"})
	<-handler.started
	time.Sleep(100 * time.Millisecond)
	network.SetFault(faultlink.Reset)
	network.SetFault(faultlink.None)
	if got := <-result; got.err != nil || len(got.frame.GetAnswer().GetBody()) != largeBody {
		t.Errorf("got %d bytes, error %v", len(got.frame.GetAnswer().GetBody()), got.err)
	}
	if runs := handler.runs.Load(); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// TestLostUploadHasNotRun covers a request whose parts wait for their grants when the
// connection is lost for good, or the peer falls silent: it has not run, so that it may be
// sent elsewhere without asking.
func TestLostUploadHasNotRun(t *testing.T) {
	for name, fault := range map[string]faultlink.Fault{"reset": faultlink.Reset, "silent": faultlink.Blocked} {
		t.Run(name, func(t *testing.T) {
			link := shaping.NewLink(1_000_000)
			handler, network, client, _ := startPairOn(t, link)
			result := make(chan error, 1)
			go func() {
				_, err := client.Do(context.Background(), upload("a"), func() <-chan struct{} { t.Error("the peer counted as silent"); return giveUpAtOnce() })
				result <- err
			}()
			for link.Inbound().Backlog() == 0 {
				time.Sleep(time.Millisecond)
			}
			network.SetFault(fault)
			select {
			case err := <-result:
				if !errors.Is(err, ErrNotSent) {
					t.Errorf("got error %v, want ErrNotSent", err)
				}
			case <-time.After(resumeLimit):
				t.Error("the request still waits")
			}
			if runs := handler.runs.Load(); runs > 0 {
				t.Errorf("%d runs", runs)
			}
		})
	}
}

// TestUnpacedPeerGetsPartsAtOnce covers peers of earlier releases, with an unlimited link
// and with a fast one: nothing is announced to them.
func TestUnpacedPeerGetsPartsAtOnce(t *testing.T) {
	for _, kbps := range []uint32{0, 100_000} {
		client, peer := acceptClient(t, kbps, Hooks{})
		_ = start(context.Background(), client, upload("a"))
		for received := 0; received < uploadBytes; {
			part := peer.next(t).GetPart()
			if part == nil {
				t.Fatal("a frame other than a part was sent")
			}
			received += len(part.Data)
		}
	}
}

// TestRequestOfSomeKilobytesIsGranted covers a slow link to an upstream that is full:
// requests with bodies of a few kilobytes, offered by many daemons, would fill it.
func TestRequestOfSomeKilobytesIsGranted(t *testing.T) {
	client, peer := acceptClient(t, 10_000, Hooks{})
	request := upload("a")
	request.Body = request.Body[:2*pacedBytes]
	_ = start(context.Background(), client, request)
	frame := peer.next(t)
	announce := frame.GetPartAnnounce()
	if announce == nil {
		t.Fatalf("%T was sent before it was granted", frame.Body)
	}
	peer.grant(t, frame.Stream, int(announce.GetBytes()))
	if part := peer.next(t).GetPart(); !part.GetLast() || len(part.GetData()) != int(announce.GetBytes()) {
		t.Errorf("sent a part of %d bytes, want all %d", len(part.GetData()), announce.GetBytes())
	}
}

// TestRepliesAreGrantedByRank covers a daemon with a slow link whose peers reply to it: a
// configuration is granted before a reply that was announced earlier.
func TestRepliesAreGrantedByRank(t *testing.T) {
	client, peer := acceptClient(t, 0, Hooks{Link: shaping.NewLink(800_000)})
	_ = start(context.Background(), client, &hopv1.Request{Id: "a"})
	reply := peer.next(t).Stream
	go func() { _, _ = client.FetchConfig(context.Background()) }()
	config := peer.next(t).Stream
	peer.announce(t, reply, &hopv1.PartAnnounce{Bytes: 4 * partBytes})
	if got := peer.next(t); got.Stream != reply || got.GetPartGrant() == nil {
		t.Errorf("got %v, want a grant of the reply", got)
	}
	peer.announce(t, config, &hopv1.PartAnnounce{Bytes: 4 * partBytes})
	for granted := 0; granted < 4*partBytes; {
		got := peer.next(t)
		if got.Stream != config {
			t.Fatalf("got %v, want a grant of the configuration", got)
		}
		granted += int(got.GetPartGrant().GetBytes())
	}
}

// TestUploadWithoutGrantsIsWithdrawn covers a large request past its goal at a peer whose
// link is taken by frames that rank before it: it must not wait until its deadline.
func TestUploadWithoutGrantsIsWithdrawn(t *testing.T) {
	link := shaping.NewLink(8_000_000)
	handler, _, client, _ := startPairOn(t, link)
	// Ten seconds of a frame that arrives as it is granted.
	grants := make(chan int, 100)
	other, _ := link.Inbound().Announce(shaping.Announcement{Kind: shaping.ReplyFrame, Bytes: 9_000_000}, func(bytes int) { grants <- bytes })
	go func() {
		for granted := range grants {
			link.Inbound().Arrived(other, granted)
		}
	}()
	defer link.Inbound().End(other)
	request := upload("a")
	request.GoalMs = 0
	began := time.Now()
	_, err := client.Do(context.Background(), request, giveUpAtOnce)
	if took := time.Since(began); !errors.Is(err, ErrTransferLate) || took < maxLateTransfer || took > 10*maxLateTransfer {
		t.Errorf("got error %v after %s, want ErrTransferLate", err, took)
	}
	if handler.runs.Load() > 0 {
		t.Error("the request ran")
	}
	expectNothingSent(t, client)
}
