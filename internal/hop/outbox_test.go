package hop

import (
	"bytes"
	"testing"
)

// TestOutboxPreservesOrder queues small frames around one that is split across
// batches.
func TestOutboxPreservesOrder(t *testing.T) {
	o := newOutbox()
	var want []byte
	for i := range 100 {
		size := 10
		if i == 50 {
			size = 3*maxBatchBytes + 7
		}
		frame := bytes.Repeat([]byte{byte(i)}, size)
		want = append(want, frame...)
		if !o.put(frame) {
			t.Fatalf("frame %d was rejected", i)
		}
	}
	var got []byte
	for batch := o.nextBatch(); len(batch) > 0; batch = o.nextBatch() {
		size := 0
		for _, part := range batch {
			size += len(part)
			got = append(got, part...)
		}
		if size > maxBatchBytes {
			t.Errorf("a batch has %d bytes, more than maxBatchBytes", size)
		}
	}
	if !bytes.Equal(got, want) {
		t.Errorf("got %d bytes that differ from the %d queued", len(got), len(want))
	}
	if o.frames != nil || o.queuedBytes != 0 {
		t.Errorf("the empty outbox holds %d frames, %d bytes", len(o.frames), o.queuedBytes)
	}
}

// TestOutboxIsBounded covers a peer that does not read.
func TestOutboxIsBounded(t *testing.T) {
	o := newOutbox()
	if !o.put(make([]byte, maxQueuedBytes+1)) {
		t.Error("an empty outbox rejected a large frame")
	}
	if o.put([]byte{1}) {
		t.Error("a frame beyond maxQueuedBytes was accepted")
	}
	for batch := o.nextBatch(); len(batch) > 0; batch = o.nextBatch() {
	}
	if !o.put([]byte{1}) {
		t.Error("an emptied outbox rejected a frame")
	}
}
