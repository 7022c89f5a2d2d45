package hop

import (
	"maps"
	"slices"
	"time"
)

const (
	// replyRetention is how long a sent reply is kept: by then the peer has either
	// noticed that the connection is silent or given its requests up.
	replyRetention = vanishedAfter
	// maxRetainedReply and maxRetainedBytes bound the replies that are kept, each and
	// together for one session. At 100 replies of 1 KiB a second for replyRetention,
	// all fit.
	maxRetainedReply = 64 << 10
	maxRetainedBytes = 384 << 10
)

// ledger records which requests of a session were received and what became of them. It
// does no I/O and is not safe for concurrent use.
type ledger struct {
	// fenced is set once the session was replaced: nothing more is received on it.
	fenced   bool
	received streamSet
	// running holds the running requests, and whether a caller waits for the reply.
	running map[uint64]bool
	// retained holds the replies sent last, oldest first; retainedBytes is their size.
	retained      []retainedReply
	retainedBytes int
}

// retainedReply is an encoded reply that may be lost with its connection.
type retainedReply struct {
	stream  uint64
	at      time.Duration
	encoded []byte
}

// begin records the receipt of a request and reports whether it is to be run: not in a
// fenced session, and only once.
func (l *ledger) begin(stream uint64) bool {
	if l.fenced || l.received.contains(stream) {
		return false
	}
	l.received.add(stream)
	l.running[stream] = true
	return true
}

// cancel records a Cancel. A request that arrives after it is not run.
func (l *ledger) cancel(stream uint64) {
	if l.fenced {
		return
	}
	l.received.add(stream)
	l.abandon(stream)
}

// abandon records that no caller waits for the reply to a request, if it still runs.
func (l *ledger) abandon(stream uint64) {
	if _, runs := l.running[stream]; runs {
		l.running[stream] = false
	}
}

// awaited reports whether a request runs and a caller waits for the reply.
func (l *ledger) awaited(stream uint64) bool { return l.running[stream] }

// end records the reply to a running request.
func (l *ledger) end(now time.Duration, stream uint64, encoded []byte) {
	delete(l.running, stream)
	if len(encoded) <= maxRetainedReply {
		l.retained = append(l.retained, retainedReply{stream, now, encoded})
		l.retainedBytes += len(encoded)
	}
	l.expire(now)
}

// expire removes replies that are older than replyRetention or exceed maxRetainedBytes.
func (l *ledger) expire(now time.Duration) {
	removed := 0
	for removed < len(l.retained) && (l.retainedBytes > maxRetainedBytes || now-l.retained[removed].at > replyRetention) {
		l.retainedBytes -= len(l.retained[removed].encoded)
		removed++
	}
	l.retained = slices.Delete(l.retained, 0, removed)
}

// absorb moves what another session has recorded to this one and fences the other.
func (l *ledger) absorb(other *ledger) {
	other.fenced = true
	l.received.addAll(&other.received)
	maps.Copy(l.running, other.running)
	l.retained = append(l.retained, other.retained...)
	slices.SortStableFunc(l.retained, func(a, b retainedReply) int { return int(a.at - b.at) })
	l.retainedBytes += other.retainedBytes
	other.running, other.retained, other.retainedBytes = map[uint64]bool{}, nil, 0
}

// resumption is what becomes of the requests of replaced sessions.
type resumption struct {
	// notReceived and lost are the streams to report; see Resumed.
	notReceived, lost []uint64
	// resend are the replies to send again.
	resend []retainedReply
	// unwanted are the running requests to cancel.
	unwanted []uint64
}

// resume returns what becomes of the wanted streams, after the ledgers of all replaced
// sessions were absorbed. Complete says that none of these was unknown: otherwise a
// request that is not recorded may have been received. Sending are the streams whose
// reply is being sent to this connection by other means.
func (l *ledger) resume(wanted []uint64, complete bool, sending map[uint64]bool) resumption {
	var result resumption
	isWanted := make(map[uint64]bool, len(wanted))
	for _, stream := range wanted {
		isWanted[stream] = true
	}
	replied := map[uint64]bool{}
	for _, reply := range l.retained {
		if isWanted[reply.stream] && !replied[reply.stream] {
			replied[reply.stream] = true
			result.resend = append(result.resend, reply)
		}
	}
	for _, stream := range wanted {
		switch {
		case l.running[stream], replied[stream], sending[stream]:
		case complete && !l.received.contains(stream):
			result.notReceived = append(result.notReceived, stream)
		default:
			result.lost = append(result.lost, stream)
		}
	}
	for stream := range l.running {
		if !isWanted[stream] {
			result.unwanted = append(result.unwanted, stream)
		}
	}
	for _, stream := range result.unwanted {
		l.abandon(stream)
	}
	slices.Sort(result.unwanted)
	return result
}
