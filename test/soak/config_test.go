package soak

import (
	"fmt"
	"sync"
	"time"

	"godwitmount/platform/platformtest"
)

// configLimit is the time after its acceptance within which a version must be in force.
const configLimit = 2500 * time.Millisecond

// configs publishes configurations and knows which version each daemon must have.
type configs struct {
	store        *platformtest.Store
	disturbances *disturbances

	mu sync.Mutex
	// accepted holds when the store has accepted each version: that of version v is at
	// v-1.
	accepted []time.Time
	// copied and restored are when the copy was taken from which the store came back, and
	// when it did so, and rewritten when the latest version was written again.
	copied, restored, rewritten time.Time
}

// publish writes the next version of the configuration to the store.
func (c *configs) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Publish(c.text(uint64(len(c.accepted) + 1)))
	c.accepted = append(c.accepted, time.Now())
}

// restore makes the store come back from a copy of some time before, and writes the latest
// version of the configuration again, as operators do then.
func (c *configs) restore(age time.Duration) {
	c.mu.Lock()
	older := c.store.Copy()
	c.copied = time.Now()
	c.mu.Unlock()
	time.Sleep(age)
	c.mu.Lock()
	c.restored = time.Now()
	c.store.Restore(older)
	c.mu.Unlock()
	time.Sleep(rewriteDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Publish(c.text(uint64(len(c.accepted))))
	c.rewritten = time.Now()
}

// newest returns the last published version and when it was accepted.
func (c *configs) newest() (uint64, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint64(len(c.accepted)), c.accepted[len(c.accepted)-1]
}

// due returns the newest version that a node's daemon must have in force at a time, and
// when it was accepted. A version is due configLimit after its acceptance, not counting
// the time until the store and the daemon were last disturbed. That the daemon is
// restarted does not excuse it: it must begin with that version or refuse requests. Version 1
// is in force before the plan begins.
func (c *configs) due(node int, at time.Time) (uint64, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.accepted) - 1; i > 0; i-- {
		if c.isDue(c.accepted[i], node, at) {
			return uint64(i + 1), c.accepted[i]
		}
	}
	return 1, c.accepted[0]
}

// isDue reports whether a version that was accepted at some time is due at another. One
// that the store has lost before it was due counts as accepted when it was written again.
func (c *configs) isDue(accepted time.Time, node int, at time.Time) bool {
	settled, ok := c.disturbances.settled(accepted, configLimit, theStore, reach(node))
	if c.lost(accepted) && (!ok || settled.After(c.restored)) {
		if c.rewritten.IsZero() {
			return false
		}
		settled, ok = c.disturbances.settled(c.rewritten, configLimit, theStore, reach(node))
	}
	return ok && !settled.After(at)
}

// restoredSince reports whether the store has come back from an older copy after a time.
func (c *configs) restoredSince(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restored.After(at)
}

// lost reports whether the store has lost what it accepted at a time. The caller holds mu.
func (c *configs) lost(accepted time.Time) bool {
	return accepted.After(c.copied) && accepted.Before(c.restored)
}

// removed returns when the store has accepted that the keys of a version are removed, and
// from when on that counts: if the store has lost it, from when it was written again.
func (c *configs) removed(version uint64) (accepted, counts time.Time, removed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version == 0 || version >= uint64(len(c.accepted)) {
		return time.Time{}, time.Time{}, false
	}
	accepted, counts = c.accepted[version], c.accepted[version]
	if c.lost(accepted) {
		counts = c.rewritten
	}
	return accepted, counts, true
}

// sinceRoute is the prefix of a route that configurations have from a version on.
func sinceRoute(version uint64) string { return fmt.Sprintf("/since/%d/", version) }

// text returns a version of the configuration. It has a route for each version up to
// its own, so that a request for the route of a version is answered 404 by a daemon on
// an older one.
func (c *configs) text(version uint64) []byte {
	movedTo := []string{"desk", "back"}[version%2]
	route := func(prefix, service string) platformtest.Route {
		return platformtest.Route{Prefix: prefix, Kind: platformtest.Idempotent, Service: service, TimeoutMS: 2000, GoalMS: 1000, MaxAttempts: maxAttempts}
	}
	routes := append(heldRoutes(), route(longRoute, "back"))
	for v := uint64(1); v <= version; v++ {
		routes = append(routes, route(sinceRoute(v), "desk"))
	}
	return platformtest.WithTenants(platformtest.ShopConfig(version, movedTo, routes...), tenants(version)...)
}
