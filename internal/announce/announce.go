// Package announce is the message by which an upstream tells its own daemon
// that it exists: its shape, strict decoding and validation.
package announce

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"time"

	"godwitmount/internal/membership"
)

// Path is where the daemon takes announcements, by POST on its local listener.
const Path = "/v1/announce"

// Limits of an announcement.
const (
	// MaxBytes is the largest body of an announcement.
	MaxBytes = 4 << 10
	// MaxSlots is the largest number of slots of one upstream.
	MaxSlots = 10_000
	// MinTTL and MaxTTL bound how long an announcement holds.
	MinTTL = 100 * time.Millisecond
	MaxTTL = 5 * time.Minute
)

var serviceName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Announcement is what an upstream says of itself. It renews the message well
// before TTLMs has passed and sends one at each change of state.
type Announcement struct {
	Service string `json:"service"`
	// Address is host:port of the upstream's HTTP listener, an IP number.
	Address string `json:"address"`
	// Slots is how many requests the upstream runs at once.
	Slots int `json:"slots"`
	// State is starting, ready, draining or gone.
	State string `json:"state"`
	// TTLMs is how many milliseconds the announcement holds.
	TTLMs int64 `json:"ttl_ms"`
}

// TTL returns how long the announcement holds.
func (a Announcement) TTL() time.Duration {
	return time.Duration(a.TTLMs) * time.Millisecond
}

// UpstreamState returns the announced state, or UpstreamNone when it is not
// one of the known names.
func (a Announcement) UpstreamState() membership.UpstreamState {
	states := []membership.UpstreamState{
		membership.UpstreamStarting,
		membership.UpstreamReady,
		membership.UpstreamDraining,
		membership.UpstreamGone,
	}
	for _, state := range states {
		if state.String() == a.State {
			return state
		}
	}
	return membership.UpstreamNone
}

// Decode reads one announcement. Unknown fields, trailing data, more than
// MaxBytes and values out of range are errors.
func Decode(r io.Reader) (Announcement, error) {
	var a Announcement
	raw, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return a, fmt.Errorf("read announcement: %w", err)
	}
	if len(raw) > MaxBytes {
		return a, fmt.Errorf("announcement exceeds %d bytes", MaxBytes)
	}
	if err := decodeStrict(raw, &a); err != nil {
		return a, fmt.Errorf("decode announcement: %w", err)
	}
	return a, a.Validate()
}

// Validate reports the first value that is out of range.
func (a Announcement) Validate() error {
	if !serviceName.MatchString(a.Service) {
		return fmt.Errorf("announcement: service %q is not a service name", a.Service)
	}
	if addr, err := netip.ParseAddrPort(a.Address); err != nil || addr.Port() == 0 {
		return fmt.Errorf("announcement: address %q is not an IP number and port", a.Address)
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return fmt.Errorf("announcement: slots %d is not between 1 and %d", a.Slots, MaxSlots)
	}
	if a.UpstreamState() == membership.UpstreamNone {
		return fmt.Errorf("announcement: state %q is not starting, ready, draining or gone", a.State)
	}
	if a.TTLMs < MinTTL.Milliseconds() || a.TTLMs > MaxTTL.Milliseconds() {
		return fmt.Errorf("announcement: ttl_ms %d is not between %d and %d", a.TTLMs, MinTTL.Milliseconds(), MaxTTL.Milliseconds())
	}
	return nil
}

func decodeStrict(raw []byte, into *Announcement) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("data after the announcement")
	}
	return nil
}
