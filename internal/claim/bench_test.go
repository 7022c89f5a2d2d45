package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/platform"
	"godwitmount/internal/step"
)

// BenchmarkGroupCommit has claims arrive evenly at one holder, whose table
// takes a given time for each transaction. It reports rows and transactions
// and how long grants take, in virtual time; ns/op is the holder's own work for
// one claim.
func BenchmarkGroupCommit(b *testing.B) {
	for _, latency := range []time.Duration{2 * time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
		for _, rate := range []int{10, 100, 1000, 10000} {
			b.Run(fmt.Sprintf("write=%s/claims_per_s=%d", latency, rate), func(b *testing.B) {
				benchGroupCommit(b, latency, time.Second/time.Duration(rate))
			})
		}
	}
}

func benchGroupCommit(b *testing.B, latency, every time.Duration) {
	now := step.Moment{Wall: time.UnixMilli(1_000_000)}
	core := New(DefaultConfig(testMesh, "near"), now)
	core.Step(now, ViewChanged{DataCentres: []string{"near"}, Self: "a", Live: []Member{{Instance: "a", Incarnation: 1}}})
	core.Step(now, TableWritten{Batch: 1, Result: platform.Result{Revision: 1}})
	var answerAt time.Duration
	var batch, batches, rows uint64
	asked := make(map[step.CallID]time.Duration, b.N)
	waits := make([]time.Duration, 0, b.N)
	take := func(effects []step.Effect) {
		for _, effect := range effects {
			switch e := effect.(type) {
			case WriteClaims:
				batch, answerAt = e.Batch, now.Now+latency
				batches++
				rows += uint64(len(e.Transaction.Writes))
			case step.Reply:
				if e.Message.(*peerv1.AcquireClaimResponse).GetOutcome() == peerv1.ClaimOutcome_CLAIM_OUTCOME_GRANTED {
					waits = append(waits, now.Now-asked[e.Call])
				}
			}
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		arrival := time.Duration(i+1) * every
		for answerAt > 0 && answerAt <= arrival {
			now.Now, answerAt = answerAt, 0
			take(core.Step(now, TableWritten{Batch: batch, Result: platform.Result{Revision: 1}}))
		}
		now.Now = arrival
		asked[step.CallID(i)] = arrival
		take(core.Step(now, AcquireRequested{Call: step.CallID(i), Request: benchRequest(i)}))
		if i%1000 == 0 {
			take(core.Step(now, step.Tick{}))
		}
	}
	b.StopTimer()
	if len(waits) == 0 {
		return
	}
	slices.Sort(waits)
	b.ReportMetric(float64(rows)/float64(batches), "rows/tx")
	b.ReportMetric(float64(batches)/now.Now.Seconds(), "tx/s")
	b.ReportMetric(float64(waits[len(waits)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds())/1000, "p99-ms")
}

func benchRequest(i int) *peerv1.AcquireClaimRequest {
	key := KeyOf("bench", fmt.Sprint(i))
	return &peerv1.AcquireClaimRequest{Mesh: testMesh, Key: key[:], Fingerprint: key[:], Attempt: fmt.Sprint(i), Executor: "x"}
}

// BenchmarkOutage sends keyed calls for 25 s during which the platform is
// away, beside other events, and reports the share of those that were refused
// or got no answer. Each key is sent once.
func BenchmarkOutage(b *testing.B) {
	scenarios := []struct {
		name string
		warm time.Duration
		run  func(w *world)
	}{
		{"tenured", warmUp, func(*world) {}},
		{"write_through_only", worldHorizon / 4, func(*world) {}},
		{"one_restarted_1s_before", warmUp, restart("a")},
		{"one_killed_1s_before", warmUp, kill("a")},
		{"one_left_1s_before", warmUp, leave("a")},
		{"one_frozen_2s_1s_before", warmUp, freeze("a", 2*time.Second)},
		{"one_joined_1s_before", warmUp, func(w *world) { w.join("d") }},
		{"all_restarted_1s_before", warmUp, func(w *world) { restart("a")(w); restart("b")(w); restart("c")(w) }},
	}
	for _, s := range scenarios {
		b.Run(s.name, func(b *testing.B) {
			for range b.N {
				w := newWorld("a", "b", "c")
				w.RunTo(s.warm)
				s.run(w)
				w.RunTo(s.warm + time.Second)
				outage(30 * time.Second)(w)
				b.ReportMetric(100*refusedShare(w, 25*time.Second), "refused-%")
			}
		})
	}
}

func refusedShare(w *world, during time.Duration) float64 {
	const calls = 500
	before := w.grants
	for i := range calls {
		key := KeyOf("outage", fmt.Sprint(i))
		w.After(during*time.Duration(i)/calls, func() { w.attempt("x", key, fmt.Sprint("o", i)) })
	}
	w.RunTo(w.Now + during + executorWait)
	return 1 - float64(w.grants-before)/calls
}
