package hop

import (
	"testing"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// largeState returns a state that is sent in several parts.
func largeState() *hopv1.State {
	state := &hopv1.State{}
	for i := range uint64(2000) {
		state.Suspects = append(state.Suspects, &hopv1.Suspect{Fingerprint: i << 40, Crashes: []uint64{i << 41}})
	}
	return state
}

// receiveNext reads queued frames until one is complete and returns it.
func receiveNext(t *testing.T, receiver *partReceiver, out <-chan []byte) *hopv1.Frame {
	t.Helper()
	for {
		part, err := decode(withoutLength(<-out))
		if err != nil {
			t.Fatal(err)
		}
		frame, err := receiver.receive(part)
		if err != nil {
			t.Fatal(err)
		}
		if frame != nil {
			return frame
		}
	}
}

// TestLargeFramesWithoutAStreamArriveInOrder covers pings and pongs with many crash
// suspects: their parts have the same stream number, and were mixed. A mixed frame ends
// the connection.
func TestLargeFramesWithoutAStreamArriveInOrder(t *testing.T) {
	ping, err := encode(&hopv1.Frame{Body: &hopv1.Frame_Ping{Ping: &hopv1.Ping{State: largeState()}}})
	if err != nil {
		t.Fatal(err)
	}
	pong, err := encode(&hopv1.Frame{Body: &hopv1.Frame_Pong{Pong: &hopv1.Pong{State: largeState()}}})
	if err != nil {
		t.Fatal(err)
	}
	const rounds = 200
	sender, out := collect(nil)
	receiver := newPartReceiver()
	for round := range rounds {
		sender.start(outgoing{encoded: ping})
		sender.start(outgoing{encoded: pong})
		if frame := receiveNext(t, receiver, out); frame.GetPing() == nil {
			t.Fatalf("round %d: %T arrived first, want the ping", round, frame.Body)
		}
		if frame := receiveNext(t, receiver, out); frame.GetPong() == nil {
			t.Fatalf("round %d: %T arrived after the ping, want the pong", round, frame.Body)
		}
	}
}
