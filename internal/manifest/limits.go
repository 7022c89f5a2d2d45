package manifest

import "time"

// What a manifest gets for fields it leaves out.
const (
	// DefaultDeadline bounds a request that brings no deadline, on a route
	// that gives none.
	DefaultDeadline = 10 * time.Second
	// DefaultMaxBody is the largest request body in bytes.
	DefaultMaxBody int64 = 1 << 20
	// DefaultSlowStart is how long a newly ready upstream gets a growing share.
	DefaultSlowStart = 5 * time.Second
	// DefaultBudgetPercent is how many retries are allowed for each 100 first
	// sends.
	DefaultBudgetPercent = 20
)

// The bounds of a manifest.
const (
	// MaxSourceSize is the largest manifest file or canonical body in bytes.
	MaxSourceSize = 4 << 20
	// MaxNameLength is the largest length of a name in bytes.
	MaxNameLength = 63
	// MaxDataCentres is how many data centres a manifest may list.
	MaxDataCentres = 64
	// MaxServices is how many services a manifest may have.
	MaxServices = 1000
	// MaxRoutes is how many routes a manifest may have.
	MaxRoutes = 10_000
	// MaxRetryRules is how many retry rules a manifest may have.
	MaxRetryRules = 1000
	// MaxPathLength is the largest length of a path or prefix in bytes.
	MaxPathLength = 1024
	// MaxHostLength is the largest length of a host name in bytes.
	MaxHostLength = 253
	// MaxHeaders is how many headers one route may ask for.
	MaxHeaders = 16
	// MaxHeaderValue is the largest length of a header value in bytes.
	MaxHeaderValue = 1024
	// MaxQueueLimit is the largest queue of one instance, in requests.
	MaxQueueLimit = 10_000
	// MaxSlowStart is the longest slow start.
	MaxSlowStart = 10 * time.Minute
	// MaxBodyLimit is the largest MaxBody in bytes.
	MaxBodyLimit int64 = 64 << 20
	// MinDeadline is the shortest deadline and per-try timeout.
	MinDeadline = time.Millisecond
	// MaxDeadline is the longest deadline and per-try timeout.
	MaxDeadline = time.Hour
	// MaxAttempts is the largest number of sends of one request.
	MaxAttempts = 10
	// MaxPriority is the number of the least urgent priority.
	MaxPriority = 1000
	// MaxWeight is the largest weight of a share.
	MaxWeight = 1_000_000
	// MaxBudgetPercent is the largest retry budget.
	MaxBudgetPercent = 100
)

// SetDefaults implements strictjson.Defaulter.
func (s *Service) SetDefaults() {
	s.SlowStart = Duration(DefaultSlowStart)
	s.MaxBody = DefaultMaxBody
}

// SetDefaults implements strictjson.Defaulter.
func (r *Route) SetDefaults() {
	r.Deadline = Duration(DefaultDeadline)
}

// SetDefaults implements strictjson.Defaulter.
func (r *RetryRule) SetDefaults() {
	r.BudgetPercent = DefaultBudgetPercent
}
