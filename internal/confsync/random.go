package confsync

import "time"

// draw derives the next random number of this step (SplitMix64).
func (c *Core) draw() uint64 {
	c.random += 0x9e3779b97f4a7c15
	z := c.random
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// jitter returns a random duration from 0 up to but not including limit.
func (c *Core) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(c.draw() % uint64(limit))
}

// around returns a random duration from half of mean up to one and a half.
func (c *Core) around(mean time.Duration) time.Duration {
	return mean/2 + c.jitter(mean)
}

// pick returns up to n of the peers in random order; it changes peers' order.
func (c *Core) pick(peers []peer, n int) []peer {
	for i := len(peers) - 1; i > 0; i-- {
		j := int(c.draw() % uint64(i+1))
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:min(n, len(peers))]
}
