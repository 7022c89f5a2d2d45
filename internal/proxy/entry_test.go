package proxy

import (
	"testing"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/code"
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
