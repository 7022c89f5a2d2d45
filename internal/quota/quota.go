// Package quota decides which requests of a customer are within its allowance: a
// rate and a burst over all daemons together.
//
// Each data centre has a share of the allowance, kept as a token bucket by one of its
// daemons, the owner. The other daemons of the data centre ask the owner for tokens.
// Shares move between data centres by demand: one gives away a part of its share and
// the other adds what it was given, so that the sum never grows. A daemon whose owner
// does not answer uses a small share of its own. docs/design/quotas.md describes what
// happens when daemons, links and data centres fail.
//
// The package does no I/O, reads no clock and draws no random numbers. Times are
// arguments: durations since one arbitrary instant of the process.
package quota

import "time"

// Limit is the allowance of one customer over all daemons.
type Limit struct {
	// Rate is in requests per second. A customer with rate 0 has no limit.
	Rate float64
	// Burst is the number of requests allowed in addition to Rate.
	Burst float64
}

// Params are the bounds of the deployment: in no window of length Window may more
// requests of a customer run than (Rate x Window + Burst) x (1 + Excess) + Slack.
type Params struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Config is the static configuration of a Limiter.
type Config struct {
	// Instance is this daemon, DataCentre its data centre.
	Instance   string
	DataCentre string
	Params     Params
}

const (
	// holdTime is how long a daemon may use the tokens that it was granted. What it
	// holds is outside the bucket and adds to the excess.
	holdTime = 100 * time.Millisecond
	// returnTime is the age up to which an unused token is returned. Older ones are
	// lost: tokens that are granted again count twice in a window.
	returnTime = 200 * time.Millisecond
	// prefetchShare is the share of the requests expected in holdTime for which a
	// daemon asks in advance. Below 1, few of these tokens expire unused.
	prefetchShare = 0.8
	// minRefusal is the mean time for which a refusal holds at least. It bounds the
	// messages of a daemon while a customer sends too much.
	minRefusal = 100 * time.Millisecond
	// maxRefusal bounds the time for which a refusal holds, since tokens may be
	// returned and shares may grow.
	maxRefusal = time.Second
	// retryOwner is how long an owner that did not answer is not asked again. Another
	// daemon, which may reach it, passes messages on meanwhile.
	retryOwner = 300 * time.Millisecond
	// retryRelay is how long no other daemon is asked either once that one has not
	// helped.
	retryRelay = 100 * time.Millisecond
	// maxPause is the longest time between two calls of Tick in a process that runs.
	// After a longer one, others may own its buckets. It is shorter than the 0.4 s
	// after which a peer counts as silent at the earliest.
	maxPause = 350 * time.Millisecond
	// settleTime is how long after a change of owner another daemon may still hold
	// the bucket.
	settleTime = 10 * time.Second
	// keptTime is for how long a new owner passes requests on to a daemon that could
	// not hand over the bucket, before it tries again, and for how long a daemon that
	// is no longer the owner keeps a bucket that nobody takes over.
	keptTime = 300 * time.Millisecond
	// doubtTime is for how long an owner grants at doubtShare of its rate because the
	// owner before it has fallen silent. That one learns from its own silent
	// connections that others cannot reach it.
	doubtTime = time.Second
	// idleTime is how long the state of a customer without traffic is kept.
	idleTime = 30 * time.Second
	// demandTime and arrivalTime are the time constants of the estimated rates of
	// requests in the data centre and at this daemon.
	demandTime  = 3 * time.Second
	arrivalTime = time.Second
)

const (
	// fixedShare is the part of the allowance that is divided equally among the data
	// centres and never moves. The rest is movable.
	fixedShare   = 0.2
	movableShare = 1 - fixedShare
	// bonusSlack is the part of Params.Slack by which the buckets of all data centres
	// are deeper than the burst. Small customers need it: a few requests a second in
	// a data centre come unevenly.
	bonusSlack = 0.75
	// doubtShare is the part of its rate that an owner grants at during doubtTime.
	doubtShare = 0.5
	// startSlack is the part of Params.Slack with which new buckets start over all
	// data centres. The rest of it and Params.Excess cover what two owners grant while
	// one replaces the other, and tokens held and returned.
	startSlack = 0.2
)
