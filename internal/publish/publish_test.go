package publish

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
	"godwitmount/internal/platformstandin"
)

func newPublisher() (*platformstandin.Store, *Publisher) {
	store := platformstandin.NewStore(platformstandin.Config{})
	return store, New(store, Config{RetryInterval: time.Millisecond})
}

func propose(t *testing.T, p *Publisher, body string) manifest.Digest {
	t.Helper()
	digest, err := p.Propose(context.Background(), []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return digest
}

func accept(t *testing.T, p *Publisher, a Acceptance) manifest.ID {
	t.Helper()
	id, err := p.Accept(context.Background(), a)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func setFaults(t *testing.T, store *platformstandin.Store, f platformstandin.Faults) {
	t.Helper()
	if err := store.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

func TestAcceptMakesOneVersionAfterAnother(t *testing.T) {
	store, p := newPublisher()
	ctx := context.Background()
	one := accept(t, p, Acceptance{ID: "a1", Digest: propose(t, p, "one"), Operator: "ana"})
	two := accept(t, p, Acceptance{ID: "a2", Digest: propose(t, p, "two"), Base: one, Operator: "ben"})
	if one.Version != 1 || two.Version != 2 {
		t.Fatalf("versions %v and %v", one, two)
	}
	head, err := ReadHead(ctx, store)
	if err != nil || head.ID != two {
		t.Fatalf("head %v, %v", head, err)
	}
	history, err := History(ctx, store, 0, 10)
	if err != nil || len(history) != 2 || history[0].Operator != "ana" || history[1].BaseVersion != 1 {
		t.Fatalf("history %+v, %v", history, err)
	}
	body, err := ReadBody(ctx, store, two.Digest)
	if err != nil || string(body) != "two" {
		t.Fatalf("body %q, %v", body, err)
	}
}

func TestRepeatedAcceptChangesNothing(t *testing.T) {
	store, p := newPublisher()
	a := Acceptance{ID: "a1", Digest: propose(t, p, "one")}
	first := accept(t, p, a)
	accept(t, p, Acceptance{ID: "a2", Digest: propose(t, p, "two"), Base: first})
	before := store.Stats().Revision
	if again := accept(t, p, a); again != first {
		t.Errorf("repeat gave %v, first gave %v", again, first)
	}
	if after := store.Stats().Revision; after != before {
		t.Errorf("the repeat wrote: revision %d, then %d", before, after)
	}
	var reused *IDReusedError
	if _, err := p.Accept(context.Background(), Acceptance{ID: "a1", Digest: propose(t, p, "two")}); !errors.As(err, &reused) {
		t.Errorf("same id for another manifest: %v", err)
	}
}

func TestRacingOperatorsOneWins(t *testing.T) {
	const operators = 8
	store, p := newPublisher()
	base := accept(t, p, Acceptance{ID: "base", Digest: propose(t, p, "base")})
	ids := make([]manifest.ID, operators)
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		digest := propose(t, p, fmt.Sprint("body ", i))
		wg.Go(func() {
			a := Acceptance{ID: fmt.Sprint("a", i), Digest: digest, Base: base, Operator: fmt.Sprint("op", i)}
			ids[i], errs[i] = p.Accept(context.Background(), a)
		})
	}
	wg.Wait()
	head, err := ReadHead(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	won := 0
	for i, err := range errs {
		if err == nil {
			won++
			if ids[i] != head.ID {
				t.Errorf("winner got %v, head is %v", ids[i], head.ID)
			}
			continue
		}
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Head != head.ID || conflict.Winner.Acceptance != head.Acceptance {
			t.Errorf("loser %d: %v", i, err)
		}
	}
	if won != 1 || head.ID.Version != 2 {
		t.Errorf("%d winners, head %v", won, head.ID)
	}
}

// TestAcceptUnderFaults loses answers at each write of an acceptance, with
// fresh and stale reads; the acceptance must make exactly one version.
func TestAcceptUnderFaults(t *testing.T) {
	cases := []platformstandin.Faults{
		{LoseAnswers: 1},
		{LoseAnswers: 2},
		{LoseAnswers: 5},
		{LoseAnswers: 1, StaleRevisions: 1},
		{LoseAnswers: 2, StaleRevisions: 1},
		{StaleRevisions: 1},
	}
	for _, faults := range cases {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			store, p := newPublisher()
			base := accept(t, p, Acceptance{ID: "base", Digest: propose(t, p, "base")})
			digest := propose(t, p, "next")
			filler := platform.Transaction{Writes: []platform.Write{{Key: "other", Value: []byte("x")}}}
			if _, err := store.Transact(context.Background(), filler); err != nil {
				t.Fatal(err)
			}
			setFaults(t, store, faults)
			a := Acceptance{ID: "a", Digest: digest, Base: base}
			first := accept(t, p, a)
			second := accept(t, p, a)
			setFaults(t, store, platformstandin.Faults{})
			history, err := History(context.Background(), store, 0, 10)
			if err != nil || len(history) != 2 {
				t.Fatalf("history %+v, %v", history, err)
			}
			if first != second || first.Version != 2 {
				t.Errorf("first %v, repeat %v", first, second)
			}
		})
	}
}

func TestAcceptTellsUnknownWhenThePlatformStaysAway(t *testing.T) {
	store, p := newPublisher()
	digest := propose(t, p, "one")
	setFaults(t, store, platformstandin.Faults{LosePercent: 100, StaleRevisions: 1})
	lossy := New(alwaysUnknown{store}, Config{RetryInterval: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	var unknown *UnknownResultError
	if _, err := lossy.Accept(ctx, Acceptance{ID: "a", Digest: digest}); !errors.As(err, &unknown) {
		t.Fatalf("got %v", err)
	}
	setFaults(t, store, platformstandin.Faults{})
	if id := accept(t, p, Acceptance{ID: "a", Digest: digest}); id.Version != 1 {
		t.Errorf("repeat after recovery gave %v", id)
	}
}

// alwaysUnknown answers no transaction.
type alwaysUnknown struct{ platform.Store }

func (s alwaysUnknown) Transact(ctx context.Context, tx platform.Transaction) (platform.Result, error) {
	_, _ = s.Store.Transact(ctx, tx)
	return platform.Result{}, platform.ErrUnknown
}

func TestAcceptRefusals(t *testing.T) {
	store, p := newPublisher()
	ctx := context.Background()
	var missing *NoProposalError
	if _, err := p.Accept(ctx, Acceptance{ID: "a", Digest: manifest.DigestOf([]byte("none"))}); !errors.As(err, &missing) {
		t.Errorf("no proposal: %v", err)
	}
	digest := manifest.DigestOf([]byte("right"))
	if err := store.PutObject(ctx, ObjectName(digest), manifest.MakeDelta(nil, []byte("wrong"))); err != nil {
		t.Fatal(err)
	}
	damaged := manifest.DigestOf([]byte("damaged"))
	if err := store.PutObject(ctx, ObjectName(damaged), []byte("not compressed")); err != nil {
		t.Fatal(err)
	}
	var mismatch *DigestError
	if _, err := p.Accept(ctx, Acceptance{ID: "b", Digest: digest}); !errors.As(err, &mismatch) {
		t.Errorf("body under a wrong name: %v", err)
	}
	if _, err := ReadBody(ctx, store, damaged); !errors.As(err, &mismatch) || mismatch.Cause == nil {
		t.Errorf("damaged object: %v", err)
	}
	if _, err := p.Propose(ctx, []byte("right")); !errors.As(err, &mismatch) {
		t.Errorf("propose over a wrong body: %v", err)
	}
	if head, err := ReadHead(ctx, store); err != nil || !head.ID.IsZero() {
		t.Errorf("a refused acceptance moved the head to %v, %v", head.ID, err)
	}
}

func TestMinVersionLiftsTheNumbering(t *testing.T) {
	store, p := newPublisher()
	one := accept(t, p, Acceptance{ID: "a1", Digest: propose(t, p, "one")})
	accept(t, p, Acceptance{ID: "a2", Digest: propose(t, p, "two"), Base: one})
	store.Restore(1)
	three := accept(t, p, Acceptance{ID: "a3", Digest: propose(t, p, "three"), Base: one, MinVersion: 3})
	if three.Version != 3 {
		t.Errorf("got %v", three)
	}
}
