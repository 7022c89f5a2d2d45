package control

import (
	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/membership"
	"godwitmount/internal/step"
)

// status answers the tool with what this daemon knows of the whole mesh.
func (c *Core) status(ev StatusRequested) {
	response := &peerv1.StatusResponse{
		Instance:          c.members.Self().Instance,
		Applied:           membership.ConfigIDOf(c.sync.Applied()),
		Reports:           c.members.Reports(),
		DaemonVersion:     c.cfg.Release,
		PlatformReachable: c.sync.PlatformReachable(),
	}
	for _, record := range c.members.Records() {
		response.Members = append(response.Members, membership.MemberOf(record))
	}
	if refusal, ok := c.sync.Refused(); ok {
		response.Refused = &peerv1.Refusal{
			Id:     membership.ConfigIDOf(refusal.ID),
			Code:   uint32(refusal.Code),
			Detail: refusal.Detail,
		}
	}
	c.emit(step.Reply{Call: ev.Call, Message: response})
	c.tell(membership.ReportsWanted{})
}

// Ready reports whether a configuration at or above this instance's floor is
// in force.
func (c *Core) Ready() bool { return c.sync.Ready() }
