package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is another daemon of this daemon's data centre.
type Member struct {
	Instance string
	// Reachable is whether this daemon has a connection to it that is not silent.
	Reachable bool
	// Silent is set for a member that became unreachable without closing the
	// connection. It may still be reachable for others.
	Silent bool
	// Leaving is set once the daemon has begun a planned stop.
	Leaving bool
	// MembersUnread is set while the daemon has not read its own entry of the member
	// table. It grants no tokens then.
	MembersUnread bool
}

// mayOwn reports whether buckets may be kept by the member.
func (m Member) mayOwn() bool { return m.Reachable && !m.Leaving && !m.MembersUnread }

// View is what a daemon knows of the others.
type View struct {
	// Members holds the other daemons of the data centre.
	Members []Member
	// Leaving is set once this daemon itself has begun a planned stop.
	Leaving bool
	// MembersUnread is set until this daemon has read its own entry of the member table.
	// Until then others may have written theirs without either daemon knowing of the
	// other, so that each would grant the whole share of the data centre.
	MembersUnread bool
	// Remote holds the names of the other data centres.
	Remote []string
	// Daemons is the number of all daemons, this one included.
	Daemons int
}

// maxViews bounds the views that are remembered.
const maxViews = 16

// views is the recent history of views, the present one last.
type views struct {
	self string
	all  []datedView
	// unreachableSince is when each unreachable member was first found so, by instance.
	unreachableSince map[string]time.Duration
}

// datedView is a view and when it began.
type datedView struct {
	View
	at time.Duration
}

// set adds a view, or replaces the present one if all owners stay the same. It forgets
// the oldest view if there are too many.
func (v *views) set(now time.Duration, view View) {
	view.Members = slices.Clone(view.Members)
	slices.SortFunc(view.Members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	at := now
	if v.known() && view.sameOwners(v.present()) {
		at = v.all[len(v.all)-1].at
		v.all = v.all[:len(v.all)-1]
	}
	v.all = append(v.all, datedView{View: view, at: at})
	if len(v.all) > maxViews {
		v.all = append([]datedView(nil), v.all[1:]...)
	}
	v.setUnreachable(now, view.Members)
}

// setUnreachable updates since when members are unreachable.
func (v *views) setUnreachable(now time.Duration, members []Member) {
	before := v.unreachableSince
	v.unreachableSince = map[string]time.Duration{}
	for _, m := range members {
		if m.Reachable {
			continue
		}
		since, known := before[m.Instance]
		if !known {
			since = now
		}
		v.unreachableSince[m.Instance] = since
	}
}

// sameOwners reports whether all customers have the same owners by both views.
func (v View) sameOwners(other View) bool {
	same := v.Leaving == other.Leaving && v.MembersUnread == other.MembersUnread
	return same && slices.EqualFunc(v.Members, other.Members, func(a, b Member) bool {
		return a.Instance == b.Instance && a.Reachable == b.Reachable && a.Leaving == b.Leaving && a.MembersUnread == b.MembersUnread
	})
}

// restart forgets the past views and dates the present one anew.
func (v *views) restart(now time.Duration) {
	if len(v.all) > 0 {
		v.all = []datedView{{View: v.present(), at: now}}
	}
}

// known reports whether there is a view.
func (v *views) known() bool { return len(v.all) > 0 }

// present returns the present view.
func (v *views) present() View {
	if len(v.all) == 0 {
		return View{}
	}
	return v.all[len(v.all)-1].View
}

// owner returns the daemon of the data centre that owns a customer's bucket by the
// present view, or "" if none is known that may.
func (v *views) owner(customer string) string { return owner(v.self, customer, v.present()) }

// ownedSince returns since when this daemon has owned the customer's bucket without
// interruption. It must own it at present.
func (v *views) ownedSince(customer string) time.Duration {
	since := v.all[len(v.all)-1].at
	for i := len(v.all) - 2; i >= 0 && owner(v.self, customer, v.all[i].View) == v.self; i-- {
		since = v.all[i].at
	}
	return since
}

// owner returns the daemon with the highest rendezvous hash among those that may own
// buckets. If there is none, it is this daemon, or "" if this one may not either.
func owner(self, customer string, view View) string {
	best, bestRank := self, uint64(0)
	switch {
	case view.MembersUnread:
		best = ""
	case !view.Leaving:
		bestRank = rank(customer, self)
	}
	for _, m := range view.Members {
		if !m.mayOwn() {
			continue
		}
		if r := rank(customer, m.Instance); r > bestRank {
			best, bestRank = m.Instance, r
		}
	}
	return best
}

// previous returns the reachable member that most likely holds the customer's bucket
// when this daemon has just become its owner, or "" if there is none. A leaving one
// may hold it.
func (v *views) previous(customer string) string { return v.nextTo(customer, "") }

// nextTo returns the reachable member with the highest rendezvous hash other than the
// given one, or "" if there is none. One that has not read the members holds no bucket.
func (v *views) nextTo(customer, instance string) string {
	best, bestRank := "", uint64(0)
	for _, m := range v.present().Members {
		candidate := m.Reachable && !m.MembersUnread && m.Instance != instance
		if r := rank(customer, m.Instance); candidate && r > bestRank {
			best, bestRank = m.Instance, r
		}
	}
	return best
}

func rank(customer, instance string) uint64 {
	return xxhash.Sum64String(customer + "\x00" + instance)
}

// reaches reports whether a member is reachable. This daemon itself is.
func (v *views) reaches(instance string) bool {
	for _, m := range v.present().Members {
		if m.Instance == instance {
			return m.Reachable
		}
	}
	return instance == v.self
}

// maySucceed reports whether a member may have become the owner of a bucket that this
// daemon holds: it is reachable and has, as far as known, read the members.
func (v *views) maySucceed(instance string) bool {
	return slices.ContainsFunc(v.present().Members, func(m Member) bool {
		return m.Instance == instance && m.Reachable && !m.MembersUnread
	})
}

// weight returns the part of the data centre's share that this daemon may grant as
// an owner: the share of the data centre's daemons that it reaches. Two daemons that
// do not reach each other may both act as owner, for the daemons that each reaches.
// Members that have been unreachable for the window, while at least half of the data
// centre is reachable, are taken for failed and count as reached.
func (v *views) weight(now, window time.Duration) float64 {
	members := v.present().Members
	reached, failed := 1, 0
	for _, m := range members {
		switch {
		case m.Reachable:
			reached++
		case now-v.unreachableSince[m.Instance] >= window:
			failed++
		}
	}
	all := len(members) + 1
	if 2*reached >= all {
		reached += failed
	}
	return float64(reached) / float64(all)
}

// doubted reports whether a member that ranks before this daemon for the customer has
// fallen silent a moment ago. It may still act as owner for others.
func (v *views) doubted(now time.Duration, customer string) bool {
	for _, m := range v.present().Members {
		recent := !m.Reachable && m.Silent && now-v.unreachableSince[m.Instance] < doubtTime
		if recent && rank(customer, m.Instance) > rank(customer, v.self) {
			return true
		}
	}
	return false
}

// dataCentres returns the number of data centres, this daemon's included.
func (v *views) dataCentres() float64 { return float64(len(v.present().Remote) + 1) }
