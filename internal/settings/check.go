package settings

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// checker validates the values of decoded settings. Its methods are named after
// the values that they check, and add a problem for each invalid one.
type checker struct {
	*strictjson.Document
}

// wildcardPolicy says whether a listen address may be a wildcard address, which
// means all addresses of the host.
type wildcardPolicy bool

const (
	allowWildcard  wildcardPolicy = true
	forbidWildcard wildcardPolicy = false
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
	c.listenAddress("/caller_listen", d.CallerListen, allowWildcard)
	c.listenAddress("/peer_listen", d.PeerListen, forbidWildcard)
	if d.PeerAdvertise != "" {
		c.remoteAddress("/peer_advertise", d.PeerAdvertise)
	}
	c.listenAddress("/announce_listen", d.AnnounceListen, allowWildcard)
	c.listenAddress("/ready_listen", d.ReadyListen, allowWildcard)
	if d.MetricsListen != "" {
		c.listenAddress("/metrics_listen", d.MetricsListen, allowWildcard)
	}
	if d.UpstreamAddress != "" {
		c.remoteAddress("/upstream_address", d.UpstreamAddress)
	}
	c.remoteAddress("/store_address", d.StoreAddress)
	c.oneOf("/log_level", d.LogLevel, logLevels)
	c.oneOf("/log_format", string(d.LogFormat), logFormats)
	c.intRange("/log_lines_per_second", int64(d.LogLinesPerSecond), 1, MaxLogLinesPerSecond)
	c.durationRange("/shutdown_grace", d.ShutdownGrace, MinShutdownGrace, MaxShutdownGrace)
	c.durationRange("/heartbeat", d.HeartbeatInterval, MinHeartbeatInterval, MaxHeartbeatInterval)
	c.intRange("/retry_percent", int64(d.RetryPercent), 0, MaxRetryPercent)
	c.durationRange("/retry_window", d.RetryWindow, time.Second, MaxRetryWindow)
	c.intRange("/retry_extra", int64(d.RetryExtra), 0, MaxRetryExtra)
	c.intRange("/memory_limit_bytes", d.MemoryLimitBytes, MinMemoryLimitBytes, MaxMemoryLimitBytes)
	c.intRange("/expose_per_mille", int64(d.ExposePerMille), 0, MaxExposePerMille)
	c.intRange("/expose_slack", int64(d.ExposeSlack), 0, MaxExposeSlack)
	c.durationRange("/rollback", d.Rollback, MinRollback, MaxRollback)
	c.intRange("/link_kbps", d.LinkKbps, 0, MaxLinkKbps)
	c.durationRange("/revoke_limit", d.RevokeLimit, MinRevokeLimit, MaxRevokeLimit)
	c.durationRange("/quota_window", d.QuotaWindow, MinQuotaWindow, MaxQuotaWindow)
	c.intRange("/quota_excess_percent", int64(d.QuotaExcessPercent), 0, MaxQuotaExcessPercent)
	c.intRange("/quota_slack", int64(d.QuotaSlack), 0, MaxQuotaSlack)
}

// addProblem adds a problem whose message begins with the name of the setting.
func (c *checker) addProblem(path, format string, args ...any) {
	c.Add(path, code.SettingsOutOfRange, strings.TrimPrefix(path, "/")+": "+format, args...)
}

func (c *checker) intRange(path string, n, minimum, maximum int64) {
	if n < minimum || n > maximum {
		c.addProblem(path, "%d is outside %d to %d", n, minimum, maximum)
	}
}

func (c *checker) durationRange(path string, d Duration, minimum, maximum time.Duration) {
	if d.Std() < minimum || d.Std() > maximum {
		c.addProblem(path, "%s is outside %s to %s", d, minimum, maximum)
	}
}

func (c *checker) name(path, name string) {
	if !strictjson.ValidName(name, MaxNameLength) {
		c.addProblem(path, "name %q %s", name, strictjson.NameRule(MaxNameLength))
	}
}

// instance allows more characters than name does, so that the id of an instance
// may contain a network address.
func (c *checker) instance(id string) {
	const punctuation = "-./:_[]"
	for _, r := range id {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && !strings.ContainsRune(punctuation, r) {
			c.addProblem("/instance", "instance id %q must consist of letters, digits and %s", id, punctuation)
			return
		}
	}
	if id == "" || len(id) > MaxNameLength {
		c.addProblem("/instance", "instance id has %d bytes; want 1 to %d", len(id), MaxNameLength)
	}
}

// listenAddress checks an address to listen on. Port 0 is allowed: the system
// then chooses a free port.
func (c *checker) listenAddress(path, address string, policy wildcardPolicy) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		c.addProblem(path, "%q is not IP:port", address)
		return
	}
	if parsed.Addr().IsUnspecified() && policy == forbidWildcard {
		c.addProblem(path, "%q is a wildcard address; give the address at which other daemons reach this one", address)
	}
}

// remoteAddress checks an address to connect to.
func (c *checker) remoteAddress(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		c.addProblem(path, "%q is not IP:port", address)
	case parsed.Port() == 0 || parsed.Addr().IsUnspecified():
		c.addProblem(path, "%q is not an address to connect to", address)
	}
}

func (c *checker) oneOf(path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.addProblem(path, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}
