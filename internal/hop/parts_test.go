package hop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/shaping"
)

// collect returns a partSender on a link and the frames that it puts.
func collect(link *shaping.Link) (*partSender, chan []byte) {
	out := make(chan []byte, 1000)
	sender := newPartSender(context.Background(), link,
		func(frame []byte) error { out <- frame; return nil },
		func(context.Context) bool { return true })
	sender.allowed.Store(true)
	return sender, out
}

func TestPartsAreAssembled(t *testing.T) {
	answer := &hopv1.Frame{Stream: 7, Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 200, Body: bytes.Repeat([]byte("abc"), 20_000)}}}
	encoded, err := encode(answer)
	if err != nil {
		t.Fatal(err)
	}
	sender, out := collect(nil)
	if !sender.takes(encoded) || sender.takes(encoded[:partBytes]) {
		t.Error("the wrong frames are sent in parts")
	}
	sender.start(outgoing{stream: 7, encoded: encoded})
	receiver := newPartReceiver()
	for {
		part, err := decode(withoutLength(<-out))
		if err != nil {
			t.Fatal(err)
		}
		frame, err := receiver.receive(part)
		if err != nil {
			t.Fatal(err)
		}
		if frame == nil {
			continue
		}
		if frame.Stream != 7 || !bytes.Equal(frame.GetAnswer().GetBody(), answer.GetAnswer().GetBody()) {
			t.Error("the assembled frame differs")
		}
		break
	}
	if receiver.total != 0 || len(receiver.incomplete) != 0 {
		t.Errorf("%d bytes are left after the last part", receiver.total)
	}
}

// TestNoPartFollowsACancel covers a large request that is cancelled while its parts
// wait for the link. The rest is not sent, so that the request never runs, and what
// the peer has of it is discarded.
func TestNoPartFollowsACancel(t *testing.T) {
	sender, out := collect(shaping.NewLink(800_000))
	sender.start(outgoing{stream: 3, encoded: make([]byte, 10*partBytes)})
	first := <-out
	sender.cancel(3)
	sender.start(outgoing{stream: 4, encoded: make([]byte, partBytes)})
	for frame := range out {
		part, err := decode(withoutLength(frame))
		if err != nil {
			t.Fatal(err)
		}
		if part.Stream == 4 {
			break
		}
		t.Error("a part followed the cancellation")
	}
	receiver := newPartReceiver()
	part, err := decode(withoutLength(first))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := receiver.receive(part); err != nil {
		t.Fatal(err)
	}
	cancel := &hopv1.Frame{Stream: 3, Body: &hopv1.Frame_Cancel{Cancel: &hopv1.Cancel{}}}
	if frame, err := receiver.receive(cancel); err != nil || frame != cancel || receiver.total != 0 {
		t.Errorf("after the cancellation %d bytes are left, frame %v, error %v", receiver.total, frame, err)
	}
}

func TestEndlessPartsEndTheConnection(t *testing.T) {
	t.Parallel()
	receiver := newPartReceiver()
	part := &hopv1.Frame{Body: &hopv1.Frame_Part{Part: &hopv1.Part{Data: make([]byte, 1<<20)}}}
	var err error
	for stream := uint64(1); err == nil && stream <= MaxFrame>>20+1; stream++ {
		part.Stream = stream
		_, err = receiver.receive(part)
	}
	if !errors.Is(err, errFrameTooLarge) {
		t.Errorf("got error %v, want errFrameTooLarge", err)
	}
	part.Body = &hopv1.Frame_Part{Part: &hopv1.Part{Data: []byte{0xff}, Last: true}}
	if _, err := newPartReceiver().receive(part); err == nil {
		t.Error("parts that are no frame were accepted")
	}
}

// TestSmallAnswerOvertakesLargeOne covers a connection on which a large answer waits
// for the link. A small answer requested after it arrives first.
func TestSmallAnswerOvertakesLargeOne(t *testing.T) {
	_, _, client, _ := startPairOn(t, shaping.NewLink(2_000_000))
	large := make(chan error, 1)
	go func() {
		frame, err := client.Do(context.Background(), &hopv1.Request{Id: "large"}, giveUpAtOnce)
		if err == nil && len(frame.GetAnswer().GetBody()) != largeBody {
			err = errors.New("incomplete body")
		}
		large <- err
	}()
	time.Sleep(50 * time.Millisecond)
	if _, err := client.Do(context.Background(), &hopv1.Request{Id: "a"}, giveUpAtOnce); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-large:
		t.Errorf("the large answer arrived first, error %v", err)
	default:
	}
	if err := <-large; err != nil {
		t.Error(err)
	}
}

// TestConfigurationOvertakesQueuedAnswers covers a configuration that is fetched from a
// daemon whose network link is full of large answers.
func TestConfigurationOvertakesQueuedAnswers(t *testing.T) {
	handler, _, client, _ := startPairOn(t, shaping.NewLink(2_000_000))
	handler.packed.Store(bytes.Repeat([]byte("c"), 5*partBytes))
	const answers = 3
	large := make(chan error, answers)
	for range answers {
		go func() {
			_, err := client.Do(context.Background(), &hopv1.Request{Id: "large"}, giveUpAtOnce)
			large <- err
		}()
	}
	time.Sleep(50 * time.Millisecond)
	config, err := client.FetchConfig(context.Background())
	if err != nil || len(config.Packed) != 5*partBytes {
		t.Errorf("got a configuration of %d bytes, error %v", len(config.GetPacked()), err)
	}
	if arrived := len(large); arrived > 0 {
		t.Errorf("%d large answers arrived first", arrived)
	}
	for range answers {
		if err := <-large; err != nil {
			t.Error(err)
		}
	}
}

// TestPartsWaitForTheConnection covers an answer that is larger than what may be queued, on
// a machine whose link has no limit. Its parts overflowed the queue, which reset the
// connection, and again each time when the request had moved to the next one.
func TestPartsWaitForTheConnection(t *testing.T) {
	sending, receiving := net.Pipe()
	pc := newPeerConn(sending, nil)
	defer pc.close()
	pc.parts.allowed.Store(true)
	const size = maxQueuedBytes + 8<<20
	if err := pc.send(&hopv1.Frame{Stream: 1, Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Body: make([]byte, size)}}}); err != nil {
		t.Fatal(err)
	}
	// A peer that reads late: meanwhile all parts were queued.
	time.Sleep(200 * time.Millisecond)
	reader := bufio.NewReader(receiving)
	for received, last := 0, false; !last; {
		frame, _, err := readFrame(reader)
		if err != nil {
			t.Fatalf("after %d of %d bytes: %v", received, size, err)
		}
		received += len(frame.GetPart().GetData())
		last = frame.GetPart().GetLast()
	}
}

// TestBeginningOfAnAnswerIsNone covers a frame whose last part comes too early: what has arrived
// must not count as an answer with a shorter body.
func TestBeginningOfAnAnswerIsNone(t *testing.T) {
	encoded, err := encode(&hopv1.Frame{Stream: 7, Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{
		Status: 200, Headers: []*hopv1.Header{{Name: "A", Value: []byte("b")}}, Body: bytes.Repeat([]byte("abc"), 300), RanUs: 5,
	}}})
	if err != nil {
		t.Fatal(err)
	}
	whole := withoutLength(encoded)
	for size := range len(whole) {
		part := &hopv1.Frame{Stream: 7, Body: &hopv1.Frame_Part{Part: &hopv1.Part{Data: whole[:size], Last: true}}}
		if frame, err := newPartReceiver().receive(part); err == nil && frame.GetAnswer() != nil {
			t.Errorf("%d of %d bytes: %v", size, len(whole), frame)
		}
	}
}
