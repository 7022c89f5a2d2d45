package rollout

import (
	"cmp"
	"math"
	"slices"
)

// times are the times of one upstream's answers relative to the usual ones of their
// routes.
type times struct {
	all []relativeTime
	// n is the number of times.
	n int
}

// relativeTime is a number of times on a route in one bucket, and the logarithm of
// their ratio to the usual one.
type relativeTime struct {
	route string
	ratio float64
	count int
}

// relativeTimes returns the times of the upstreams that have enough. Usual holds the
// logarithms of the routes' usual times; routes without one do not count.
func relativeTimes(samples []Sample, usual map[string]float64) []times {
	var upstreams []times
	for _, sample := range samples {
		var t times
		for route, counts := range sample {
			reference, known := usual[route]
			if !known {
				continue
			}
			for bucket, count := range counts.Times {
				if count > 0 {
					t.all = append(t.all, relativeTime{route, logTime(bucket) - reference, int(count)})
					t.n += int(count)
				}
			}
		}
		if t.n < minTimes {
			continue
		}
		slices.SortFunc(t.all, func(a, b relativeTime) int {
			return cmp.Or(cmp.Compare(a.ratio, b.ratio), cmp.Compare(a.route, b.route))
		})
		upstreams = append(upstreams, t)
	}
	return upstreams
}

// quantile returns a quantile of the ratios' logarithms.
func (t *times) quantile(q float64) float64 {
	rank := q * float64(t.n)
	for _, r := range t.all {
		if rank <= float64(r.count) {
			// The times in a bucket are spread evenly.
			return r.ratio + (rank/float64(r.count)-0.5)*bucketWidth
		}
		rank -= float64(r.count)
	}
	return 0
}

// slowAnswers returns the times on a route, or on all for "", and how many of them are
// slow for the upstream's own speed. Known is the number of upstreams of the version.
func slowAnswers(upstreams []times, route string, known int) proportion {
	var all []proportion
	for i := range upstreams {
		slow := upstreams[i].quantile(fastQuantile) + math.Log(slowRatio)
		p := proportion{}
		for _, r := range upstreams[i].all {
			if route != "" && r.route != route {
				continue
			}
			p.n += float64(r.count)
			if r.ratio > slow {
				p.x += float64(r.count)
			}
		}
		all = append(all, p)
	}
	return trimmedSum(all, known)
}

// usualTimes returns the logarithm of the median time of each route.
func usualTimes(samples []Sample) map[string]float64 {
	pooled := Sample{}
	for _, sample := range samples {
		for route, counts := range sample {
			all := pooled[route]
			all.add(counts)
			pooled[route] = all
		}
	}
	usual := map[string]float64{}
	for route, counts := range pooled {
		if all := relativeTimes([]Sample{{route: counts}}, map[string]float64{route: 0}); len(all) > 0 {
			usual[route] = all[0].quantile(0.5)
		}
	}
	return usual
}

// shiftScore returns the score of the finding that all answers of the new version are
// slow, and the logarithm of how many times slower they are.
func shiftScore(newTimes, oldTimes []times) (score, shift float64) {
	newSpeeds, n := speeds(newTimes)
	oldSpeeds, _ := speeds(oldTimes)
	if len(newSpeeds) == 0 || len(oldSpeeds) == 0 {
		return math.Inf(-1), 0
	}
	newSpeeds = newSpeeds[:len(newSpeeds)-trimmed(len(newSpeeds))]
	for _, speed := range newSpeeds {
		shift += speed / float64(len(newSpeeds))
	}
	shift -= oldSpeeds[len(oldSpeeds)/2]
	deviation := timeSpread / math.Sqrt(float64(n))
	excess := (shift - explainedShift(len(newSpeeds), len(oldSpeeds))) / deviation
	// At shiftDeviations the score is badScore.
	return badScore * excess / shiftDeviations, shift
}

// explainedShift returns the shift that differences in speed between upstreams of one
// version, of up to 3 times, may cause.
func explainedShift(newUpstreams, oldUpstreams int) float64 {
	const least, fromNew, fromOld = 0.34, 0.45, 0.3
	return least + fromNew/math.Sqrt(float64(newUpstreams)) + fromOld/math.Sqrt(float64(oldUpstreams))
}

// speeds returns the median logarithms of the upstreams' times, in ascending order,
// and the number of times.
func speeds(upstreams []times) (all []float64, n int) {
	for i := range upstreams {
		all = append(all, upstreams[i].quantile(0.5))
		n += upstreams[i].n
	}
	slices.Sort(all)
	return all, n
}
