package quota

import (
	"time"
)

// kill ends a process. The others notice when their connections are reset.
func (m *mesh) kill(n *node) {
	n.alive, n.suspended, n.stalled = false, false, nil
	for _, other := range m.nodes {
		if other != n && other.alive {
			m.after(m.between(ms, 5*ms), func() {
				if !n.alive {
					m.disconnect(other, n)
				}
			})
		}
	}
}

// leave begins a planned stop: the daemon tells the others.
func (m *mesh) leave(n *node) {
	n.leaving = true
	m.view(n)
	for _, other := range m.nodes {
		if other != n && other.alive && other.dc == n.dc {
			m.after(m.delay(n, other), func() { m.on(other, func() { m.view(other) }) })
		}
	}
}

// suspend stops a process for a time. The others find it silent.
func (m *mesh) suspend(n *node, pause time.Duration) {
	n.suspended = true
	for _, waiting := range n.waiting {
		for _, w := range waiting {
			w.stalled = true
		}
	}
	life := n.life
	for _, other := range m.nodes {
		if other == n || !other.alive {
			continue
		}
		noticed := m.between(400*ms, 1000*ms)
		if noticed < pause {
			m.after(noticed, func() {
				if n.life == life {
					m.disconnect(other, n)
				}
			})
		}
		m.after(pause+m.between(ms, 50*ms), func() {
			if n.life == life {
				m.connect(other, n)
			}
		})
	}
	m.after(pause, func() {
		if n.life != life {
			return
		}
		n.suspended = false
		stalled := n.stalled
		n.stalled = nil
		for _, f := range stalled {
			f()
		}
	})
}

// isolate cuts a data centre off from the others for a time.
func (m *mesh) isolate(dc int, duration time.Duration) {
	set := func(value bool) {
		for other := range m.dcs {
			if other != dc {
				m.cut[[2]int{dc, other}], m.cut[[2]int{other, dc}] = value, value
			}
		}
	}
	set(true)
	m.after(duration, func() { set(false) })
	for _, a := range m.nodes {
		for _, b := range m.nodes {
			if a.dc != b.dc && (a.dc == dc || b.dc == dc) {
				m.after(m.between(400*ms, 1000*ms), func() {
					if m.lost(a, b) {
						m.disconnect(a, b)
					}
				})
				m.after(duration+m.between(50*ms, 900*ms), func() { m.connect(a, b) })
			}
		}
	}
}

// silence makes a share of the connections to a daemon fall silent for a time; both
// its own and those that others have opened.
func (m *mesh) silence(n *node, share float64, duration time.Duration) {
	for _, other := range m.nodes {
		for _, pair := range [][2]*node{{other, n}, {n, other}} {
			a, b := pair[0], pair[1]
			if a == b || m.rng.Float64() >= share {
				continue
			}
			key := [2]int{a.index, b.index}
			m.silent[key] = true
			m.after(m.between(400*ms, 900*ms), func() {
				if m.silent[key] {
					m.disconnect(a, b)
				}
			})
			m.after(duration, func() { delete(m.silent, key) })
			m.after(duration+m.between(20*ms, 400*ms), func() { m.connect(a, b) })
		}
	}
}
