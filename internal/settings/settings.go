// Package settings reads the daemon's settings file: JSON with comments, decoded
// strictly, so that a daemon with an unknown or invalid setting exits before it
// does anything.
package settings

import (
	"os"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// Problems lists all errors in a settings file, in the order of the file.
type Problems = strictjson.Problems

// Duration is a time.Duration written as a Go duration string ("30s").
type Duration = strictjson.Duration

// LogFormat is the output format of log lines.
type LogFormat string

// The log formats.
const (
	// LogJSON writes one JSON object per line.
	LogJSON LogFormat = "json"
	// LogConsole writes human-readable lines.
	LogConsole LogFormat = "console"
)

// The defaults of absent settings; see the fields of Daemon for their units.
const (
	DefaultAnnounceListen    = "127.0.0.1:7483"
	DefaultReadyListen       = "127.0.0.1:7484"
	DefaultLogLevel          = "info"
	DefaultLogFormat         = LogJSON
	DefaultLogLinesPerSecond = 200
	DefaultShutdownGrace     = 6 * time.Second
	DefaultHeartbeatInterval = 1500 * time.Millisecond
	DefaultRetryPercent      = 20
	DefaultRetryWindow       = 10 * time.Second
	DefaultRetryExtra        = 50
	DefaultMemoryLimitBytes  = 64 << 20
	DefaultExposeSlack       = 50
	DefaultRollback          = 5 * time.Second
	DefaultRevokeLimit       = 5 * time.Second
	DefaultQuotaWindow       = 5 * time.Second
	// DefaultQuotaExcessPercent and DefaultQuotaSlack are those of the platform.
	DefaultQuotaExcessPercent = 10
	DefaultQuotaSlack         = 20
)

// The limits of a settings file's size and values.
const (
	// MaxSourceSize is the largest settings file in bytes.
	MaxSourceSize = 1 << 20
	// MaxNameLength is the maximum length in bytes of the names of the mesh, the
	// data centre, the service and the instance.
	MaxNameLength = 63
	// MinShutdownGrace is the shortest shutdown grace.
	MinShutdownGrace = 100 * time.Millisecond
	// MaxShutdownGrace is the longest shutdown grace.
	MaxShutdownGrace = time.Hour
	// MinHeartbeatInterval and MaxHeartbeatInterval bound the heartbeat interval.
	// MaxHeartbeatInterval also bounds the retry window.
	MinHeartbeatInterval = 10 * time.Millisecond
	MaxHeartbeatInterval = time.Hour
	// MaxRetryPercent is the largest RetryPercent.
	MaxRetryPercent = 100
	// MaxRetryWindow is the longest RetryWindow.
	MaxRetryWindow = 10 * time.Minute
	// MaxRetryExtra is the largest RetryExtra.
	MaxRetryExtra = 100_000
	// MaxExposePerMille is the largest ExposePerMille.
	MaxExposePerMille = 1000
	// MaxExposeSlack is the largest ExposeSlack.
	MaxExposeSlack = 100_000
	// MinRollback and MaxRollback bound Rollback.
	MinRollback = 100 * time.Millisecond
	MaxRollback = 10 * time.Minute
	// MaxLogLinesPerSecond is the largest LogLinesPerSecond.
	MaxLogLinesPerSecond = 100_000
	// MinMemoryLimitBytes is the smallest memory limit in bytes.
	MinMemoryLimitBytes int64 = 16 << 20
	// MaxMemoryLimitBytes is the largest memory limit in bytes.
	MaxMemoryLimitBytes int64 = 64 << 30
	// MinRevokeLimit is the shortest RevokeLimit: the store watchers of a data centre
	// prove the configuration every fifth of it.
	MinRevokeLimit = time.Second
	// MaxRevokeLimit is the longest RevokeLimit.
	MaxRevokeLimit = time.Hour
	// MinQuotaWindow is the shortest QuotaWindow: owners of buckets may change in half
	// a second.
	MinQuotaWindow = time.Second
	MaxQuotaWindow = 10 * time.Minute
	// MaxQuotaExcessPercent is the largest QuotaExcessPercent, MaxQuotaSlack the largest
	// QuotaSlack.
	MaxQuotaExcessPercent = 100
	MaxQuotaSlack         = 1_000_000
	// MaxLinkKbps is the largest LinkKbps.
	MaxLinkKbps int64 = 1_000_000_000
)

// Daemon holds the settings of one daemon.
type Daemon struct {
	// Mesh is the name of the mesh.
	Mesh string `json:"mesh" strict:"required"`
	// DataCentre is the name of the data centre in which the daemon runs.
	DataCentre string `json:"data_centre" strict:"required"`
	// Instance is the id of the daemon's instance, unique in the mesh.
	Instance string `json:"instance" strict:"required"`
	// Service is the service of the daemon's local upstream, until the upstream
	// reports its own. Upstreams receive it as the calling service of requests
	// that enter the mesh at this daemon.
	Service string `json:"service"`
	// CallerListen is the IP:port on which callers' requests are accepted.
	CallerListen string `json:"caller_listen" strict:"required"`
	// PeerListen is the IP:port on which connections of other daemons are
	// accepted. It must not be a wildcard address, because it is advertised to
	// them.
	PeerListen string `json:"peer_listen" strict:"required"`
	// PeerAdvertise is the IP:port at which other daemons reach this one if it
	// differs from PeerListen, for example behind a port forwarder. Empty means
	// PeerListen.
	PeerAdvertise string `json:"peer_advertise"`
	// AnnounceListen is the IP:port on which the upstream's heartbeats are
	// accepted.
	AnnounceListen string `json:"announce_listen"`
	// ReadyListen is the IP:port of the readiness check, which reports whether
	// the daemon accepts requests.
	ReadyListen string `json:"ready_listen"`
	// MetricsListen is the IP:port on which metrics and status are served; empty
	// disables them.
	MetricsListen string `json:"metrics_listen"`
	// UpstreamAddress is the IP:port of the local upstream. Heartbeats that name
	// another address are ignored; empty accepts every address.
	UpstreamAddress string `json:"upstream_address"`
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string `json:"store_address" strict:"required"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// LogFormat is json or console. The daemon ignores it and always writes JSON.
	LogFormat LogFormat `json:"log_format"`
	// LogLinesPerSecond is the maximum number of log lines per second that are
	// about single requests. Other lines are not limited.
	LogLinesPerSecond int `json:"log_lines_per_second"`
	// ShutdownGrace is the maximum duration of a planned stop, in which the
	// daemon lets running requests finish.
	ShutdownGrace Duration `json:"shutdown_grace"`
	// HeartbeatInterval is the interval at which the upstream sends heartbeats.
	HeartbeatInterval Duration `json:"heartbeat"`
	// RetryPercent is the number of retries allowed per 100 requests to a service
	// in RetryWindow, over all daemons. Daemons use only a part of RetryPercent
	// and RetryExtra, because a retry also repeats nested requests; see
	// usedShareOfPercent in package proxy.
	RetryPercent int `json:"retry_percent"`
	// RetryWindow is the length of the sliding window in which requests and
	// retries are counted.
	RetryWindow Duration `json:"retry_window"`
	// RetryExtra is the number of retries allowed per service in RetryWindow in
	// addition to RetryPercent. It is divided among all daemons, but each may use
	// at least one.
	RetryExtra int `json:"retry_extra"`
	// ExposePerMille is the share of a service's requests, in thousandths, that may go
	// to a new version of its upstreams on trial. 0 disables rollouts.
	ExposePerMille int `json:"expose_per_mille"`
	// ExposeSlack is the number of requests by which that share may be exceeded. The
	// daemons do not use it: it covers requests that are sent before they know of the
	// rollout request.
	ExposeSlack int `json:"expose_slack"`
	// Rollback is the time after the 50th bad answer of a new version from which it must
	// not get any more requests.
	Rollback Duration `json:"rollback"`
	// MemoryLimitBytes is the Go runtime's soft memory limit in bytes. Half of it is for the
	// upstream's answers that are being read.
	MemoryLimitBytes int64 `json:"memory_limit_bytes"`
	// LinkKbps is the rate of the machine's network link in kilobits per second, by
	// which large messages to other daemons are paced, and below 100,000 also those from
	// other daemons; 0 for no limit.
	LinkKbps int64 `json:"link_kbps"`
	// StrictRevoke makes the daemon refuse requests with customers' keys unless it
	// knows that its configuration was the newest less than RevokeLimit ago.
	StrictRevoke bool `json:"strict_revoke"`
	// RevokeLimit is the time after the acceptance of a configuration from which no
	// request may run with a key that the configuration removed.
	RevokeLimit Duration `json:"revoke_limit"`
	// QuotaWindow, QuotaExcessPercent and QuotaSlack bound the requests of a customer
	// that has a limit: in no window of length QuotaWindow may more run, over all
	// daemons, than its rate and burst allow, plus QuotaExcessPercent of that, plus
	// QuotaSlack.
	QuotaWindow        Duration `json:"quota_window"`
	QuotaExcessPercent int      `json:"quota_excess_percent"`
	QuotaSlack         int      `json:"quota_slack"`
}

// PeerAddress returns the IP:port that is advertised to other daemons.
func (d *Daemon) PeerAddress() string {
	if d.PeerAdvertise != "" {
		return d.PeerAdvertise
	}
	return d.PeerListen
}

// SetDefaults implements strictjson.Defaulter.
func (d *Daemon) SetDefaults() {
	d.AnnounceListen = DefaultAnnounceListen
	d.ReadyListen = DefaultReadyListen
	d.LogLevel = DefaultLogLevel
	d.LogFormat = DefaultLogFormat
	d.LogLinesPerSecond = DefaultLogLinesPerSecond
	d.ShutdownGrace = Duration(DefaultShutdownGrace)
	d.HeartbeatInterval = Duration(DefaultHeartbeatInterval)
	d.RetryPercent = DefaultRetryPercent
	d.RetryWindow = Duration(DefaultRetryWindow)
	d.RetryExtra = DefaultRetryExtra
	d.MemoryLimitBytes = DefaultMemoryLimitBytes
	d.ExposeSlack = DefaultExposeSlack
	d.Rollback = Duration(DefaultRollback)
	d.RevokeLimit = Duration(DefaultRevokeLimit)
	d.QuotaWindow = Duration(DefaultQuotaWindow)
	d.QuotaExcessPercent = DefaultQuotaExcessPercent
	d.QuotaSlack = DefaultQuotaSlack
}

// codes are the result codes of settings files.
var codes = strictjson.Codes{
	Syntax:       code.SettingsSyntax,
	UnknownField: code.SettingsUnknownField,
	WrongType:    code.SettingsWrongType,
	MissingField: code.SettingsMissingField,
	Duplicate:    code.SettingsDuplicate,
	OutOfRange:   code.SettingsOutOfRange,
}

// Load reads, parses and validates a settings file. It returns either valid
// settings with all defaults filled in, or every problem found.
func Load(file string) (*Daemon, Problems) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, Problems{strictjson.FileProblem(file, code.SettingsUnreadable, "%v", err)}
	}
	return Parse(file, source)
}

// Parse parses and validates the source of a settings file; file is its name in
// problems. It returns the same as Load.
func Parse(file string, source []byte) (*Daemon, Problems) {
	if len(source) > MaxSourceSize {
		return nil, Problems{strictjson.FileProblem(file, code.SettingsOutOfRange, "%d bytes exceed the limit of %d", len(source), MaxSourceSize)}
	}
	daemon := &Daemon{}
	doc := strictjson.Decode(file, source, codes, daemon)
	checkValues(daemon, doc)
	if problems := doc.Problems(); problems != nil {
		return nil, problems
	}
	return daemon, nil
}

// Check validates settings that don't come from Parse and returns every problem,
// or nil; file is the name of their source in problems.
func Check(file string, daemon *Daemon) Problems {
	doc := strictjson.Decode(file, []byte("{}"), codes, &struct{}{})
	checkValues(daemon, doc)
	return doc.Problems()
}
