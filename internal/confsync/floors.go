package confsync

import (
	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/event"
	"godwitmount/internal/manifest"
	"godwitmount/internal/step"
)

// floorBook remembers the highest version each other instance is known to have
// applied.
type floorBook struct {
	limit int
	ids   map[string]manifest.ID
}

func newFloorBook(limit int) floorBook {
	return floorBook{limit: limit, ids: map[string]manifest.ID{}}
}

// raise remembers an ID and returns the highest known for the instance. Under
// one version the digest first heard stays.
func (b *floorBook) raise(instance string, id manifest.ID) manifest.ID {
	known := b.ids[instance]
	if instance == "" || id.Version <= known.Version {
		return known
	}
	if known.IsZero() && len(b.ids) >= b.limit {
		b.forgetLowest()
	}
	b.ids[instance] = id
	return id
}

func (b *floorBook) forgetLowest() {
	var lowest string
	for instance, id := range b.ids {
		if lowest == "" || id.Version < b.ids[lowest].Version ||
			id.Version == b.ids[lowest].Version && instance < lowest {
			lowest = instance
		}
	}
	delete(b.ids, lowest)
}

// learnFloor raises this instance's own floor.
func (c *Core) learnFloor(id manifest.ID, address string) {
	if id.Version <= c.floor.Version {
		return
	}
	c.floor = id
	c.ids.prefer(id)
	if id.Version > c.Applied().Version {
		c.emit(step.Log{Event: event.ConfigFloorLearnt, Fields: []step.Field{
			step.F("floor", id),
			step.F("applied", c.Applied()),
			step.F("from", address),
		}})
	}
}

func (c *Core) floorRequested(ev FloorRequested) {
	reply := &peerv1.RememberFloorResponse{}
	if ev.Request.GetMesh() == c.cfg.Mesh {
		applying := idFromProto(ev.Request.GetApplying())
		reply.Floor = idToProto(c.floors.raise(ev.Request.GetInstance(), applying))
		reply.Applied = idToProto(c.Applied())
	}
	c.emit(step.Reply{Call: ev.Call, Message: reply})
}
