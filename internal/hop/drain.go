package hop

import hopv1 "godwitmount/gen/godwitmount/hop/v1"

// confirmDrain ends the sending of requests on a connection whose peer says that it stops and
// takes none, and tells the peer so: all requests on the connection come before that.
func (c *Client) confirmDrain(conn *clientConn, state *hopv1.State) {
	if !state.GetStopping() || state.GetTakesWork() {
		return
	}
	c.mu.Lock()
	first := !conn.drained.Swap(true)
	c.mu.Unlock()
	if first {
		c.sendPing(conn)
	}
}
