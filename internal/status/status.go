// Package status defines the status that a daemon reports to operators as JSON.
package status

// Path is the HTTP path of the status, on the metrics listener.
const Path = "/status"

// Daemon is the status of one daemon.
type Daemon struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Release    string `json:"release"`
	Stopping   bool   `json:"stopping"`
	// ConfigVersion is the configuration version in force; 0 for none.
	ConfigVersion uint64 `json:"config_version"`
	// StoreEra is the latest era that the daemon has seen in an answer of the
	// store: how often the store has come back from an older copy.
	StoreEra uint64   `json:"store_era"`
	Upstream Upstream `json:"upstream"`
	// Rollouts holds the rollouts that the daemon knows.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// Peers holds the daemons to which this one stays connected.
	Peers []Peer `json:"peers"`
	// MembersUnread is set until the daemon has read its own entry of the member table.
	// Until then it grants no tokens of customers' quotas.
	MembersUnread bool `json:"members_unread,omitempty"`
	// Quotas holds the customers with a limit that have sent requests lately.
	Quotas []Quota `json:"quotas,omitempty"`
}

// Quota is what the reporting daemon knows of the allowance of a customer.
type Quota struct {
	Customer string `json:"customer"`
	// RatePerSecond and Burst are the customer's limit over all daemons.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	// Owner is the instance that keeps the token bucket of the data centre, empty if none
	// is known, and Share
	// the data centre's part of the limit, 0 to 1.
	Owner string  `json:"owner"`
	Share float64 `json:"share"`
	// Held is set if the bucket is at the reporting daemon. Level and Depth are then
	// its tokens and the largest number of them, and Demand the recent requests per
	// second in the data centre.
	Held   bool    `json:"held"`
	Level  float64 `json:"level"`
	Depth  float64 `json:"depth"`
	Demand float64 `json:"demand"`
}

// Upstream is the status of the daemon's local upstream.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// State is the name of a control.UpstreamState.
	State string `json:"state"`
	// Running and Waiting count the requests that hold a slot and that wait for
	// one.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Rollout is the move of a service to another version of its upstreams.
type Rollout struct {
	Service string `json:"service"`
	To      string `json:"to"`
	// From holds the versions that are replaced.
	From []string `json:"from"`
	// Phase is the name of a rollout.Phase, and Reason why it was entered.
	Phase  string `json:"phase"`
	Reason string `json:"reason"`
	// Share is the share of the requests that goes to the new version.
	Share float64 `json:"share"`
	// ElapsedMS is the time since the request in milliseconds, PeriodMS its period.
	ElapsedMS int64 `json:"elapsed_ms"`
	PeriodMS  int64 `json:"period_ms"`
	// Coordinator is the daemon that decides. The fields after it are set only there.
	Coordinator string `json:"coordinator"`
	// Answers and Failures are those of the new version. Score is the result of the test
	// that speaks most against it, which Evidence names; from 10 on the version is bad.
	Answers  int     `json:"answers,omitempty"`
	Failures int     `json:"failures,omitempty"`
	Score    float64 `json:"score,omitempty"`
	Evidence string  `json:"evidence,omitempty"`
	// Waiting says what the next phase waits for.
	Waiting string `json:"waiting,omitempty"`
}

// Peer is another daemon as known to the reporting daemon.
type Peer struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Reachable  bool   `json:"reachable"`
	// TakesWork is whether the peer last reported that it accepts requests.
	TakesWork bool `json:"takes_work"`
	// Service is the service of the peer's upstream.
	Service string `json:"service"`
	// ConfigVersion is the version that the peer last reported; 0 for none.
	ConfigVersion uint64 `json:"config_version"`
	// StoreEra is the store's era that the peer last reported.
	StoreEra uint64 `json:"store_era"`
}
