package claim

import (
	"time"

	"godwitmount/internal/platform"
)

// marker is the row which says that grants from memory may have been given in
// the data centre since the table was new. A daemon that starts where it is
// absent need not ask others what was granted.
type marker struct {
	// known is set once this daemon has checked the row.
	known bool
	// absentAtStart is set when it was not there at that time.
	absentAtStart bool
	// present is set once the row is known to be in the table. No grant from
	// memory is given before.
	present bool
}

// checkedTTL is how long the table keeps the row that a check writes.
const checkedTTL = time.Minute

func (c *Core) markerKey() string { return markerPrefix + c.cfg.DataCentre }

func (c *Core) markerUnknown() bool {
	return !c.marker.known && len(c.views.views) > 0
}

// markerDue reports whether the marker is to be written with the next rows:
// well before this daemon may grant from memory, so that one which started
// before then has long been heard of.
func (c *Core) markerDue() bool {
	return c.marker.known && !c.marker.present && c.now.Now-c.views.began >= c.cfg.Horizon/2
}

// sendMarkerCheck asks by a precondition whether the marker is there: a read
// might be stale.
func (c *Core) sendMarkerCheck() {
	c.send(&transaction{kind: checkMarker}, platform.Transaction{
		Preconditions: []platform.Precondition{{Key: c.markerKey(), Absent: true}},
		Writes: []platform.Write{{
			Key:        checkedPrefix + c.cfg.DataCentre,
			Value:      []byte(c.views.self),
			TTLSeconds: uint32(checkedTTL / time.Second),
		}},
	})
}

// markerKnown takes the result of a check. A later one only tells that the
// platform is there.
func (c *Core) markerKnown(absent bool) {
	if c.marker.known {
		return
	}
	c.marker = marker{known: true, absentAtStart: absent, present: !absent}
}
