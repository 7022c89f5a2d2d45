// Package settings is the daemon's settings file: JSON with comments, decoded
// strictly, so that an unknown or wrong setting stops the daemon before it
// does anything.
package settings

import (
	"os"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// Problems lists everything wrong with a settings file, in the order of the
// file.
type Problems = strictjson.Problems

// Duration is a time.Duration written as a Go duration string ("30s").
type Duration = strictjson.Duration

// LogFormat is how log lines are written.
type LogFormat string

// The log formats.
const (
	// LogJSON writes one JSON object a line.
	LogJSON LogFormat = "json"
	// LogConsole writes lines for people.
	LogConsole LogFormat = "console"
)

// What a settings file gets for fields it leaves out.
const (
	DefaultAnnounceListen = "127.0.0.1:7483"
	DefaultReadyListen    = "127.0.0.1:7484"
	DefaultLogLevel       = "info"
	DefaultLogFormat      = LogJSON
	DefaultLogLines       = 200
	DefaultShutdownGrace  = 6 * time.Second
	DefaultHeartbeat      = 1500 * time.Millisecond
	DefaultRetryPercent   = 20
	DefaultRetryWindow    = 10 * time.Second
	DefaultRetryExtra     = 50
	DefaultMemoryLimit    = 64 << 20
)

// The bounds of a settings file.
const (
	// MaxSourceSize is the largest settings file in bytes.
	MaxSourceSize = 1 << 20
	// MaxNameLength is the largest length of a mesh, data centre or instance
	// name in bytes.
	MaxNameLength = 63
	// MinShutdownGrace is the shortest shutdown grace.
	MinShutdownGrace = 100 * time.Millisecond
	// MaxShutdownGrace is the longest shutdown grace.
	MaxShutdownGrace = time.Hour
	// MinHeartbeat and MaxHeartbeat bound the interval of heartbeats.
	MinHeartbeat = 10 * time.Millisecond
	MaxHeartbeat = time.Hour
	// MaxRetryPercent is the largest share of retries.
	MaxRetryPercent = 100
	// MaxRetryExtra is the largest number of retries beside the share.
	MaxRetryExtra = 100_000
	// MaxLogLines is the largest number of log lines a second.
	MaxLogLines = 100_000
	// MinMemoryLimit is the smallest memory limit in bytes.
	MinMemoryLimit int64 = 16 << 20
	// MaxMemoryLimit is the largest memory limit in bytes.
	MaxMemoryLimit int64 = 64 << 30
)

// Daemon is the settings of one daemon.
type Daemon struct {
	// Mesh is the name of the mesh.
	Mesh string `json:"mesh" strict:"required"`
	// DataCentre is where the instance runs.
	DataCentre string `json:"data_centre" strict:"required"`
	// Instance is the id of the daemon, unique in the mesh.
	Instance string `json:"instance" strict:"required"`
	// Service is the service of the upstream beside the daemon. It is told to
	// upstreams as the caller of requests that begin here.
	Service string `json:"service"`
	// CallerListen is the IP:port for requests of callers.
	CallerListen string `json:"caller_listen" strict:"required"`
	// PeerListen is the IP:port for other daemons. It is told to them, so that
	// it must not be a wildcard address.
	PeerListen string `json:"peer_listen" strict:"required"`
	// PeerAdvertise is the IP:port at which other daemons reach this one where
	// that is not PeerListen, as behind a forwarder; empty is PeerListen.
	PeerAdvertise string `json:"peer_advertise"`
	// AnnounceListen is the IP:port for the upstream's heartbeats.
	AnnounceListen string `json:"announce_listen"`
	// ReadyListen is the IP:port that tells whether the daemon takes requests.
	ReadyListen string `json:"ready_listen"`
	// MetricsListen is the IP:port of the metrics and the status; empty serves
	// none.
	MetricsListen string `json:"metrics_listen"`
	// UpstreamAddress is the IP:port of the upstream beside the daemon. Only
	// heartbeats that name it are taken; empty takes any address.
	UpstreamAddress string `json:"upstream_address"`
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string `json:"store_address" strict:"required"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// LogFormat is json or console.
	LogFormat LogFormat `json:"log_format"`
	// LogLines is how many lines a second are written at most.
	LogLines int `json:"log_lines_per_second"`
	// ShutdownGrace is how long a planned stop may take.
	ShutdownGrace Duration `json:"shutdown_grace"`
	// Heartbeat is the interval at which the upstream reports.
	Heartbeat Duration `json:"heartbeat"`
	// RetryPercent is how many retries a service may get for each hundred
	// requests in RetryWindow, over all daemons.
	RetryPercent int `json:"retry_percent"`
	// RetryWindow is the span over which retries are counted.
	RetryWindow Duration `json:"retry_window"`
	// RetryExtra is how many retries a service may get beside the share, over
	// all daemons.
	RetryExtra int `json:"retry_extra"`
	// MemoryLimit is the soft limit of the process's memory in bytes.
	MemoryLimit int64 `json:"memory_limit_bytes"`
}

// PeerAddress is the IP:port that other daemons are told of.
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
	d.LogLines = DefaultLogLines
	d.ShutdownGrace = Duration(DefaultShutdownGrace)
	d.Heartbeat = Duration(DefaultHeartbeat)
	d.RetryPercent = DefaultRetryPercent
	d.RetryWindow = Duration(DefaultRetryWindow)
	d.RetryExtra = DefaultRetryExtra
	d.MemoryLimit = DefaultMemoryLimit
}

var codes = strictjson.Codes{
	Syntax:       code.SettingsSyntax,
	UnknownField: code.SettingsUnknownField,
	WrongType:    code.SettingsWrongType,
	MissingField: code.SettingsMissingField,
	Duplicate:    code.SettingsDuplicate,
	OutOfRange:   code.SettingsOutOfRange,
}

// Load reads and checks a settings file. It returns either valid settings with
// all defaults filled in, or every problem found.
func Load(file string) (*Daemon, Problems) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, Problems{strictjson.Whole(file, code.SettingsUnreadable, "%v", err)}
	}
	return Parse(file, source)
}

// Parse checks the source of a settings file; file is its name in problems.
func Parse(file string, source []byte) (*Daemon, Problems) {
	if len(source) > MaxSourceSize {
		return nil, Problems{strictjson.Whole(file, code.SettingsOutOfRange, "%d bytes exceed the limit of %d", len(source), MaxSourceSize)}
	}
	daemon := &Daemon{}
	doc := strictjson.Decode(file, source, codes, daemon)
	checkValues(daemon, doc)
	if problems := doc.Problems(); problems != nil {
		return nil, problems
	}
	return daemon, nil
}

// Check reports everything wrong with settings that were made otherwise than
// by Parse; file is their source's name in problems.
func Check(file string, daemon *Daemon) Problems {
	doc := strictjson.Decode(file, []byte("{}"), codes, &struct{}{})
	checkValues(daemon, doc)
	return doc.Problems()
}
