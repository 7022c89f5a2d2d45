package quota

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// TestPreviewAgreesWithTakeAndChangesNothing compares the preview with the decision that
// follows, at the owner of a bucket and at another daemon that asks it, over a random load
// with pauses and lost messages. An operator must be told what a request would get, and
// asking must cost the customer nothing.
func TestPreviewAgreesWithTakeAndChangesNothing(t *testing.T) {
	owner, other := ranked()
	for _, instance := range []string{owner, other} {
		random := rand.New(rand.NewPCG(31, 32))
		l := newPair(instance, map[string]string{owner: other, other: owner}[instance])
		seen := map[Action]int{}
		own := 0
		now := time.Duration(0)
		for range 5000 {
			now += time.Duration(random.IntN(15)) * ms
			if random.IntN(3) > 0 {
				l.Tick(now)
			}
			before := *l
			customers := map[string]customer{}
			for name, c := range l.customers {
				customers[name] = *c.clone()
			}
			preview, limited := l.Preview(now, "c")
			if !limited {
				t.Fatal("the customer has no limit")
			}
			if !reflect.DeepEqual(before, *l) {
				t.Fatalf("the preview changed %+v to %+v", before, *l)
			}
			for name, c := range l.customers {
				if was := customers[name]; !reflect.DeepEqual(was, *c) {
					t.Fatalf("the preview changed %+v to %+v", was, *c)
				}
			}
			d := l.Take(now, "c", false)
			want := d.Action
			if want == Await {
				want = Ask
			}
			if preview.Action != want || preview.Own != d.own {
				t.Fatalf("%s at %s: previewed %+v, decided %+v", instance, now, preview, d)
			}
			seen[want]++
			if preview.Own {
				own++
			}
			if d.Action == Ask {
				l.Replied(now, d.Message, Reply{Tokens: random.IntN(3), Wait: time.Duration(random.IntN(2)*50) * ms}, random.IntN(4) > 0)
			}
		}
		if seen[Admit] < 100 || seen[Refuse] < 100 || seen[Ask] < 1 || instance == other && own < 20 {
			t.Errorf("%s: %v, %d by the own share", instance, seen, own)
		}
	}
}

// TestPreviewTellsWhenTheNextTokenComes covers a customer at whose owner the bucket is
// empty: the next token is a hundredth of a second away at a rate of 100.
func TestPreviewTellsWhenTheNextTokenComes(t *testing.T) {
	owner, other := ranked()
	l := newPair(owner, other)
	tick(l, 0, 20*time.Second)
	now := 20 * time.Second
	for l.Take(now, "c", false).Action == Admit {
	}
	tick(l, now, now+time.Second)
	p, _ := l.Preview(now+time.Second, "c")
	if p.Action != Admit || !p.Held || p.Level < 1 {
		t.Errorf("a second later: %+v, want to be admitted with tokens left", p)
	}
	for l.Take(now+time.Second, "c", false).Action == Admit {
	}
	p, _ = l.Preview(now+time.Second, "c")
	if p.Action != Refuse || p.Level >= 1 || p.Wait <= 0 || p.Wait > 10*ms {
		t.Errorf("with an empty bucket: %+v, want a refusal of at most 10 ms", p)
	}
	if _, limited := l.Preview(now, "unknown"); limited {
		t.Error("a customer without a limit has a preview")
	}
}
