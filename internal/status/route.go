package status

// RoutePath is the HTTP path, on the metrics listener, of queries where a request would go
// now. The query string is that of RouteQuery.
const RoutePath = "/status/route"

// Route says where a request would go now, and why, as the reporting daemon sees it.
// Nothing is sent and no state changes.
type Route struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Stopping is set once the daemon has begun a planned stop.
	Stopping bool `json:"stopping"`
	// ConfigVersion is the configuration version in force; 0 for none.
	ConfigVersion uint64 `json:"config_version"`
	// Refusal is the answer that the caller would get from the daemon itself, or nil. The
	// other fields then say what would follow without it. Quarantined requests are not
	// recognised.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Taken is the route of the request; nil if none matches.
	Taken *TakenRoute `json:"taken"`
	// Routes says why the routes up to Taken match or not; all, if none is taken.
	Routes []RouteMatch `json:"routes"`
	// Customer is the name of the customer that the request is for, or empty.
	Customer string `json:"customer"`
	// Quota is nil unless the customer has a limit.
	Quota *RouteQuota `json:"quota,omitempty"`
	// Targets holds the service of the route, or those of its split.
	Targets []Target `json:"targets"`
}

// Refusal is an answer of the mesh instead of an upstream.
type Refusal struct {
	// Code and Name are those of a code.Code, Status the HTTP status.
	Code   uint32 `json:"code"`
	Name   string `json:"name"`
	Text   string `json:"text"`
	Status int    `json:"status"`
	// RetryAfter is whether the answer has a Retry-After header.
	RetryAfter bool `json:"retry_after"`
}

// RouteMatch says why one route matches a request or not.
type RouteMatch struct {
	Route  string `json:"route"`
	Taken  bool   `json:"taken"`
	Reason string `json:"reason"`
}

// TakenRoute is the route that a request takes.
type TakenRoute struct {
	Route string `json:"route"`
	// Public is whether its requests need no key, and NeedsKey whether they need one: not
	// in a configuration without customers.
	Public     bool  `json:"public"`
	NeedsKey   bool  `json:"needs_key"`
	Priority   int   `json:"priority"`
	DeadlineMS int64 `json:"deadline_ms"`
	// GoalMS is the time left to the goal that the placement counts with.
	GoalMS int64 `json:"goal_ms"`
	// Bytes is the mean size of the route's requests and their answers together, and
	// Work their mean service time as a share of that of all requests at the same
	// upstream. The placement counts with them; they are 0 before the first answer.
	Bytes int     `json:"bytes"`
	Work  float64 `json:"work"`
}

// Decisions in RouteQuota.
const (
	// QuotaAdmit: the request would be admitted.
	QuotaAdmit = "admit"
	// QuotaRefuse: it would be refused.
	QuotaRefuse = "refuse"
	// QuotaAsk: the owner of the bucket would be asked, which decides.
	QuotaAsk = "ask"
)

// RouteQuota says whether a request would be admitted by the customer's quota.
type RouteQuota struct {
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	Decision      string  `json:"decision"`
	// OwnShare is set if the owner does not answer, so that this daemon decides by its own
	// small share.
	OwnShare bool `json:"own_share"`
	// Ask is the instance that would be asked.
	Ask string `json:"ask,omitempty"`
	// NoOwner is set if requests are refused because the daemon has not read its own entry
	// of the member table and knows no other one that grants tokens.
	NoOwner bool `json:"no_owner,omitempty"`
	// WaitMS is the time until the next token in milliseconds, 0 if there is one or it is
	// not known here.
	WaitMS float64 `json:"wait_ms"`
	// Held is set if the bucket is at the reporting daemon; Level is then its tokens.
	Held  bool    `json:"held"`
	Level float64 `json:"level"`
}

// Target is a service that requests of the route go to.
type Target struct {
	Service string `json:"service"`
	// Share is the share of the route's requests by the weights of a split.
	Share float64 `json:"share"`
	// Rollout is nil unless the service has one.
	Rollout *TargetRollout `json:"rollout,omitempty"`
	// Choices holds the sets of upstreams among which a request may be placed. Without a
	// rollout there is one.
	Choices []Choice `json:"choices"`
	// Excluded holds the upstreams to which the rollout gives no requests.
	Excluded []Candidate `json:"excluded,omitempty"`
}

// TargetRollout is the rollout of a service as far as it concerns the placement.
type TargetRollout struct {
	To string `json:"to"`
	// Phase is the name of a rollout.Phase, and Share the share of the requests that goes
	// to the new version.
	Phase string  `json:"phase"`
	Share float64 `json:"share"`
	// NeedsExposure is whether requests to the new version need exposure, and
	// ExposureChance the probability with which the request would get it now.
	NeedsExposure  bool    `json:"needs_exposure"`
	ExposureChance float64 `json:"exposure_chance"`
}

// Choice is the placement among one set of upstreams.
type Choice struct {
	// Side is which versions the set holds: "any", "old" or "new".
	Side string `json:"side"`
	// Chance is the probability with which a request is placed among this set.
	Chance float64 `json:"chance"`
	// Sampled is set if a request is placed among a few random upstreams of the set. The
	// ranks are those among all of them.
	Sampled bool `json:"sampled"`
	// Chosen is the instance that costs least, without the random part; empty if the
	// request would be refused with Refusal. Why says what decided between the data
	// centre and others.
	Chosen  string   `json:"chosen"`
	Why     string   `json:"why"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// ExploredShare is the share of the requests that go to a random upstream of the data
	// centre with a free slot instead.
	ExploredShare float64     `json:"explored_share"`
	Candidates    []Candidate `json:"candidates"`
}

// Candidate is an upstream that a request may be placed at. Loads and times are what the
// reporting daemon knows or estimates.
type Candidate struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Version is that of the upstream's program, known only during a rollout.
	Version string `json:"version"`
	// Self marks the upstream beside the reporting daemon, and Local those of its data
	// centre.
	Self  bool `json:"self"`
	Local bool `json:"local"`
	// Rank is the place in the order in which the upstreams would be chosen if all before
	// had refused the request, from 1 on; 0 if it never would be. Reason says why, or
	// what adds to the cost.
	Rank      int     `json:"rank"`
	Available bool    `json:"available"`
	Reason    string  `json:"reason"`
	Load      float64 `json:"load"`
	Slots     int     `json:"slots"`
	// ReportAgeMS is the age of the last report; 0 for Self.
	ReportAgeMS   float64 `json:"report_age_ms"`
	ServiceTimeMS float64 `json:"service_time_ms"`
	RTTMS         float64 `json:"rtt_ms"`
	FailureShare  float64 `json:"failure_share"`
	// Cost is by what candidates are compared, and RandomMS the largest random addition.
	Cost     Cost    `json:"cost"`
	RandomMS float64 `json:"random_ms"`
}

// Cost is the cost of a request at a candidate in milliseconds, as a sum and by component.
// Between candidates of the data centre and others, LoadMS and LateMS do not count.
type Cost struct {
	TotalMS    float64 `json:"total_ms"`
	WaitMS     float64 `json:"wait_ms"`
	ServiceMS  float64 `json:"service_ms"`
	NetworkMS  float64 `json:"network_ms"`
	TransferMS float64 `json:"transfer_ms"`
	PingMS     float64 `json:"ping_ms"`
	FailuresMS float64 `json:"failures_ms"`
	DistanceMS float64 `json:"distance_ms"`
	LoadMS     float64 `json:"load_ms"`
	LateMS     float64 `json:"late_ms"`
}
