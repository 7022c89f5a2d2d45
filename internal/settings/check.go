package settings

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// checker finds what is wrong with the values of settings whose types are
// right.
type checker struct {
	*strictjson.Document
}

// wildcard tells whether an address may stand for all of the host's addresses.
type wildcard bool

const (
	mayBeWildcard wildcard = true
	noWildcard    wildcard = false
)

var (
	logLevels  = []string{"debug", "info", "warn", "error"}
	logFormats = []string{string(LogJSON), string(LogConsole)}
)

func checkValues(d *Daemon, doc *strictjson.Document) {
	c := &checker{doc}
	c.name("/mesh", d.Mesh)
	c.name("/data_centre", d.DataCentre)
	c.instance(d.Instance)
	if d.Service != "" {
		c.name("/service", d.Service)
	}
	c.listen("/caller_listen", d.CallerListen, mayBeWildcard)
	c.listen("/peer_listen", d.PeerListen, noWildcard)
	if d.PeerAdvertise != "" {
		c.remote("/peer_advertise", d.PeerAdvertise)
	}
	c.listen("/announce_listen", d.AnnounceListen, mayBeWildcard)
	c.listen("/ready_listen", d.ReadyListen, mayBeWildcard)
	if d.MetricsListen != "" {
		c.listen("/metrics_listen", d.MetricsListen, mayBeWildcard)
	}
	if d.UpstreamAddress != "" {
		c.remote("/upstream_address", d.UpstreamAddress)
	}
	c.remote("/store_address", d.StoreAddress)
	c.oneOf("/log_level", d.LogLevel, logLevels)
	c.oneOf("/log_format", string(d.LogFormat), logFormats)
	c.within("/log_lines_per_second", int64(d.LogLines), 1, MaxLogLines)
	c.between("/shutdown_grace", d.ShutdownGrace, MinShutdownGrace, MaxShutdownGrace)
	c.between("/heartbeat", d.Heartbeat, MinHeartbeat, MaxHeartbeat)
	c.within("/retry_percent", int64(d.RetryPercent), 0, MaxRetryPercent)
	c.between("/retry_window", d.RetryWindow, time.Second, MaxHeartbeat)
	c.within("/retry_extra", int64(d.RetryExtra), 0, MaxRetryExtra)
	c.within("/memory_limit_bytes", d.MemoryLimit, MinMemoryLimit, MaxMemoryLimit)
}

func (c *checker) refuse(path, format string, args ...any) {
	c.Add(path, code.SettingsOutOfRange, strings.TrimPrefix(path, "/")+": "+format, args...)
}

func (c *checker) within(path string, n, least, most int64) {
	if n < least || n > most {
		c.refuse(path, "%d is outside %d to %d", n, least, most)
	}
}

func (c *checker) between(path string, d Duration, least, most time.Duration) {
	if d.Std() < least || d.Std() > most {
		c.refuse(path, "%s is outside %s to %s", d, least, most)
	}
}

func (c *checker) name(path, name string) {
	if !strictjson.ValidName(name, MaxNameLength) {
		c.refuse(path, "name %q %s", name, strictjson.NameRule(MaxNameLength))
	}
}

// instance allows more than a name, so that an id may hold an address.
func (c *checker) instance(id string) {
	const extra = "-./:_[]"
	for _, r := range id {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune(extra, r) {
			c.refuse("/instance", "instance id %q must consist of letters, digits and %s", id, extra)
			return
		}
	}
	if id == "" || len(id) > MaxNameLength {
		c.refuse("/instance", "instance id has %d bytes; want 1 to %d", len(id), MaxNameLength)
	}
}

// listen checks an address to listen on; port 0 lets the system choose.
func (c *checker) listen(path, address string, may wildcard) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		c.refuse(path, "%q is not IP:port", address)
		return
	}
	if parsed.Addr().IsUnspecified() && may == noWildcard {
		c.refuse(path, "%q stands for every address; give the one that other daemons reach", address)
	}
}

// remote checks an address to connect to.
func (c *checker) remote(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		c.refuse(path, "%q is not IP:port", address)
	case parsed.Port() == 0 || parsed.Addr().IsUnspecified():
		c.refuse(path, "%q is no address to connect to", address)
	}
}

func (c *checker) oneOf(path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.refuse(path, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}
