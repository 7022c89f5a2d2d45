package hop

import (
	"bufio"
	"net"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// TestTwoAnswersAboveTheLimitTogether covers two large answers whose parts are sent by turns
// on one connection. Together they exceeded what the receiver accepts of incomplete frames,
// which ended the connection, and again when they had moved to the next one.
func TestTwoAnswersAboveTheLimitTogether(t *testing.T) {
	sending, receiving := net.Pipe()
	pc := newPeerConn(sending, nil)
	defer pc.close()
	pc.parts.allowed.Store(true)
	const size = MaxFrame * 5 / 8
	for stream := range uint64(2) {
		answer := &hopv1.Frame{Stream: stream + 1, Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Body: make([]byte, size)}}}
		if err := pc.send(answer); err != nil {
			t.Fatal(err)
		}
	}
	reader, parts := bufio.NewReader(receiving), newPartReceiver()
	for complete := 0; complete < 2; {
		part, _, err := readFrame(reader)
		if err != nil {
			t.Fatal(err)
		}
		frame, err := parts.receive(part)
		if err != nil {
			t.Fatalf("after %d answers: %v", complete, err)
		}
		if frame != nil {
			complete++
		}
	}
}

// TestStoppedFrameCountsUntilItsCancel covers a large request that is cancelled while another
// one waits: the peer keeps what it has of the first until the Cancel.
func TestStoppedFrameCountsUntilItsCancel(t *testing.T) {
	sender, out := collect(nil)
	sender.linkKbps.Store(10_000)
	const size = MaxFrame * 5 / 8
	begin := func(stream uint64) {
		sender.start(outgoing{stream: stream, encoded: make([]byte, size)})
		<-out // The announcement.
		sender.grant(stream, partBytes)
	}
	expectPart := func(stream uint64) {
		t.Helper()
		select {
		case encoded := <-out:
			if frame, err := decode(withoutLength(encoded)); err != nil || frame.Stream != stream || frame.GetPart() == nil {
				t.Errorf("got %v, error %v; want a part of stream %d", frame, err, stream)
			}
		case <-time.After(resumeLimit):
			t.Fatalf("no part of stream %d", stream)
		}
	}
	expectNone := func(when string) {
		t.Helper()
		select {
		case <-out:
			t.Errorf("a part is sent %s", when)
		case <-time.After(20 * time.Millisecond):
		}
	}
	begin(1)
	expectPart(1)
	begin(2)
	expectNone("beside the first frame")
	sender.cancel(1)
	expectNone("before the Cancel of the first frame")
	sender.cancelSent(1)
	expectPart(2)
	begin(3)
	sender.cancel(3)
	sender.cancelSent(3)
	sender.grant(2, size)
	for range size/partBytes - 1 {
		expectPart(2)
	}
	begin(4)
	expectPart(4)
}
