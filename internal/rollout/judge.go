package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Sample holds the counts of one upstream by route.
type Sample map[string]Counts

// Evidence holds the samples of both versions over the same time.
type Evidence struct {
	New, Old []Sample
}

// Verdict is the result of a comparison of two versions.
type Verdict struct {
	// Bad and Good are both clear while the evidence does not suffice.
	Bad, Good bool
	// GoodOverall is set if the evidence excludes faults on all routes together, though
	// perhaps not on each.
	GoodOverall bool
	// Suspect is set while a test is near its threshold.
	Suspect bool
	// Score is the largest result of the tests, a logarithm of a likelihood ratio.
	Score float64
	// Reason says which test decided or is the furthest from a decision.
	Reason string
	// Answers and Failures are those of the new version over the whole time.
	Answers, Failures int
}

const (
	// badScore is the score from which a version is bad. TestVerdictErrorRates shows
	// the error rates that follow from it.
	badScore = 10
	// suspectScore is the score from which a version is not moved on.
	suspectScore = 3
	// goodScore is the score below which a fault of a certain size is excluded.
	goodScore = -3
	// baseFactor and baseMargin make the largest share that passes for that of the old
	// version: a version that is a little worse is not bad.
	baseFactor = 1.5
	baseMargin = 0.005
	// slowFactor and slowMargin are the same for the share of slow answers, which
	// varies more, as upstreams differ in speed.
	slowFactor = 1.2
	slowMargin = 0.01
	// priorAnswers and priorFailures are added to the counts of the old version, so
	// that a few failures among few answers do not make the share large.
	priorAnswers  = 100
	priorFailures = 0.5
	// slowRatio is how many times as long as the fast third of an upstream's answers
	// a slow one takes.
	slowRatio = 3
	// fastQuantile is the quantile that stands for the speed of an upstream. It is the
	// same if up to half of the answers are slowed down.
	fastQuantile = 0.3
	// minTimes is the number of times of an upstream from which its speed is known.
	minTimes = 10
	// minAnswers is the number of answers without which no version is good.
	minAnswers = 20
	// minRouteAnswers is the number of answers of the old version from which a route
	// counts as one in use.
	minRouteAnswers = 20
	// trimmedShare is the share of upstreams that is left out as faulty by themselves.
	trimmedShare = 0.1
	// excludedShare and excludedRouteShare are the shares of failures above the base
	// that must be excluded for a good version, over all routes and for each.
	excludedShare      = 0.03
	excludedRouteShare = 0.2
	// excludedSlowShare is the same for slow answers over all routes.
	excludedSlowShare = 0.15
	// timeSpread is the standard deviation of the median's logarithm for one time.
	timeSpread = 0.63
	// shiftDeviations is how many standard errors a shift of all times must exceed
	// what differences in speed explain.
	shiftDeviations = 3
)

var (
	// failureSteps are the assumed excesses of a bad version's share of failures.
	failureSteps = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.7}
	// slowSteps are those of its share of slow answers.
	slowSteps = []float64{0.1, 0.2, 0.4, 0.6}
)

// Judge compares the new version with the old one. The first evidence covers the
// whole time, the others recent parts of it.
func Judge(windows []Evidence) Verdict {
	whole := windows[0]
	usual := usualTimes(whole.Old)
	v := Verdict{Score: math.Inf(-1)}
	for _, sample := range whole.New {
		all := sample.total()
		v.Answers += int(all.Answers)
		v.Failures += int(all.Failures)
	}
	for i, evidence := range windows {
		if n := countAnswers(evidence.Old); n < priorAnswers || 2*n < countAnswers(evidence.New) {
			// The old version gets few requests any more.
			evidence.Old = whole.Old
		}
		v.judgeWindow(evidence, usual, i == 0)
	}
	v.Bad = v.Score >= badScore
	v.Suspect = v.Score >= suspectScore
	if v.Bad || v.Suspect {
		return v
	}
	v.Good, v.GoodOverall, v.Reason = excludesFaults(whole, usual)
	return v
}

// judgeWindow raises the score to the largest result of the tests.
func (v *Verdict) judgeWindow(evidence Evidence, usual map[string]float64, whole bool) {
	window := "recent "
	if whole {
		window = ""
	}
	newTimes, oldTimes := relativeTimes(evidence.New, usual), relativeTimes(evidence.Old, usual)
	for _, route := range append(routesOf(evidence.New), "") {
		where := "on all routes"
		if route != "" {
			where = "on route " + route
		}
		newCount, oldCount := failures(evidence.New, route), failures(evidence.Old, route)
		base := failureBase(oldCount)
		v.raise(newCount.score(base, failureSteps), "%sfailures %s: %s, at most %.3f expected", window, where, newCount, base)
		newSlow, oldSlow := slowAnswers(newTimes, route, len(evidence.New)), slowAnswers(oldTimes, route, len(evidence.Old))
		base = slowBase(oldSlow)
		v.raise(newSlow.score(base, slowSteps), "%sslow answers %s: %s, at most %.3f expected", window, where, newSlow, base)
	}
	if len(newTimes) < min(inUse(evidence.New), minParticipants) {
		// Those that have answered so far may be the faulty ones.
		return
	}
	score, shift := shiftScore(newTimes, oldTimes)
	v.raise(score, "%sall answers slow: %.2f times the time of the old version", window, math.Exp(shift))
}

func (v *Verdict) raise(score float64, format string, args ...any) {
	if score > v.Score {
		v.Score, v.Reason = score, fmt.Sprintf(format, args...)
	}
}

// excludesFaults reports whether the evidence excludes faults that matter, on each route
// or at least on all together, or what it does not exclude.
func excludesFaults(e Evidence, usual map[string]float64) (onEach, together bool, missing string) {
	if n := countAnswers(e.New); n < minAnswers {
		return false, false, fmt.Sprintf("%d answers, %d needed", n, minAnswers)
	}
	all, base := failures(e.New, ""), failureBase(failures(e.Old, ""))
	if all.ratio(base, base+excludedShare) > goodScore {
		return false, false, fmt.Sprintf("failures on all routes: %s do not exclude %.3f", all, base+excludedShare)
	}
	oldSlow := slowAnswers(relativeTimes(e.Old, usual), "", len(e.Old))
	slow, base := slowAnswers(relativeTimes(e.New, usual), "", len(e.New)), slowBase(oldSlow)
	if slow.ratio(base, base+excludedSlowShare) > goodScore {
		return false, false, fmt.Sprintf("slow answers on all routes: %s do not exclude %.3f", slow, base+excludedSlowShare)
	}
	for _, route := range routesOf(e.Old) {
		old := failures(e.Old, route)
		if old.n < minRouteAnswers {
			continue
		}
		base := failureBase(old)
		if count := failures(e.New, route); count.ratio(base, base+excludedRouteShare) > goodScore {
			return false, true, fmt.Sprintf("failures on route %s: %s do not exclude %.3f", route, count, base+excludedRouteShare)
		}
	}
	return true, true, reasonNoFault
}

// proportion is a number of answers and how many of them have a property.
type proportion struct{ n, x float64 }

// String returns the proportion as in "3 of 40".
func (p proportion) String() string { return fmt.Sprintf("%.0f of %.0f", p.x, p.n) }

// smoothedShare returns the share, drawn towards a small one if there are few answers.
func (p proportion) smoothedShare() float64 {
	return (p.x + priorFailures) / (p.n + priorAnswers)
}

// failureBase returns the share of failures that passes for that of the old version.
func failureBase(old proportion) float64 { return baseFactor*old.smoothedShare() + baseMargin }

// slowBase returns the share of slow answers that passes for that of the old version.
func slowBase(old proportion) float64 { return slowFactor*old.smoothedShare() + slowMargin }

// ratio returns the logarithm of the likelihood ratio of share q against share base.
func (p proportion) ratio(base, q float64) float64 {
	base, q = min(base, maxShare), min(q, maxShare)
	return p.x*math.Log(q/base) + (p.n-p.x)*math.Log((1-q)/(1-base))
}

// maxShare keeps logarithms finite.
const maxShare = 0.97

// score returns the logarithm of the likelihood ratio of a mixture of shares that
// exceed base by the steps, against base. If the share is at most base, the ratio
// exceeds exp(s) with a probability of at most exp(-s) over all time.
func (p proportion) score(base float64, steps []float64) float64 {
	ratios := make([]float64, len(steps))
	for i, excess := range steps {
		ratios[i] = p.ratio(base, base+excess)
	}
	largest := slices.Max(ratios)
	sum := 0.0
	for _, ratio := range ratios {
		sum += math.Exp(ratio - largest)
	}
	return largest + math.Log(sum/float64(len(ratios)))
}

// failures returns the answers and failures on a route, or on all for "", without the
// upstreams that fail most.
func failures(samples []Sample, route string) proportion {
	var all []proportion
	for _, sample := range samples {
		// Upstreams that have answered on other routes only count, too: what a single
		// one says about this route is left out.
		if sample.total().Answers > 0 {
			c := sample.on(route)
			all = append(all, proportion{float64(c.Answers), float64(c.Failures)})
		}
	}
	return trimmedSum(all, len(samples))
}

// sum returns the total of all proportions.
func sum(all []proportion) proportion {
	total := proportion{}
	for _, p := range all {
		total.n += p.n
		total.x += p.x
	}
	return total
}

// trimmedSum returns the total without the trimmedShare of upstreams that exceed the mean
// most, at least one of several. One faulty upstream says nothing about its version.
// Known is the number of upstreams of the version, of which some may have no answers: as
// long as only one of several has, nothing is left.
func trimmedSum(all []proportion, known int) proportion {
	if len(all) == 1 && known > 1 {
		return proportion{}
	}
	total := sum(all)
	// Half of the mean, so that of upstreams that always fail the largest is left out.
	usual := total.x / max(total.n, 1) / 2
	slices.SortFunc(all, func(a, b proportion) int { return cmp.Compare(a.x-usual*a.n, b.x-usual*b.n) })
	return sum(all[:len(all)-trimmed(len(all))])
}

// trimmed returns how many of n upstreams are left out.
func trimmed(n int) int {
	if n < 2 {
		return 0
	}
	return int(math.Ceil(trimmedShare * float64(n)))
}

// total returns the counts over all routes.
func (s Sample) total() Counts {
	var all Counts
	for _, counts := range s {
		all.add(counts)
	}
	return all
}

// on returns the counts of a route, or of all for "".
func (s Sample) on(route string) Counts {
	if route == "" {
		return s.total()
	}
	return s[route]
}

func countAnswers(samples []Sample) int {
	n := 0
	for _, sample := range samples {
		n += int(sample.total().Answers)
	}
	return n
}

// inUse returns the number of upstreams that have answered.
func inUse(samples []Sample) int {
	n := 0
	for _, sample := range samples {
		if sample.total().Answers > 0 {
			n++
		}
	}
	return n
}

// routesOf returns the routes of the samples in order.
func routesOf(samples []Sample) []string {
	all := map[string]bool{}
	for _, sample := range samples {
		for route := range sample {
			all[route] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
