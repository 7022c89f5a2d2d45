package hop

import (
	"bytes"
	"context"
	"testing"
	"time"
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

// TestOutboxHasRoomOnceItIsDrained covers parts of large frames, which wait until less is
// queued, and a connection that ends meanwhile.
func TestOutboxHasRoomOnceItIsDrained(t *testing.T) {
	o := newOutbox()
	ctx, cancel := context.WithCancel(context.Background())
	if !o.awaitRoom(ctx) {
		t.Error("an empty outbox has no room")
	}
	o.put(make([]byte, maxQueuedParts+maxBatchBytes))
	const waiting = 3
	results := make(chan bool, waiting)
	for range waiting {
		go func() { results <- o.awaitRoom(ctx) }()
	}
	o.nextBatch()
	select {
	case <-results:
		t.Error("there is room beside maxQueuedParts bytes")
	case <-time.After(20 * time.Millisecond):
	}
	o.nextBatch()
	for range waiting {
		if !<-results {
			t.Error("a drained outbox has no room")
		}
	}
	o.put(make([]byte, maxQueuedParts))
	cancel()
	if o.awaitRoom(ctx) {
		t.Error("there is room on a connection that has ended")
	}
}
