package claim

import (
	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/internal/code"
)

// grantFromMemory grants a claim without the table, if the rules allow: see
// tenure.go. The backup must know the claim first.
func (c *Core) grantFromMemory(e *entry) {
	holder, backup := c.views.current().ranks(e.key, c.cfg.DataCentre)
	allowed := !c.leaving && holder == c.views.self && backup != "" &&
		c.marker.present && !c.anySuspect() && c.informed(e.key) && c.tenured(e.key)
	if !allowed {
		c.abandon(e, code.ClaimHolderNoTenure)
		return
	}
	e.state = replicating
	c.replicas[backup] = append(c.replicas[backup], e)
}

// flushReplicas sends the claims that backups are to know.
func (c *Core) flushReplicas() {
	if len(c.replicas) == 0 {
		return
	}
	for _, instance := range c.views.current().instances {
		entries := c.replicas[instance]
		delete(c.replicas, instance)
		to, _ := c.views.current().member(instance)
		for len(entries) > 0 {
			n := c.part(entries)
			c.sendHandOver(&handOver{to: to, replica: true, entries: entries[:n]}, c.message(entries[:n], true))
			entries = entries[n:]
		}
	}
	clear(c.replicas)
}

// replicated grants the claims that the backup knows now.
func (c *Core) replicated(h *handOver) {
	for _, e := range h.entries {
		if c.entries[e.key] != e || e.state != replicating {
			continue
		}
		c.granted(e, true)
		c.listInsert(e)
	}
}

// replicateAgain tells backups of the claims that an earlier message did not
// bring them.
func (c *Core) replicateAgain() {
	again := c.unreplicated
	c.unreplicated = nil
	for _, e := range again {
		if c.entries[e.key] == e && e.unwritten() {
			c.replicate(e)
		}
	}
}

// replicate lists a claim to be sent to its backup at the end of the step.
func (c *Core) replicate(e *entry) {
	holder, backup := c.views.current().ranks(e.key, c.cfg.DataCentre)
	if holder == c.views.self && backup != "" {
		c.replicas[backup] = append(c.replicas[backup], e)
	}
}

// backs reports whether this daemon may be the sender's backup for a claim.
func (c *Core) backs(from string, held *peerv1.HeldClaim) bool {
	key, _ := HashFrom(held.GetKey())
	holder, backup := c.views.current().ranks(key, c.cfg.DataCentre)
	if holder != from || backup != c.views.self {
		return false
	}
	if _, released := c.released[held.GetAttempt()]; released {
		return false
	}
	e := c.entries[key]
	return e == nil || e.replica || e.attempt == held.GetAttempt()
}
