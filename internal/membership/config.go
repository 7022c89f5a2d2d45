package membership

import "time"

// Config is what a Core needs to know from the start. Zero values of the
// tuning fields stand for the defaults named beside them.
type Config struct {
	// Mesh is the name of the mesh; packets of another mesh are dropped.
	Mesh string
	// Instance is this instance's id.
	Instance string
	// Incarnation is larger at each start of the process (Unix milliseconds).
	Incarnation uint64
	// DataCentre is where this instance runs.
	DataCentre string
	// Address is host:port of peer TCP and gossip UDP, an IP number.
	Address string
	// Peers are addresses to try for first contact; may be empty.
	Peers []string

	// ProbeInterval is the time between two probes. Default 1 s.
	ProbeInterval time.Duration
	// ProbeRepeat is after how long an unanswered ping is sent again.
	// Default 150 ms.
	ProbeRepeat time.Duration
	// ProbeTimeout is after how long others are asked to probe. Default 500 ms.
	ProbeTimeout time.Duration
	// IndirectProbes is how many others are asked. Default 3.
	IndirectProbes int
	// SuspicionFactor scales the time a suspect has to refute, in probe
	// intervals for each decade of the data centre's size. Default 3.
	SuspicionFactor int
	// RetransmitFactor scales how often an update is passed on, for each
	// decade of the data centre's size. Default 4.
	RetransmitFactor int
	// PiggybackBytes bounds the updates on one probe packet. Default 600.
	PiggybackBytes int
	// UrgentFanout is how many peers an urgent update is pushed to at once.
	// Default 3.
	UrgentFanout int
	// UrgentRate is how many urgent packets may be sent each second, with a
	// burst of ten times that. Default 4.
	UrgentRate float64

	// DelegateEpoch is how long a pair of delegates serves. Default 10 min.
	DelegateEpoch time.Duration
	// ExchangeInterval is the time between two exchanges that a delegate
	// starts. Default 2 s.
	ExchangeInterval time.Duration
	// LocalExchangeInterval is the mean time between two exchanges inside the
	// data centre. Default 20 s.
	LocalExchangeInterval time.Duration
	// JoinInterval bounds the first, and doubled the next, waits for first
	// contact; each wait is drawn between 0 and the bound. Default 1 s.
	JoinInterval time.Duration
	// JoinMaxInterval bounds the growth of JoinInterval. Default 30 s.
	JoinMaxInterval time.Duration
	// ServeRate is how many records a second exchanges may hand out, with a
	// burst of ten times that. Default 1,000.
	ServeRate float64

	// DeadRetry is the mean time between two pings to instances held for
	// dead. Default 20 s.
	DeadRetry time.Duration
	// Retention is how long dead and left instances are remembered, and the
	// records of a data centre that is never heard of. Default 24 h.
	Retention time.Duration

	// ContactSlots is how many contact rows a data centre has. Default 8.
	ContactSlots int
	// ContactRefresh is how often a contact row is written anew. Default
	// 10 min.
	ContactRefresh time.Duration
	// ReportRefresh is how often a daemon repeats its applied version to the
	// polling daemons. Default 2 min.
	ReportRefresh time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.ProbeInterval, time.Second)
	setDefault(&c.ProbeRepeat, 150*time.Millisecond)
	setDefault(&c.ProbeTimeout, 500*time.Millisecond)
	setDefault(&c.IndirectProbes, 3)
	setDefault(&c.SuspicionFactor, 3)
	setDefault(&c.RetransmitFactor, 4)
	setDefault(&c.PiggybackBytes, 600)
	setDefault(&c.UrgentFanout, 3)
	setDefault(&c.UrgentRate, 4)
	setDefault(&c.DelegateEpoch, 10*time.Minute)
	setDefault(&c.ExchangeInterval, 2*time.Second)
	setDefault(&c.LocalExchangeInterval, 20*time.Second)
	setDefault(&c.JoinInterval, time.Second)
	setDefault(&c.JoinMaxInterval, 30*time.Second)
	setDefault(&c.ServeRate, 1000)
	setDefault(&c.DeadRetry, 20*time.Second)
	setDefault(&c.Retention, 24*time.Hour)
	setDefault(&c.ContactSlots, 8)
	setDefault(&c.ContactRefresh, 10*time.Minute)
	setDefault(&c.ReportRefresh, 2*time.Minute)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
