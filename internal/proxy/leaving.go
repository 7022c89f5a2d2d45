package proxy

import "time"

const (
	// leaveGrace is how long the connection to a peer is kept at least that is no longer
	// wanted: a request may just be on its way there. maxLeaveTime bounds the wait for
	// its answers, and leavePollInterval is the time between two looks.
	leaveGrace        = time.Second
	maxLeaveTime      = time.Minute
	leavePollInterval = 100 * time.Millisecond
)

// closeWhenIdle disconnects from a peer once it has answered this daemon's requests.
func (ps *Peers) closeWhenIdle(p *peer) {
	time.Sleep(leaveGrace)
	for end := ps.now() + maxLeaveTime; p.outstanding.Load() > 0 && ps.now() < end; {
		time.Sleep(leavePollInterval)
	}
	p.client.Close()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	delete(ps.leaving, p)
}

// Close disconnects from all peers at once.
func (ps *Peers) Close() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.all {
		p.client.Close()
	}
	for p := range ps.leaving {
		p.client.Close()
	}
	ps.all, ps.total = map[string]*peer{}, 0
}
