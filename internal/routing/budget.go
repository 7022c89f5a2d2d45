package routing

import "time"

// RetryBudgetConfig bounds the retries for one service or retry rule by one
// daemon.
type RetryBudgetConfig struct {
	// Share is the number of retries allowed per request in Window.
	Share float64
	// Extra is the number of retries allowed in Window in addition to Share,
	// whatever the number of requests.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// windowBuckets is the number of buckets in which a window is counted.
const windowBuckets = 10

// RetryBudget bounds retries as a share of the requests in a sliding window. It
// is not safe for concurrent use. Times are on one monotonic clock.
type RetryBudget struct {
	cfg RetryBudgetConfig
	// buckets is a ring indexed by bucket number modulo windowBuckets.
	buckets [windowBuckets]budgetBucket
}

// budgetBucket counts the requests and retries of one part of a window.
type budgetBucket struct {
	// number is the start time of the part divided by its length.
	number   int64
	requests int
	retries  int
}

// NewRetryBudget returns a budget that has counted no requests.
func NewRetryBudget(cfg RetryBudgetConfig) *RetryBudget { return &RetryBudget{cfg: cfg} }

// SetExtra changes RetryBudgetConfig.Extra, for when the number of daemons that
// share it has changed.
func (b *RetryBudget) SetExtra(extra float64) { b.cfg.Extra = extra }

// RecordRequest counts a request.
func (b *RetryBudget) RecordRequest(now time.Duration) { b.bucket(now).requests++ }

// RecordRetry counts a retry, whether it is allowed or not.
func (b *RetryBudget) RecordRetry(now time.Duration) { b.bucket(now).retries++ }

// ReturnRetry takes back a retry that was counted at a time and not made.
func (b *RetryBudget) ReturnRetry(counted time.Duration) {
	number := b.number(counted)
	if bucket := &b.buckets[number%windowBuckets]; bucket.number == number && bucket.retries > 0 {
		bucket.retries--
	}
}

// AllowsRetry reports whether a retry may use a share, between 0 and 1, of the
// budget. It does not count the retry.
func (b *RetryBudget) AllowsRetry(now time.Duration, share float64) bool {
	current := b.bucket(now)
	requests, retries := 0, 0
	for _, bucket := range b.buckets {
		if bucket.number > current.number-windowBuckets {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	return float64(retries+1) <= share*(b.cfg.Share*float64(requests)+b.cfg.Extra)
}

// bucket returns the bucket for a time, and resets it if its counts are from an
// earlier window.
func (b *RetryBudget) bucket(now time.Duration) *budgetBucket {
	number := b.number(now)
	bucket := &b.buckets[number%windowBuckets]
	if bucket.number != number {
		*bucket = budgetBucket{number: number}
	}
	return bucket
}

// number returns the number of the bucket for a time.
func (b *RetryBudget) number(now time.Duration) int64 {
	return int64(now / (b.cfg.Window / windowBuckets))
}
