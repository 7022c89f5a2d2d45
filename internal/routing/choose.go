package routing

import (
	"time"
)

// Reason says why an upstream was chosen, for the decision line.
type Reason uint8

// The reasons of a choice.
const (
	// None: the service has no upstream that is left to try.
	None Reason = iota
	// Only: it is the only one left to try.
	Only
	// LocalLighter: the lighter of two in the own data centre.
	LocalLighter
	// SpillOver: the own data centre is saturated and this one is lighter.
	SpillOver
	// OtherDataCentre: the own data centre has none left to try.
	OtherDataCentre
	// KeyHome: the lighter of two in the home data centre of the key.
	KeyHome
	// AllPassedOver: all are ejected or leaving; one was tried all the same.
	AllPassedOver
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	names := [...]string{"none", "only", "local-lighter", "spill-over", "other-data-centre", "key-home", "all-passed-over"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Candidate is an upstream with what is known of it.
type Candidate struct {
	Upstream
	*Stats
	// SlowStart is how long the upstream gets a growing share once ready.
	SlowStart time.Duration
}

// Group is the candidates of one service in one data centre.
type Group struct {
	DataCentre string
	Candidates []Candidate
}

// Ask is what one choice depends on besides the candidates.
type Ask struct {
	// Local is the data centre to prefer.
	Local string
	// KeyHome replaces Local for a request with an Idempotency-Key; empty
	// otherwise.
	KeyHome string
	// Tried are instances that this call was already sent to.
	Tried []string
	Now   time.Duration
	// Random is a fresh random number.
	Random uint64
}

// Decision is the chosen upstream and why; Chosen is nil when there is none.
type Decision struct {
	Chosen *Candidate
	Reason Reason
	// Saturated tells that the chosen upstream seems to have no free slot.
	Saturated bool
}

// slowStartFloor is the share that a just-ready upstream starts with.
const slowStartFloor = 0.1

// spillMargin is how much lighter, in load per slot, an upstream of another
// data centre must be to take a request of a saturated one.
const spillMargin = 0.25

// saturation is the load per slot from which an upstream counts as saturated.
const saturation = 1.0

// Choose picks an upstream: two at random in the preferred data centre and the
// lighter of them; when that one is saturated, two at random of the others
// compete. It is pure but for reading the candidates' counters.
func Choose(groups []Group, ask Ask) Decision {
	draw := &draws{state: ask.Random}
	home, reason := ask.Local, LocalLighter
	if ask.KeyHome != "" {
		home, reason = ask.KeyHome, KeyHome
	}
	best := lighter(groups, ask, draw, func(dc string) bool { return dc == home })
	if best == nil {
		return elsewhere(groups, ask, draw, home)
	}
	load := perSlot(best, ask.Now)
	if load < saturation {
		return Decision{Chosen: best, Reason: reason}
	}
	other := lighter(groups, ask, draw, func(dc string) bool { return dc != home })
	if other == nil {
		return Decision{Chosen: best, Reason: reason, Saturated: true}
	}
	otherLoad := perSlot(other, ask.Now)
	if otherLoad+spillMargin > load {
		return Decision{Chosen: best, Reason: reason, Saturated: true}
	}
	return Decision{Chosen: other, Reason: SpillOver, Saturated: otherLoad >= saturation}
}

// elsewhere chooses when the preferred data centre has nobody to take the
// request.
func elsewhere(groups []Group, ask Ask, draw *draws, home string) Decision {
	other := lighter(groups, ask, draw, func(dc string) bool { return dc != home })
	if other != nil {
		saturated := perSlot(other, ask.Now) >= saturation
		return Decision{Chosen: other, Reason: OtherDataCentre, Saturated: saturated}
	}
	return lastResort(groups, ask, draw)
}

// lastResort tries one that is passed over, rather than none.
func lastResort(groups []Group, ask Ask, draw *draws) Decision {
	var chosen *Candidate
	seen := uint64(0)
	for g := range groups {
		for c := range groups[g].Candidates {
			candidate := &groups[g].Candidates[c]
			if ask.tried(candidate.Instance) {
				continue
			}
			seen++
			if draw.below(seen) == 0 {
				chosen = candidate
			}
		}
	}
	if chosen == nil {
		return Decision{Reason: None}
	}
	return Decision{Chosen: chosen, Reason: AllPassedOver}
}

// lighter draws two usable candidates from the groups that match and returns
// the one with the lower score, or nil.
func lighter(groups []Group, ask Ask, draw *draws, match func(dc string) bool) *Candidate {
	first := pick(groups, ask, draw, match, nil)
	if first == nil {
		return nil
	}
	second := pick(groups, ask, draw, match, first)
	if second == nil || score(first, ask.Now) <= score(second, ask.Now) {
		return first
	}
	return second
}

// quickDraws is how many blind draws are made before all are looked at.
const quickDraws = 3

// pick draws one usable candidate other than not.
func pick(groups []Group, ask Ask, draw *draws, match func(dc string) bool, not *Candidate) *Candidate {
	total := count(groups, match)
	if total == 0 {
		return nil
	}
	for range quickDraws {
		candidate := nth(groups, match, int(draw.below(uint64(total))))
		if candidate != not && ask.usable(candidate) {
			return candidate
		}
	}
	return scan(groups, ask, match, not, int(draw.below(uint64(total))), total)
}

// scan looks at all candidates once, from a random start.
func scan(groups []Group, ask Ask, match func(dc string) bool, not *Candidate, start, total int) *Candidate {
	for i := range total {
		candidate := nth(groups, match, (start+i)%total)
		if candidate != not && ask.usable(candidate) {
			return candidate
		}
	}
	return nil
}

func count(groups []Group, match func(dc string) bool) int {
	total := 0
	for g := range groups {
		if match(groups[g].DataCentre) {
			total += len(groups[g].Candidates)
		}
	}
	return total
}

func nth(groups []Group, match func(dc string) bool, n int) *Candidate {
	for g := range groups {
		if !match(groups[g].DataCentre) {
			continue
		}
		if n < len(groups[g].Candidates) {
			return &groups[g].Candidates[n]
		}
		n -= len(groups[g].Candidates)
	}
	return nil
}

func (a Ask) usable(c *Candidate) bool {
	return !c.passedOver(a.Now) && !a.tried(c.Instance)
}

func (a Ask) tried(instance string) bool {
	for _, t := range a.Tried {
		if t == instance {
			return true
		}
	}
	return false
}

// perSlot is the estimated load of a candidate for each of its slots.
func perSlot(c *Candidate, now time.Duration) float64 {
	return c.Load(now) / float64(max(c.Slots, 1))
}

// score is what one more request would bring the load per slot to, with the
// slots that a starting upstream does not yet have taken off.
func score(c *Candidate, now time.Duration) float64 {
	slots := float64(max(c.Slots, 1)) * warmth(c, now)
	return (c.Load(now) + 1) / slots
}

// warmth is the share of its slots that an upstream gets in slow start.
func warmth(c *Candidate, now time.Duration) float64 {
	age := now - time.Duration(c.since.Load())
	if c.SlowStart <= 0 || age >= c.SlowStart {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(c.SlowStart))
}

// draws derives further random numbers from one (SplitMix64).
type draws struct{ state uint64 }

func (d *draws) next() uint64 {
	d.state += 0x9e3779b97f4a7c15
	z := d.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// below returns a number in [0,n).
func (d *draws) below(n uint64) uint64 {
	return (d.next() >> 32) * n >> 32
}
