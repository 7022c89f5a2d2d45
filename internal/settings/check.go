package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strings"

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

func check(d *Daemon, doc *strictjson.Document) {
	c := &checker{doc}
	c.name("/mesh", d.Mesh)
	c.name("/data_centre", d.DataCentre)
	c.instance(d.Instance)
	c.listen("/caller_listen", d.CallerListen, mayBeWildcard)
	c.listen("/peer_listen", d.PeerListen, noWildcard)
	c.local(d.LocalListen)
	c.peers(d.Peers)
	c.platform(d.PlatformURL)
	c.oneOf("/log_level", d.LogLevel, logLevels)
	c.oneOf("/log_format", string(d.LogFormat), logFormats)
	if grace := d.ShutdownGrace.Std(); grace < MinShutdownGrace || grace > MaxShutdownGrace {
		c.refuse("/shutdown_grace", "%s is outside %s to %s", grace, MinShutdownGrace, MaxShutdownGrace)
	}
	if d.MemoryLimit < MinMemoryLimit || d.MemoryLimit > MaxMemoryLimit {
		c.refuse("/memory_limit_bytes", "%d is outside %d to %d", d.MemoryLimit, MinMemoryLimit, MaxMemoryLimit)
	}
}

func (c *checker) refuse(path, format string, args ...any) {
	c.Add(path, code.SettingsOutOfRange, format, args...)
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
	if len(id) > MaxNameLength {
		c.refuse("/instance", "instance id has %d bytes; want at most %d", len(id), MaxNameLength)
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

func (c *checker) local(address string) {
	const path = "/local_listen"
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		c.refuse(path, "%q is not IP:port", address)
	case !parsed.Addr().IsLoopback():
		c.refuse(path, "%q is not a loopback address", address)
	}
}

func (c *checker) peers(peers []string) {
	if len(peers) > MaxPeers {
		c.refuse("/peers", "%d addresses; want at most %d", len(peers), MaxPeers)
	}
	for i, peer := range peers {
		path := strictjson.Path("peers", i)
		parsed, err := netip.ParseAddrPort(peer)
		switch {
		case err != nil:
			c.refuse(path, "%q is not IP:port", peer)
		case parsed.Port() == 0 || parsed.Addr().IsUnspecified():
			c.refuse(path, "%q is no address to connect to", peer)
		case slices.Contains(peers[:i], peer):
			c.Add(path, code.SettingsDuplicate, "peer %q is given twice", peer)
		}
	}
}

func (c *checker) platform(text string) {
	if text == "" {
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		c.refuse("/platform_url", "%q is not an http or https URL", text)
		return
	}
	if parsed.RawQuery != "" || parsed.Fragment != "" {
		c.refuse("/platform_url", "%q must have no query and no fragment", text)
	}
}

func (c *checker) oneOf(path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.refuse(path, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}
