// Package rollout decides how a service is moved to a new version of its
// upstreams: which requests may go to the new version, whether that is good or
// bad, and when the move is completed or reverted. It does no I/O, reads no clock
// and draws no random numbers.
package rollout

import (
	"slices"
	"time"

	"godwitmount/internal/store"
)

// Request is an operator's request to move a service to another version.
type Request struct {
	Service string
	// To is the version that the service is moved to.
	To string
	// Period is the time within which a good version is completed.
	Period time.Duration
	// Position is that of the request's row in the store. It identifies the rollout.
	Position store.Position
}

// Same reports whether other is the same request. After the store has come back from an
// older copy the row has another era, and the version of its row may be that of another
// request.
func (r *Request) Same(other Request) bool {
	return r.Service == other.Service && r.To == other.To && r.Position.Version == other.Position.Version
}

// Phase is how far a rollout is. A later one has a larger number.
type Phase uint8

// The phases of a rollout.
const (
	// Trial: a bounded share of the requests goes to some upstreams of the new
	// version.
	Trial Phase = iota + 1
	// StepOne and StepTwo: a larger share goes to the same share of the upstreams of
	// the new version in each data centre; see stepShares and InStep.
	StepOne
	StepTwo
	// Full: all requests go to the new version; the others' admission controllers
	// are closed.
	Full
	// Reverted: the new version gets no requests.
	Reverted
	// Completed: the old upstreams have ended their requests and may be stopped. A
	// daemon believes this only from the store or from one that does.
	Completed
)

// String returns the phase's name in logs and in the store.
func (p Phase) String() string {
	names := [...]string{"none", "trial", "step-1", "step-2", "full", "reverted", "completed"}
	if int(p) >= len(names) {
		return "invalid"
	}
	return names[p]
}

// ParsePhase returns the phase with the name, or false.
func ParsePhase(name string) (Phase, bool) {
	for p := Trial; p <= Completed; p++ {
		if p.String() == name {
			return p, true
		}
	}
	return 0, false
}

// Final reports whether the phase is the last one of its rollout.
func (p Phase) Final() bool { return p >= Reverted }

// Active reports whether the rollout is in progress.
func (p Phase) Active() bool { return p >= Trial && p < Reverted }

// maxVersions bounds the versions in From and Denied. A rollout has one or two; the
// bound keeps wrong reports from growing the state.
const maxVersions = 8

// Progress is what daemons tell each other about a rollout.
type Progress struct {
	Request
	// From holds the versions that are replaced: those of the service's other
	// upstreams, sorted.
	From []string
	// Denied holds versions of earlier rollouts that were not completed. They get no
	// requests.
	Denied []string
	Phase  Phase
	// Reason says why the phase was entered.
	Reason string
	// Stored is set in phase Reverted once the store has it.
	Stored bool
	// Age is the time since the first daemon learned of the request.
	Age time.Duration
}

// Merge returns what follows from both of two daemons' knowledge about one service.
// The result does not depend on the order in which several are merged.
func Merge(a, b Progress) Progress {
	if a.Position != b.Position {
		if b.Position.After(a.Position) {
			a, b = b, a
		}
		if !a.continues(b) {
			return a
		}
		// The store came back from an older copy, and the request was written again.
		b.Position = a.Position
	}
	switch {
	case b.Phase > a.Phase:
		a.Phase, a.Reason, a.Stored = b.Phase, b.Reason, b.Stored
	case b.Phase == a.Phase:
		a.Reason, a.Stored = min(a.Reason, b.Reason), a.Stored || b.Stored
	}
	a.From = union(a.From, b.From)
	a.Denied = union(a.Denied, b.Denied)
	a.Age = max(a.Age, b.Age)
	return a
}

// continues reports whether p is the request of earlier, as written again in a later
// era of the store.
func (p *Progress) continues(earlier Progress) bool {
	return p.Position.Era > earlier.Position.Era && p.To == earlier.To && p.Period == earlier.Period
}

// Begin returns the progress of a request that has just been read. Before is that of
// the service's rollout before, or the zero value.
//
// The version of a rollout that was not completed gets no more requests. If the
// request names a version that this rollout replaced, the service goes back to it at
// once: it is in use.
func Begin(request Request, before Progress) Progress {
	p := Progress{Request: request, Phase: Trial, Reason: "requested"}
	if before.Phase == 0 {
		return p
	}
	if p.continues(before) {
		before.Position = request.Position
		return before
	}
	if before.Phase == Completed {
		return p
	}
	p.Denied = without(union(before.Denied, []string{before.To}), request.To)
	if before.To != request.To && slices.Contains(before.From, request.To) {
		p.From = []string{before.To}
		p.Phase, p.Reason = Full, "the version was in use before an unfinished rollout"
	}
	return p
}

// Side says between which upstreams a request's placement chooses.
type Side uint8

// The sides of a rollout.
const (
	// SideAny: all upstreams that the rollout allows.
	SideAny Side = iota
	// SideOld: upstreams of other versions than the new one.
	SideOld
	// SideNew: upstreams of the new version.
	SideNew
)

// View is what the data path knows of a rollout.
type View struct {
	Progress
	// Gated is set while a request to the new version needs exposure in the trial.
	// It is clear if no other version is known and this daemon's upstream had the
	// new version before the request.
	Gated bool
	// Unresolved is set while the phase is not known yet. The local upstream gets no
	// requests, and peers are not told of the rollout: they may have started, too, and
	// would take the first phase for the present one.
	Unresolved bool
	// Isolated is set while this daemon reaches no other one. A local upstream of an old
	// version gets no requests, because the rollout may go on without it.
	Isolated bool
	// Confirmed is set while the completion may be or have been written because this daemon,
	// or an earlier process of it, confirmed that its upstream is closed, or was counted as
	// gone. A local upstream of an old version gets no requests.
	Confirmed bool
	// NewClosed is set while an upstream of the new version beside this daemon gets
	// no requests: it fails, or this daemon is cut off from most of the service in
	// the trial.
	NewClosed bool
}

// Opens reports whether the admission controller of the local upstream of the given
// version is open.
func (v *View) Opens(version string) bool {
	isNew := version == v.To
	if v.Unresolved || (v.Isolated || v.Confirmed) && !isNew || slices.Contains(v.Denied, version) {
		return false
	}
	switch v.Phase {
	case Full:
		return isNew && !v.NewClosed
	case Reverted:
		return !isNew
	case Completed:
		return isNew || !slices.Contains(v.From, version)
	default:
		return !isNew || !v.NewClosed
	}
}

// Admits reports whether a request may be given to the local upstream of the given
// version. Exposed is the version of the row of the rollout request for which the
// entry daemon has spent exposure, or 0.
func (v *View) Admits(version string, exposed uint64) bool {
	if !v.Opens(version) {
		return false
	}
	if v.Phase == Trial && version == v.To && v.Gated {
		return exposed == v.Position.Version
	}
	return true
}

// Allows reports whether a request on the given side may be sent to an upstream of
// the version.
func (v *View) Allows(version string, side Side) bool {
	if slices.Contains(v.Denied, version) {
		return false
	}
	switch side {
	case SideOld:
		return version != v.To
	case SideNew:
		return version == v.To
	default:
		return v.Phase != Reverted || version != v.To
	}
}

// stepShares are the shares of the requests that go to the new version in the steps.
var stepShares = map[Phase]float64{StepOne: 0.25, StepTwo: 0.5}

// Share returns the share of the requests that goes to the new version, given the
// share in the trial.
func (v *View) Share(trial float64) float64 {
	switch v.Phase {
	case Trial:
		return trial
	case StepOne, StepTwo:
		return stepShares[v.Phase]
	case Full, Completed:
		return 1
	default:
		return 0
	}
}

// union returns the sorted union of two sets, at most maxVersions of it.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxVersions)]
}

// without returns the set less an element.
func without(set []string, element string) []string {
	return slices.DeleteFunc(slices.Clone(set), func(other string) bool { return other == element })
}
