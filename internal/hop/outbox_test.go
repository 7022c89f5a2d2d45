package hop

import (
	"bytes"
	"testing"
)

// TestOutboxGivesFramesInOrder covers a burst of small frames around a large
// one.
func TestOutboxGivesFramesInOrder(t *testing.T) {
	o := newOutbox()
	var want []byte
	for i := range 100 {
		size := 10
		if i == 50 {
			size = 3*batchBytes + 7
		}
		frame := bytes.Repeat([]byte{byte(i)}, size)
		want = append(want, frame...)
		if !o.put(frame) {
			t.Fatalf("frame %d was refused", i)
		}
	}
	var got []byte
	for batch := o.take(); len(batch) > 0; batch = o.take() {
		size := 0
		for _, part := range batch {
			size += len(part)
			got = append(got, part...)
		}
		if size > batchBytes {
			t.Errorf("a batch has %d bytes", size)
		}
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%d bytes came out, %d went in", len(got), len(want))
	}
	if o.frames != nil || o.queued != 0 {
		t.Errorf("an empty outbox holds %d frames, %d bytes", len(o.frames), o.queued)
	}
}

// TestOutboxIsBounded covers a peer that takes nothing.
func TestOutboxIsBounded(t *testing.T) {
	o := newOutbox()
	if !o.put(make([]byte, maxQueued+1)) {
		t.Error("a large frame was refused by an empty outbox")
	}
	if o.put([]byte{1}) {
		t.Error("a frame was taken above the bound")
	}
	for batch := o.take(); len(batch) > 0; batch = o.take() {
	}
	if !o.put([]byte{1}) {
		t.Error("a frame was refused after all were written")
	}
}
