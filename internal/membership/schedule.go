package membership

import "slices"

func (c *Core) exchangeTick() {
	for address, p := range c.exchanges.pending {
		if c.now()-p.started > exchangeTimeout {
			delete(c.exchanges.pending, address)
		}
	}
	c.joinTick()
	c.localExchangeTick()
	c.remoteExchangeTick()
}

// joinTick seeks first contact, with full jitter and growing waits.
func (c *Core) joinTick() {
	x := &c.exchanges
	if x.contacted || c.now() < x.nextJoin {
		return
	}
	if x.nextJoin == 0 {
		x.nextJoin = c.now() + c.jitter(x.joinBound)
		return
	}
	x.nextJoin = c.now() + x.joinBound/2 + c.jitter(x.joinBound)
	x.joinBound = min(2*x.joinBound, c.cfg.JoinMaxInterval)
	x.joins++
	c.join(c.cfg.Peers)
	if len(c.cfg.Peers) == 0 || x.joins > 1 {
		c.readContacts()
	}
}

// joinAttempts is how many addresses are tried at a time.
const joinAttempts = 2

func (c *Core) join(addresses []string) {
	candidates := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool {
		return address == c.cfg.Address
	})
	c.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	for _, address := range candidates[:min(joinAttempts, len(candidates))] {
		c.startExchange(address, "", nil)
	}
}

// meet compares tables with a sender that is not in this daemon's.
func (c *Core) meet(address string) {
	if c.now() < c.exchanges.nextMeet {
		return
	}
	c.exchanges.nextMeet = c.now() + meetInterval
	c.startExchange(address, "", nil)
}

func (c *Core) localExchangeTick() {
	if c.now() < c.exchanges.nextLocal {
		return
	}
	x := &c.exchanges
	x.nextLocal = c.now() + c.around(x.localBound)
	x.localBound = min(2*x.localBound, c.cfg.LocalExchangeInterval)
	if peers := c.peers(); len(peers) > 0 {
		c.startExchange(c.addressOf(peers[0]), c.cfg.DataCentre, nil)
	}
}

// remoteExchangeTick lets a delegate take the other data centres in turn, and
// its own polling daemon for the newest report.
func (c *Core) remoteExchangeTick() {
	x := &c.exchanges
	if c.now() < x.nextRemote || !c.isDelegate() {
		return
	}
	x.nextRemote = c.now() + c.cfg.ExchangeInterval*3/4 + c.jitter(c.cfg.ExchangeInterval/2)
	if len(x.round) == 0 {
		x.round = c.nextRound()
	}
	if len(x.round) == 0 {
		return
	}
	target := x.round[0]
	x.round = x.round[1:]
	if target == c.cfg.DataCentre {
		c.exchangeWithPoller(target)
		return
	}
	c.exchangeWith(target)
}

func (c *Core) nextRound() []string {
	round := c.otherDataCentres()
	c.random.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
	if !c.isPoller() {
		round = append(round, c.cfg.DataCentre)
	}
	return round
}
