package pipeline

// Write implements net.Conn. Its error says why the connection has ended.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		err = c.cause
	}
	return n, err
}

// begun is called when net/http has read the head of a request from the connection.
func (c *Conn) begun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	c.inHead = false
}

// answered is called when net/http has answered the request that it read from the
// connection.
func (c *Conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.alone = false
	c.flush()
}

// flush sends the answers of branches as far as they are there in the order of the
// requests. The caller holds mu, which is released meanwhile.
func (c *Conn) flush() {
	if c.flushing || c.serving {
		return
	}
	c.flushing = true
	for len(c.branches) > 0 && !c.ended && c.flushFirst() {
	}
	c.flushing = false
	if len(c.branches) == 0 && c.closing {
		c.endSoon()
	}
	c.wake()
}

// flushFirst sends what there is of the first branch's answer, or removes the branch. It
// returns false if there is nothing to do yet. The caller holds mu.
func (c *Conn) flushFirst() bool {
	first := c.branches[0]
	if len(first.unsent) > 0 {
		unsent := first.unsent
		first.unsent = nil
		c.mu.Unlock()
		_, err := c.Conn.Write(unsent)
		c.mu.Lock()
		if err != nil {
			_ = c.end(err)
		}
		c.changed.Broadcast()
		return true
	}
	if !first.done {
		return false
	}
	c.branches = c.branches[1:]
	if first.last {
		c.endSoon()
	}
	return true
}

// wake lets a Read that waits for data look at the state again. The caller holds mu.
func (c *Conn) wake() {
	c.changed.Broadcast()
	if c.isFree() && (len(c.ahead) > 0 || c.draining) && !c.ended {
		c.interrupt()
	}
}

// closeAfter is CloseAfter for the request of b, or with nil for that on the connection
// itself. It waits until the answer can be sent: until then, its caller does not know that it
// is the last one, and may send more.
func (c *Conn) closeAfter(b *branch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for b != nil && !c.ended && !c.isNext(b) {
		c.changed.Wait()
	}
	c.last = c.passThrough || c.nothingBehind(b)
	return c.last
}

// nothingBehind reports whether no request behind that of b, or with nil behind that on the
// connection itself, is served or was read. None is read while that is decided: one that was
// would get no answer if it were the wrong decision. The caller holds mu, which is released
// meanwhile.
func (c *Conn) nothingBehind(b *branch) bool {
	c.pauseReading()
	defer func() {
		c.paused = false
		c.changed.Broadcast()
	}()
	n := len(c.branches)
	isLast := n == 0 || c.branches[n-1] == b
	return isLast && len(c.unserved()) == 0
}

// isNext reports whether all answers before that of b were sent. The caller holds mu.
func (c *Conn) isNext(b *branch) bool {
	return !c.serving && len(c.branches) > 0 && c.branches[0] == b
}

// unserved returns the heads of the requests that were read and that nobody serves. The
// caller holds mu.
func (c *Conn) unserved() [][]byte {
	if c.passThrough {
		return nil
	}
	return heads(c.ahead[min(c.deliver, len(c.ahead)):])
}
