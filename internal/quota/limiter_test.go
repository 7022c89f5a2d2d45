package quota

import (
	"testing"
	"time"
)

// newPair returns the limiter of daemon a, which knows daemon b of its data centre.
func newPair(a, b string) *Limiter {
	l := New(Config{Instance: a, DataCentre: "dc", Params: testParams})
	l.SetLimits(0, map[string]Limit{"c": {Rate: 100, Burst: 100}})
	l.SetView(0, View{Members: []Member{{Instance: b, Reachable: true}}, Daemons: 2})
	return l
}

// tick lets the process run from one time to another.
func tick(l *Limiter, from, to time.Duration) {
	for at := from; at < to; at += 50 * ms {
		l.Tick(at)
	}
}

// TestTokensInHandExpire guards against tokens that are kept for a later window.
func TestTokensInHandExpire(t *testing.T) {
	for _, test := range []struct {
		after    time.Duration
		admitted bool
		returned int
	}{
		{after: holdTime / 2, admitted: true},
		{after: holdTime + returnTime/4, returned: 5},
		{after: holdTime + returnTime},
	} {
		owner, other := ranked()
		l := newPair(other, owner)
		first := l.Take(0, "c", false)
		l.Replied(ms, first.Message, Reply{Tokens: 5}, true)
		tick(l, ms, ms+test.after)
		d := l.Take(ms+test.after, "c", false)
		if admitted := d.Action == Admit; admitted != test.admitted || d.Message.Returned != test.returned {
			t.Errorf("after %v: admitted %t, %d tokens returned; want %t, %d", test.after, admitted, d.Message.Returned, test.admitted, test.returned)
		}
	}
}

// ranked returns two daemons; the first one owns the bucket of customer c.
func ranked() (owner, other string) {
	if rank("c", "a") > rank("c", "b") {
		return "a", "b"
	}
	return "b", "a"
}

// TestSuspendedOwnerAsksForItsBucket guards against an owner that grants from its old
// bucket after it did not run for a while, in which another one has granted as well.
func TestSuspendedOwnerAsksForItsBucket(t *testing.T) {
	owner, other := ranked()
	l := newPair(owner, other)
	tick(l, 0, 20*time.Second)
	if d := l.Take(20*time.Second, "c", false); d.Action != Admit {
		t.Fatalf("the owner decided %+v", d)
	}
	d := l.Take(23*time.Second, "c", false)
	if d.Action != Ask || !d.Message.Takeover || d.Message.To != other {
		t.Errorf("after a pause of 3 s the owner decided %+v", d)
	}
}

// TestBucketIsHandedOverOnce guards against tokens that two daemons have.
func TestBucketIsHandedOverOnce(t *testing.T) {
	owner, other := ranked()
	l := newPair(owner, other)
	tick(l, 0, 20*time.Second)
	l.Take(20*time.Second, "c", false)
	takeover := Request{Customer: "c", Tokens: 1, Takeover: true}
	first, _ := l.Handle(20*time.Second, other, takeover)
	second, _ := l.Handle(20*time.Second, other, takeover)
	if first.Tokens < 90 || second.Tokens != 0 {
		t.Errorf("%d and %d tokens handed over", first.Tokens, second.Tokens)
	}
}

// TestOwnerGrantsItsPart guards against two daemons that grant the whole rate because they
// do not reach each other: an owner grants the part of the daemons that it reaches, half
// of that for a moment if the owner before it fell silent, and all once others have been
// away for a window.
func TestOwnerGrantsItsPart(t *testing.T) {
	for _, c := range []struct {
		reachable, silent bool
		after             time.Duration
		want              float64
	}{
		{true, false, 0, 100}, {false, false, 0, 50}, {false, true, 0, 25}, {false, true, doubtTime, 50}, {false, true, testParams.Window, 100},
	} {
		owner, other := ranked()
		l := newPair(other, owner)
		l.SetView(0, View{Members: []Member{{Instance: owner, Reachable: c.reachable, Silent: c.silent, Leaving: c.reachable}}, Daemons: 2})
		tick(l, 0, c.after)
		if l.Take(c.after, "c", false); c.reachable {
			l.Replied(c.after, Message{Request: Request{Customer: "c", Takeover: true}}, Reply{}, true)
		}
		if s := l.Status(c.after); !s[0].Held || s[0].Rate != c.want {
			t.Errorf("%+v: status %+v", c, s[0])
		}
	}
}

// TestOldOwnerGrantsUntilHandover guards against requests that are refused while the new
// owner of a bucket has not asked for it, and against changes elsewhere with which
// the bucket of a long-standing owner begins empty.
func TestOldOwnerGrantsUntilHandover(t *testing.T) {
	owner, other := ranked()
	l := newPair(other, owner)
	l.SetView(0, View{Members: []Member{{Instance: owner}}, Daemons: 2})
	tick(l, 0, 15*time.Second)
	for i := range maxViews + 1 {
		l.SetView(15*time.Second, View{Members: []Member{{Instance: owner}}, Daemons: 3 + i})
	}
	if d := l.Take(15*time.Second, "c", false); d.Action != Admit || l.Status(15 * time.Second)[0].Level < 50 {
		t.Errorf("an owner of 15 s decided %+v, status %+v", d, l.Status(15*time.Second))
	}
	l.SetView(15*time.Second, View{Members: []Member{{Instance: owner, Reachable: true}}, Daemons: 2})
	if reply, forward := l.Handle(15*time.Second, owner, Request{Customer: "c", Tokens: 1}); forward != nil || reply.Tokens != 1 {
		t.Errorf("the old owner replied %+v, forwards %+v", reply, forward)
	}
}

// TestOldTokensAreNotReturned guards against requests that end as not run after a
// long wait and whose tokens would count twice in a window.
func TestOldTokensAreNotReturned(t *testing.T) {
	owner, other := ranked()
	l := newPair(owner, other)
	tick(l, 0, 20*time.Second)
	var tokens []Token
	for d := l.Take(20*time.Second, "c", false); d.Action == Admit; d = l.Take(20*time.Second, "c", false) {
		tokens = append(tokens, d.Token)
	}
	level := func() float64 { return l.Status(l.lastTick)[0].Level }
	tick(l, 20*time.Second, 20*time.Second+returnTime/2)
	before := level()
	l.Return(l.lastTick, tokens[0])
	if after := level(); after < before+0.9 {
		t.Errorf("the level went from %.1f to %.1f when a token was returned in time", before, after)
	}
	tick(l, l.lastTick, 20*time.Second+2*returnTime)
	before = level()
	l.Return(l.lastTick, tokens[1])
	if after := level(); after != before {
		t.Errorf("the level went from %.1f to %.1f when a token was returned late", before, after)
	}
}
