package daemon

import (
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/rollout"
	"godwitmount/internal/store"
)

func encodeProgress(p rollout.Progress) *hopv1.Rollout {
	return &hopv1.Rollout{
		Service:  p.Service,
		To:       p.To,
		PeriodMs: uint32(p.Period.Milliseconds()),
		Era:      uint64(p.Position.Era),
		Version:  p.Position.Version,
		From:     p.From,
		Denied:   p.Denied,
		Phase:    uint32(p.Phase),
		Reason:   p.Reason,
		Stored:   p.Stored,
		AgeMs:    uint32(p.Age.Milliseconds()),
	}
}

func decodeProgress(raw *hopv1.Rollout) rollout.Progress {
	return rollout.Progress{
		Request: rollout.Request{
			Service:  raw.GetService(),
			To:       raw.GetTo(),
			Period:   time.Duration(raw.GetPeriodMs()) * time.Millisecond,
			Position: store.Position{Era: store.Era(raw.GetEra()), Version: raw.GetVersion()},
		},
		From:   raw.GetFrom(),
		Denied: raw.GetDenied(),
		Phase:  rollout.Phase(min(raw.GetPhase(), uint32(rollout.Completed)+1)),
		Reason: raw.GetReason(),
		Stored: raw.GetStored(),
		Age:    time.Duration(raw.GetAgeMs()) * time.Millisecond,
	}
}

func encodeReport(r rollout.Report) *hopv1.RolloutReport {
	encoded := &hopv1.RolloutReport{
		Service:         r.Service,
		Era:             uint64(r.Position.Era),
		Version:         r.Position.Version,
		Phase:           uint32(r.Phase),
		UpstreamVersion: r.Version,
		TakesWork:       r.TakesWork,
		Slots:           uint32(r.Slots),
		Drained:         r.Drained,
		Unreachable:     r.Unreachable,
	}
	for route, counts := range r.Routes {
		outcomes := &hopv1.RouteOutcomes{Route: route, Answers: counts.Answers, Failures: counts.Failures}
		first, last := counts.UsedBuckets()
		outcomes.FirstBucket = uint32(first)
		outcomes.Times = append(outcomes.Times, counts.Times[first:last]...)
		encoded.Routes = append(encoded.Routes, outcomes)
	}
	return encoded
}

func decodeReport(raw *hopv1.RolloutReport) rollout.Report {
	r := rollout.Report{
		Service:     raw.GetService(),
		Position:    store.Position{Era: store.Era(raw.GetEra()), Version: raw.GetVersion()},
		Phase:       rollout.Phase(min(raw.GetPhase(), uint32(rollout.Completed)+1)),
		Version:     raw.GetUpstreamVersion(),
		TakesWork:   raw.GetTakesWork(),
		Slots:       int(raw.GetSlots()),
		Drained:     raw.GetDrained(),
		Unreachable: raw.GetUnreachable(),
		Routes:      map[string]rollout.Counts{},
	}
	for _, outcomes := range raw.GetRoutes() {
		counts := rollout.Counts{Answers: outcomes.GetAnswers(), Failures: min(outcomes.GetFailures(), outcomes.GetAnswers())}
		// Buckets that this release does not have are left out.
		if first := outcomes.GetFirstBucket(); first < uint32(len(counts.Times)) {
			copy(counts.Times[first:], outcomes.GetTimes())
		}
		r.Routes[outcomes.GetRoute()] = counts
	}
	return r
}
