package manifest

import "time"

// The defaults of absent manifest fields.
const (
	// DefaultDeadline is the longest time that a request may take on a route
	// without a deadline.
	DefaultDeadline = 10 * time.Second
	// DefaultMaxRequestBodyBytes is the largest request body in bytes.
	DefaultMaxRequestBodyBytes int64 = 1 << 20
	// DefaultSlowStart is the duration of the slow start of a newly ready
	// upstream.
	DefaultSlowStart = 5 * time.Second
	// DefaultBudgetPercent is the number of retries allowed per 100 requests.
	DefaultBudgetPercent = 20
)

// The limits of a manifest's size and values. The tool checks them in manifest files; a
// daemon applies what the platform has accepted whatever its size is.
const (
	// MaxSourceSize is the largest manifest file or canonical form in bytes.
	MaxSourceSize = 4 << 20
	// MaxNameLength is the maximum length of a name in bytes.
	MaxNameLength = 63
	// MaxDataCentres is the maximum number of data centres.
	MaxDataCentres = 64
	// MaxServices is the maximum number of services.
	MaxServices = 1000
	// MaxRoutes is the maximum number of routes.
	MaxRoutes = 10_000
	// MaxRetryRules is the maximum number of retry rules.
	MaxRetryRules = 1000
	// MaxPathLength is the maximum length of a path or prefix in bytes.
	MaxPathLength = 1024
	// MaxHostLength is the maximum length of a host name in bytes.
	MaxHostLength = 253
	// MaxHeaders is the maximum number of header conditions of one route.
	MaxHeaders = 16
	// MaxHeaderValue is the maximum length of a header value in bytes.
	MaxHeaderValue = 1024
	// MaxQueueLimit is the largest QueueLimit, in requests.
	MaxQueueLimit = 10_000
	// MaxServiceConnections is the largest MaxConnections.
	MaxServiceConnections = 100_000
	// MaxHeaderLimit is the largest MaxHeaderBytes.
	MaxHeaderLimit = 1 << 20
	// MaxSlowStart is the longest slow start.
	MaxSlowStart = 10 * time.Minute
	// MaxServiceBodyBytes is the largest MaxRequestBodyBytes in bytes.
	MaxServiceBodyBytes int64 = 64 << 20
	// MinDeadline is the shortest deadline and per-try timeout.
	MinDeadline = time.Millisecond
	// MaxDeadline is the longest deadline, goal and per-try timeout.
	MaxDeadline = time.Hour
	// MaxAttempts is the largest Attempts of a retry rule.
	MaxAttempts = 10
	// MaxCustomers is the maximum number of customers.
	MaxCustomers = 10_000
	// MaxKeys is the maximum number of keys of one customer.
	MaxKeys = 100
	// MaxKeyLength is the maximum length of a key in bytes.
	MaxKeyLength = 256
	// MaxRate is the largest RatePerSecond and the largest Burst.
	MaxRate = 1e9
	// MaxPriority is the largest Priority, which is served last.
	MaxPriority = 1000
	// MaxWeight is the largest weight of a share.
	MaxWeight = 1_000_000
	// MaxBudgetPercent is the largest BudgetPercent.
	MaxBudgetPercent = 100
)

// SetDefaults implements strictjson.Defaulter.
func (s *Service) SetDefaults() {
	s.SlowStart = Duration(DefaultSlowStart)
	s.MaxRequestBodyBytes = DefaultMaxRequestBodyBytes
}

// SetDefaults implements strictjson.Defaulter.
func (r *Route) SetDefaults() {
	r.Deadline = Duration(DefaultDeadline)
}

// SetDefaults implements strictjson.Defaulter.
func (r *RetryRule) SetDefaults() {
	r.BudgetPercent = DefaultBudgetPercent
}
