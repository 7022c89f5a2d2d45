// Package status is what a daemon tells operators of itself, as JSON.
package status

// Path is where a daemon serves its status, beside its metrics.
const Path = "/status"

// Daemon is the status of one daemon.
type Daemon struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Release    string `json:"release"`
	Stopping   bool   `json:"stopping"`
	// ConfigVersion is the version in force; 0 for none.
	ConfigVersion uint64   `json:"config_version"`
	Upstream      Upstream `json:"upstream"`
	Peers         []Peer   `json:"peers"`
}

// Upstream is the upstream beside the daemon.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	State   string `json:"state"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
}

// Peer is another daemon as the asked one knows it.
type Peer struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Reachable  bool   `json:"reachable"`
	TakesWork  bool   `json:"takes_work"`
	Service    string `json:"service"`
	// ConfigVersion is the version that it last told.
	ConfigVersion uint64 `json:"config_version"`
}
