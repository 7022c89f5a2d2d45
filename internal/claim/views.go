package claim

import (
	"slices"
	"time"
)

// memberID is one process of an instance.
type memberID struct {
	instance    string
	incarnation uint64
}

func (m Member) id() memberID { return memberID{m.Instance, m.Incarnation} }

// view is what the holder knew of its data centre from a moment on.
type view struct {
	since       time.Duration
	dataCentres []string
	members     []Member
	// instances are the members' instance ids.
	instances []string
}

// ranks returns the key's holder and backup under the view, or "" for both
// when the key's home is another data centre.
func (v *view) ranks(key Hash, dataCentre string) (holder, backup string) {
	if HomeOf(key, v.dataCentres) != dataCentre {
		return "", ""
	}
	return ranked(key, v.instances)
}

// without returns the view as it is once an instance has left.
func (v *view) without(instance string) *view {
	rest := &view{since: v.since, dataCentres: v.dataCentres}
	for _, m := range v.members {
		if m.Instance != instance {
			rest.members = append(rest.members, m)
			rest.instances = append(rest.instances, m.Instance)
		}
	}
	return rest
}

func (v *view) member(instance string) (Member, bool) {
	for _, m := range v.members {
		if m.Instance == instance {
			return m, true
		}
	}
	return Member{}, false
}

// vouch is what another holder said when it handed its claims over: that this
// daemon now knows all that was granted under the keys it received.
type vouch struct {
	at time.Duration
	// tenure is when the sender's tenure began, on this process's clock.
	tenure time.Duration
	// leaving is set when the sender grants nothing more.
	leaving bool
	// live are the instances of the sender's view.
	live []string
}

// viewHistory is the current view with those before it that still bear on what
// may be granted, and the hand-overs received.
type viewHistory struct {
	self string
	// incarnation is the own one.
	incarnation uint64
	// views are in order of time; the last is the current one.
	views []view
	// began is from when on views are known.
	began time.Duration
	// tenureSince is when something last happened that ends the tenure of all
	// keys: a pause, a lost instance, a change of the possible homes.
	tenureSince time.Duration
	// losses are when instances were lost, in order.
	losses []time.Duration
	// homesChanged is when the list of possible homes last changed, or a
	// negative value.
	homesChanged time.Duration
	vouches      map[string]vouch
}

func newViewHistory(now time.Duration) viewHistory {
	return viewHistory{began: now, tenureSince: now, homesChanged: -1, vouches: make(map[string]vouch)}
}

func (h *viewHistory) current() *view {
	if len(h.views) == 0 {
		return &view{}
	}
	return &h.views[len(h.views)-1]
}

// holds reports whether this daemon holds the key under its current view.
func (h *viewHistory) holds(key Hash, dataCentre string) bool {
	holder, _ := h.current().ranks(key, dataCentre)
	return holder != "" && holder == h.self
}

// forget drops all that was known, as after a restart.
func (h *viewHistory) forget(now time.Duration) {
	last := *h.current()
	last.since = now
	h.views = []view{last}
	h.began = now
	h.vouches = make(map[string]vouch)
}

// trim drops views that ended before a moment.
func (h *viewHistory) trim(before time.Duration) {
	for len(h.views) > 1 && h.views[1].since <= before {
		h.views = h.views[1:]
	}
	for len(h.losses) > 0 && h.losses[0] <= before {
		h.losses = h.losses[1:]
	}
}

// change says how a view differs from the one before.
type change struct {
	// moved is set when the holder of any key may have changed.
	moved bool
	// lost are members that went without a planned stop.
	lost []memberID
	// cutOff is set when a lost one may still be running: it went silent, and
	// no later process of the same instance has taken its place.
	cutOff bool
	// joined are members that were not known before.
	joined []memberID
	// homes is set when the list of possible homes changed.
	homes bool
}

// set takes a new view and reports what changed.
func (h *viewHistory) set(now time.Duration, ev ViewChanged, maxViews int) change {
	next := view{since: now, dataCentres: ev.DataCentres, members: ev.Live}
	for _, m := range ev.Live {
		next.instances = append(next.instances, m.Instance)
	}
	previous := h.current()
	diff := difference(previous, &next, ev.Left)
	diff.homes = len(previous.dataCentres) > 0 && !sameSet(previous.dataCentres, next.dataCentres)
	h.self = ev.Self
	if me, ok := next.member(ev.Self); ok {
		h.incarnation = me.Incarnation
	}
	firstHomes := len(previous.dataCentres) == 0
	diff.moved = diff.homes || firstHomes || !sameSet(previous.instances, next.instances)
	if len(h.views) > 0 && !diff.moved && len(diff.lost) == 0 {
		next.since = previous.since
		h.views[len(h.views)-1] = next
		return diff
	}
	h.views = append(h.views, next)
	if len(h.views) > maxViews {
		h.views = h.views[1:]
		h.began = h.views[0].since
	}
	return diff
}

// difference finds who joined and who was lost. An instance under another
// incarnation is both: its process lost all it knew.
func difference(from, to *view, left []string) change {
	var diff change
	for _, m := range from.members {
		now, stays := to.member(m.Instance)
		replaced := stays && now.Incarnation != m.Incarnation
		silent := !stays && !slices.Contains(left, m.Instance)
		if replaced || silent {
			diff.lost = append(diff.lost, m.id())
		}
		diff.cutOff = diff.cutOff || silent
	}
	for _, m := range to.members {
		before, known := from.member(m.Instance)
		if !known || before.Incarnation != m.Incarnation {
			diff.joined = append(diff.joined, m.id())
		}
	}
	return diff
}

func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}
