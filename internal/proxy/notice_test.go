package proxy

import (
	"testing"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// TestNoticeOfAnswer covers what an upstream says about itself, also where it says
// nothing that can be understood.
func TestNoticeOfAnswer(t *testing.T) {
	p := &Proxy{cfg: Config{Headers: Headers{RateLimit: "Limit", Leaving: "Leaving"}}}
	for _, c := range []struct {
		limit, leaving string
		want           notice
	}{
		{"", "", notice{}},
		{"14.4", "", notice{limited: true, ratePerSecond: 14.4}},
		{"0", "1", notice{limited: true, leaving: true}},
		{"", "0", notice{}},
		{"-1", "", notice{problem: `rate limit "-1" is not a decimal number of at least 0`}},
		{"NaN", "", notice{problem: `rate limit "NaN" is not a decimal number of at least 0`}},
		{"+Inf", "", notice{problem: `rate limit "+Inf" is not a decimal number of at least 0`}},
		{"many", "1", notice{leaving: true, problem: `rate limit "many" is not a decimal number of at least 0`}},
	} {
		answer := &hopv1.Answer{}
		if c.limit != "" {
			answer.Headers = append(answer.Headers, &hopv1.Header{Name: "Limit", Value: []byte(c.limit)})
		}
		if c.leaving != "" {
			answer.Headers = append(answer.Headers, &hopv1.Header{Name: "Leaving", Value: []byte(c.leaving)})
		}
		if got := p.noticeOf(answer); got != c.want {
			t.Errorf("limit %q, leaving %q: got %+v, want %+v", c.limit, c.leaving, got, c.want)
		}
	}
	if got := p.noticeOf(nil); got != (notice{}) {
		t.Errorf("no answer: got %+v", got)
	}
}
