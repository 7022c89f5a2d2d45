package proxy

import (
	"context"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/asynclog"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
	"godwitmount/internal/quarantine"
)

// fingerprint identifies a request across retries by its caller service, method,
// host, target and body.
func fingerprint(request *hopv1.Request) quarantine.Fingerprint {
	digest := xxhash.New()
	for _, text := range []string{request.CallerService, request.Method, request.Host, string(request.Target)} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		// Writing to a digest never fails.
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(text)
	}
	_, _ = digest.Write(request.Body)
	return quarantine.Fingerprint(digest.Sum64())
}

// isQuarantined reports whether a request is to be refused because upstreams
// crashed while they ran it.
func (p *Proxy) isQuarantined(request *hopv1.Request) bool {
	return !p.suspects.Empty() && p.suspects.Quarantined(fingerprint(request), p.now())
}

// recordSuspect records a request that was running when the upstream crashed,
// and reports it to all peers. All requests that ran at the same incarnation of
// an upstream record the same crash. It returns once peers know of it, or after
// suspectNoticeTime: when the caller gets its answer, it can send the request again to
// any of them.
func (p *Proxy) recordSuspect(request *hopv1.Request, u *control.Upstream) {
	crash := quarantine.Crash(xxhash.Sum64String(p.cfg.Instance + u.ID + strconv.FormatInt(u.StartTime, 10)))
	f := fingerprint(request)
	if p.suspects.Add(quarantine.Suspect{Fingerprint: f, Crashes: []quarantine.Crash{crash}}, p.now()) {
		p.deps.Log.Request(event.RequestCrashed, asynclog.Uncertain, zap.String("id", request.Id), zap.Uint64("fingerprint", uint64(f)),
			zap.String("upstream", u.ID), zap.Bool("refused", p.suspects.Quarantined(f, p.now())))
		<-p.pushSuspects()
	}
}

const (
	// suspectBatchTime is how long the suspects of a crash are collected: requests that
	// ran at the upstream fail at the same moment.
	suspectBatchTime = 2 * time.Millisecond
	// suspectNoticeTime is how long a failure is held back until peers know of the crash.
	suspectNoticeTime = 200 * time.Millisecond
)

// pushSuspects reports the suspects of a crash of the local upstream to all peers. The
// channel is closed once they have confirmed it, or after suspectNoticeTime.
func (p *Proxy) pushSuspects() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspectsPushed != nil {
		return p.suspectsPushed
	}
	pushed := make(chan struct{})
	p.suspectsPushed = pushed
	time.AfterFunc(suspectBatchTime, func() {
		defer close(pushed)
		p.mu.Lock()
		p.suspectsPushed = nil
		p.mu.Unlock()
		p.deps.BroadcastState()
		ctx, cancel := context.WithTimeout(context.Background(), suspectNoticeTime)
		defer cancel()
		p.deps.Peers.PushState(ctx, p.StateWithSuspects())
	})
	return pushed
}

// suspectReportInterval is the shortest time between two reports of suspects to all
// peers. A crash has a suspect for each request that was running, and each peer that
// learns of a new one reports it to all of its own.
const suspectReportInterval = 500 * time.Millisecond

// reportSuspects sends this daemon's state with its suspects to all peers: at once, or
// after the rest of suspectReportInterval together with those recorded meanwhile.
func (p *Proxy) reportSuspects() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspectReportPending {
		return
	}
	p.suspectReportPending = true
	time.AfterFunc(p.nextSuspectReport-p.now(), func() {
		p.mu.Lock()
		p.suspectReportPending = false
		p.nextSuspectReport = p.now() + suspectReportInterval
		p.mu.Unlock()
		p.deps.BroadcastState()
	})
}

// MergeSuspects adds the crash suspects that a peer reports to those of this
// daemon. If any crash is new, it sends this daemon's state to all peers, because
// some of them are not connected to the daemon where the crash was.
func (p *Proxy) MergeSuspects(reported []*hopv1.Suspect) {
	anyNew := false
	for _, suspect := range reported {
		converted := quarantine.Suspect{Fingerprint: quarantine.Fingerprint(suspect.Fingerprint)}
		for _, crash := range suspect.Crashes {
			converted.Crashes = append(converted.Crashes, quarantine.Crash(crash))
		}
		anyNew = p.suspects.Add(converted, p.now()) || anyNew
	}
	if anyNew {
		p.reportSuspects()
	}
}
