package proxy

import (
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
)

// TestUncertainRequestIsNeverReportedNotRun replays a request whose first attempt
// lost its connection to the peer, so that it may have run, and whose later
// attempts were refused.
func TestUncertainRequestIsNeverReportedNotRun(t *testing.T) {
	lost := failureFrame(code.CallPeerLost, false, 0, nil)
	shed := failureFrame(code.CallShed, true, 0, nil)
	rejection := &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 503, NotRun: true}}}
	for name, c := range map[string]struct {
		earlier []*hopv1.Frame
		last    *hopv1.Frame
		want    code.Code
	}{
		"refused only":                    {[]*hopv1.Frame{shed}, nil, code.CallShed},
		"lost, then refused":              {[]*hopv1.Frame{lost}, shed, code.CallPeerLost},
		"lost, refused, no upstream left": {[]*hopv1.Frame{lost, shed}, nil, code.CallPeerLost},
		"lost, refused, then refused":     {[]*hopv1.Frame{lost, shed}, shed, code.CallPeerLost},
		"lost, refused by upstreams":      {[]*hopv1.Frame{lost, rejection}, rejection, code.CallPeerLost},
	} {
		f := &forwarder{}
		for _, frame := range c.earlier {
			f.remember(frame)
		}
		_, failed := f.finish(c.last)
		if failed == nil || failed.code != c.want || failed.notRun != (c.want == code.CallShed) {
			t.Errorf("%s: failure %+v", name, failed)
		}
	}
}

// TestAnswerOfARunIsNotReplacedByARefusal replays a request that an upstream answered
// with 500 and another one then refused with a status below 500. It has run, so the
// refusal, which promises the opposite, must not reach the caller.
func TestAnswerOfARunIsNotReplacedByARefusal(t *testing.T) {
	answer := func(status uint32, notRun bool) *hopv1.Frame {
		return &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: status, NotRun: notRun}}}
	}
	for _, refusal := range []uint32{421, 429, 503} {
		f := &forwarder{}
		f.remember(answer(500, false))
		got, failed := f.finish(answer(refusal, true))
		if failed != nil || got.Status != 500 || got.NotRun {
			t.Errorf("refused with %d: answer %v, failure %+v", refusal, got, failed)
		}
	}
}

// TestUnreadableReplyCountsAsDelivery covers a peer's reply that is neither an answer
// nor a failure. The request may have run: at the deadline it is not "not run".
func TestUnreadableReplyCountsAsDelivery(t *testing.T) {
	f := &forwarder{}
	frame, r := f.recordOutcome(&hopv1.Frame{})
	if r != unknown || f.deliveries != 1 || frame.GetFailure().GetNotRun() {
		t.Errorf("result %s, %d deliveries, frame %v", r, f.deliveries, frame)
	}
}

// TestDeadlineHeaderIsBounded covers deadlines that are no useful number.
func TestDeadlineHeaderIsBounded(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	route := &p.ActiveTable().Routes()[0]
	for text, want := range map[string]time.Duration{
		"+Inf": route.Deadline.Std(), "1e300": route.Deadline.Std(), "NaN": route.Deadline.Std(),
		"-1": route.Deadline.Std(), "": route.Deadline.Std(), "250": 250 * time.Millisecond, "0.5": 500 * time.Microsecond,
	} {
		r := httptest.NewRequest(http.MethodGet, "http://h/", nil)
		r.Header.Set(p.cfg.Headers.Deadline, text)
		c := &call{started: time.Now(), route: route}
		p.setTimes(c, r)
		if got := c.deadline.Sub(c.started); math.Abs(float64(got-want)) > float64(time.Millisecond) {
			t.Errorf("deadline %q: %s, want %s", text, got, want)
		}
	}
}

// TestCallersAcceptEncodingIsNotForwarded covers a caller that accepts compressed
// answers: an encoded body is not the upstream's body and would be rejected.
func TestCallersAcceptEncodingIsNotForwarded(t *testing.T) {
	p := newTestProxy(t, manifest.Service{Name: "s"}, manifest.RetryRule{Name: "rule", Attempts: 2})
	for _, h := range p.forwardedHeaders(http.Header{"Accept-Encoding": {"gzip"}, "Accept": {"a/b"}}, false) {
		if h.Name != "Accept" {
			t.Errorf("forwarded %s: %s", h.Name, h.Value)
		}
	}
}
