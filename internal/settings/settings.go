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
	DefaultLocalListen         = "127.0.0.1:7483"
	DefaultLogLevel            = "info"
	DefaultLogFormat           = LogJSON
	DefaultShutdownGrace       = 30 * time.Second
	DefaultMemoryLimit   int64 = 64 << 20
)

// The bounds of a settings file.
const (
	// MaxSourceSize is the largest settings file in bytes.
	MaxSourceSize = 1 << 20
	// MaxNameLength is the largest length of a mesh, data centre or instance
	// name in bytes.
	MaxNameLength = 63
	// MaxPeers is how many addresses for first contact may be given.
	MaxPeers = 64
	// MinShutdownGrace is the shortest shutdown grace.
	MinShutdownGrace = 100 * time.Millisecond
	// MaxShutdownGrace is the longest shutdown grace.
	MaxShutdownGrace = time.Hour
	// MinMemoryLimit is the smallest memory limit in bytes.
	MinMemoryLimit int64 = 16 << 20
	// MaxMemoryLimit is the largest memory limit in bytes.
	MaxMemoryLimit int64 = 64 << 30
)

// Daemon is the settings of one daemon.
type Daemon struct {
	// Mesh is the name of the mesh. Packets and manifests of another mesh are
	// refused.
	Mesh string `json:"mesh" strict:"required"`
	// DataCentre is where the instance runs.
	DataCentre string `json:"data_centre" strict:"required"`
	// Instance is the id of the daemon, unique in the mesh. When empty,
	// InstanceID makes one.
	Instance string `json:"instance"`
	// CallerListen is the IP:port for callers' HTTP requests.
	CallerListen string `json:"caller_listen" strict:"required"`
	// PeerListen is the IP:port for other daemons: TCP, and UDP for gossip. It
	// is told to other daemons, so that it must not be a wildcard address.
	PeerListen string `json:"peer_listen" strict:"required"`
	// LocalListen is the loopback IP:port for the upstream's announcements,
	// metrics, health and status.
	LocalListen string `json:"local_listen"`
	// Peers are IP:port of peer listeners for first contact. Those that do not
	// answer are passed over.
	Peers []string `json:"peers"`
	// PlatformURL is the base URL of the platform's service. When empty the
	// daemon learns everything from peers.
	PlatformURL string `json:"platform_url"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// LogFormat is json or console.
	LogFormat LogFormat `json:"log_format"`
	// ShutdownGrace bounds how long a planned stop waits for requests in
	// flight.
	ShutdownGrace Duration `json:"shutdown_grace"`
	// MemoryLimit is the soft limit of the process's memory in bytes.
	MemoryLimit int64 `json:"memory_limit_bytes"`
}

// SetDefaults implements strictjson.Defaulter.
func (d *Daemon) SetDefaults() {
	d.LocalListen = DefaultLocalListen
	d.LogLevel = DefaultLogLevel
	d.LogFormat = DefaultLogFormat
	d.ShutdownGrace = Duration(DefaultShutdownGrace)
	d.MemoryLimit = DefaultMemoryLimit
}

// InstanceID returns the instance id from the settings, or one made of the
// data centre and the address that the peer listener got.
func (d *Daemon) InstanceID(peerAddress string) string {
	if d.Instance != "" {
		return d.Instance
	}
	return d.DataCentre + "/" + peerAddress
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
	check(daemon, doc)
	if problems := doc.Problems(); problems != nil {
		return nil, problems
	}
	return daemon, nil
}
