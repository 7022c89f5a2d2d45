package confsync

import (
	"math"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

// bucket is a token bucket whose level may fall below zero, so that one body
// larger than the burst can be served.
type bucket struct {
	rate  float64
	burst float64
	level float64
	at    time.Duration
}

func newBucket(rate, burst float64, now time.Duration) bucket {
	return bucket{rate: rate, burst: burst, level: burst, at: now}
}

func (b *bucket) fill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// wait returns how long until something may be taken, 0 for now.
func (b *bucket) wait() time.Duration {
	if b.level > 0 {
		return 0
	}
	return time.Duration((1 - b.level) / b.rate * float64(time.Second))
}

// server answers peers' fetches within a budget.
type server struct {
	bytes    bucket
	requests bucket
	// deltas holds deltas to the version in force by their base.
	deltas map[manifest.ID][]byte
}

func newServer(cfg Config, now time.Duration) server {
	return server{
		bytes:    newBucket(cfg.ServeBytes, cfg.ServeBurst, now),
		requests: newBucket(cfg.ServeRequests, cfg.ServeRequestBurst, now),
		deltas:   map[manifest.ID][]byte{},
	}
}

func (s *server) forget() { clear(s.deltas) }

func (s *server) wait(now time.Duration) time.Duration {
	s.bytes.fill(now)
	s.requests.fill(now)
	return max(s.bytes.wait(), s.requests.wait())
}

func (s *server) charge(size int) {
	s.bytes.level -= float64(size)
	s.requests.level--
}

func (c *Core) fetchRequested(ev FetchRequested) {
	resp := &peerv1.FetchConfigResponse{}
	if ev.Request.GetMesh() == c.cfg.Mesh {
		have := idFromProto(ev.Request.GetHave())
		resp.Floor = idToProto(c.floors.raise(ev.Request.GetFrom(), have))
		resp.Id = idToProto(c.Applied())
		if c.Applied().Version > have.Version {
			c.serveBody(resp, have, ev.Request.GetFrom())
		}
	}
	c.emit(step.Reply{Call: ev.Call, Message: resp})
}

func (c *Core) serveBody(resp *peerv1.FetchConfigResponse, have manifest.ID, from string) {
	if wait := c.serve.wait(c.now); wait > 0 {
		resp.RetryAfterMs = uint32(math.Ceil(float64(wait) / float64(time.Millisecond)))
		return
	}
	resp.Body = c.wholeBody()
	if delta := c.delta(have); delta != nil && len(delta) < len(resp.Body) {
		resp.Body = delta
		resp.Base = idToProto(have)
	}
	c.serve.charge(len(resp.Body))
	c.emit(step.Log{Event: event.ConfigServed, Fields: []step.Field{
		step.F("version", c.Applied()),
		step.F("base", idFromProto(resp.Base)),
		step.F("bytes", len(resp.Body)),
		step.F("to", from),
	}})
}

func (c *Core) wholeBody() []byte {
	if c.applied.whole == nil {
		c.applied.whole = c.cfg.MakeDelta(nil, c.applied.body)
	}
	return c.applied.whole
}

// delta returns the delta from a version still kept, or nil.
func (c *Core) delta(base manifest.ID) []byte {
	held := c.held(base)
	if held == nil {
		return nil
	}
	delta, made := c.serve.deltas[base]
	if !made {
		delta = c.cfg.MakeDelta(held.body, c.applied.body)
		c.serve.deltas[base] = delta
	}
	return delta
}
