package hop

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestStreamSetMatchesAPlainSet(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var set, other streamSet
		plain := map[uint64]bool{}
		for range random.IntN(150) {
			stream := random.Uint64N(200) + 1
			plain[stream] = true
			if random.IntN(2) == 0 {
				set.add(stream)
			} else {
				other.add(stream)
			}
		}
		set.addAll(&other)
		for stream := range uint64(203) {
			if set.contains(stream) != plain[stream] {
				t.Fatalf("stream %d: in the set %t, added %t; ranges %v", stream, !plain[stream], plain[stream], set.ranges)
			}
		}
		for i := 1; i < len(set.ranges); i++ {
			if set.ranges[i].first <= set.ranges[i-1].last+1 {
				t.Fatalf("ranges %v are adjacent or not in order", set.ranges)
			}
		}
	}
}

// TestStreamSetIsBounded covers a peer that leaves a gap before each stream: what was
// received must never count as not received.
func TestStreamSetIsBounded(t *testing.T) {
	var set streamSet
	const streams = 3 * maxStreamRanges
	for i := range uint64(streams) {
		set.add(2 * i)
	}
	if len(set.ranges) > maxStreamRanges {
		t.Errorf("%d ranges", len(set.ranges))
	}
	for i := range uint64(streams) {
		if !set.contains(2 * i) {
			t.Fatalf("stream %d is missing", 2*i)
		}
	}
}

// TestNoResumedRequestRunsTwice replays random sequences of requests, replies and
// connections that fall silent at any point, also before the answer to a Resume arrives.
// A request that counts as not received must not run on any of its connections, before
// or after that, and one that has not run may count as lost only if a session is unknown.
func TestNoResumedRequestRunsTwice(t *testing.T) {
	t.Parallel()
	for seed := range uint64(300) {
		replayResumptions(t, rand.New(rand.NewPCG(seed, 1)))
	}
}

// resumptionReplay is the opening daemon, the network and the accepting daemon of a replay.
type resumptionReplay struct {
	*rand.Rand
	t       *testing.T
	ledgers []*ledger
	// onTheWay holds, by connection, the requests that were sent and have not arrived.
	onTheWay [][]uint64
	runs     map[uint64]int
	pending  []uint64
	// unresolved are the connections that the next Resume names.
	unresolved []int
	now        time.Duration
}

func replayResumptions(t *testing.T, random *rand.Rand) {
	r := &resumptionReplay{Rand: random, t: t, runs: map[uint64]int{}}
	r.connect()
	for stream := uint64(1); stream <= 60; stream++ {
		r.now += time.Duration(random.IntN(200)) * time.Millisecond
		r.pending = append(r.pending, stream)
		r.send(stream)
		for range random.IntN(4) {
			r.arrive(random.IntN(len(r.ledgers)))
		}
		r.endSome()
		if random.IntN(8) == 0 {
			r.replace()
		}
	}
	for i := range r.ledgers {
		for range r.onTheWay[i] {
			r.arrive(i)
		}
	}
}

func (r *resumptionReplay) connect() {
	r.ledgers = append(r.ledgers, &ledger{running: map[uint64]bool{}})
	r.onTheWay = append(r.onTheWay, nil)
}

// send sends a request on the last connection.
func (r *resumptionReplay) send(stream uint64) {
	last := len(r.onTheWay) - 1
	r.onTheWay[last] = append(r.onTheWay[last], stream)
}

// arrive delivers one of the requests on a connection, in any order: parts of large ones
// are overtaken.
func (r *resumptionReplay) arrive(connection int) {
	waiting := r.onTheWay[connection]
	if len(waiting) == 0 {
		return
	}
	i := r.IntN(len(waiting))
	stream := waiting[i]
	r.onTheWay[connection] = slices.Delete(waiting, i, i+1)
	if r.ledgers[connection].begin(stream) {
		r.runs[stream]++
		if r.runs[stream] > 1 {
			r.t.Fatalf("stream %d runs twice", stream)
		}
	}
}

// endSome ends running requests. Half of the replies arrive.
func (r *resumptionReplay) endSome() {
	for _, l := range r.ledgers {
		for stream := range l.running {
			if r.IntN(3) > 0 {
				continue
			}
			l.end(r.now, stream, make([]byte, r.IntN(maxRetainedReply*5/4)))
			if r.IntN(2) == 0 {
				r.pending = slices.DeleteFunc(r.pending, func(s uint64) bool { return s == stream })
			}
		}
	}
}

// replace opens a connection that resumes the requests of the one before. The Resume, or
// its answer, is lost with the connection now and then, and the next one names both.
func (r *resumptionReplay) replace() {
	r.unresolved = append(r.unresolved, len(r.ledgers)-1)
	r.connect()
	if r.IntN(4) == 0 {
		r.replace()
		return
	}
	last := r.ledgers[len(r.ledgers)-1]
	complete := r.IntN(10) > 0
	for _, earlier := range r.unresolved {
		last.absorb(r.ledgers[earlier])
	}
	result := last.resume(r.pending, complete, nil)
	if r.IntN(4) == 0 {
		r.replace()
		return
	}
	r.unresolved = nil
	for _, stream := range result.notReceived {
		if r.runs[stream] > 0 || !complete {
			r.t.Fatalf("stream %d counts as not received after %d runs; all sessions known: %t", stream, r.runs[stream], complete)
		}
		r.send(stream)
	}
	for _, stream := range result.lost {
		if complete && r.runs[stream] == 0 {
			r.t.Fatalf("stream %d counts as lost and has not run", stream)
		}
		r.pending = slices.DeleteFunc(r.pending, func(s uint64) bool { return s == stream })
	}
	for _, stream := range result.unwanted {
		if slices.Contains(r.pending, stream) {
			r.t.Fatalf("stream %d is wanted and cancelled", stream)
		}
	}
}

// TestRetainedRepliesAreBounded covers a busy session: old replies and more than
// maxRetainedBytes are not kept.
func TestRetainedRepliesAreBounded(t *testing.T) {
	l := &ledger{running: map[uint64]bool{}}
	for stream := uint64(1); stream <= 100; stream++ {
		l.begin(stream)
		l.end(time.Duration(stream)*time.Millisecond, stream, make([]byte, maxRetainedReply/2))
	}
	if l.retainedBytes > maxRetainedBytes || l.retainedBytes < maxRetainedBytes/2 {
		t.Errorf("%d bytes are kept", l.retainedBytes)
	}
	l.begin(101)
	l.end(replyRetention+time.Second, 101, nil)
	if len(l.retained) != 1 {
		t.Errorf("%d replies are kept after their time", len(l.retained))
	}
	if result := l.resume([]uint64{100, 101, 102}, true, nil); !slices.Equal(result.lost, []uint64{100}) || !slices.Equal(result.notReceived, []uint64{102}) || len(result.resend) != 1 {
		t.Errorf("got %+v", result)
	}
}
