package upstreamstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"godwitmount/internal/announce"
	"godwitmount/internal/membership"
)

const (
	// renewInterval is how often an announcement is renewed.
	renewInterval = 500 * time.Millisecond
	// announceTTL is how long one holds.
	announceTTL = 2 * time.Second
	// announceBound bounds one request to the daemon.
	announceBound = time.Second
)

// announcer tells the daemon about the stand-in.
type announcer struct {
	cfg     Config
	address string
	client  *http.Client
	changes chan membership.UpstreamState
	// sent is told after a change was announced.
	sent chan struct{}
}

func newAnnouncer(cfg Config, address string) *announcer {
	return &announcer{
		cfg:     cfg,
		address: address,
		client:  &http.Client{Timeout: announceBound},
		changes: make(chan membership.UpstreamState),
		sent:    make(chan struct{}),
	}
}

// run announces until ctx ends: starting, ready after the cold start, and then
// what set says.
func (a *announcer) run(ctx context.Context, coldStart time.Duration) {
	state := membership.UpstreamStarting
	warm := time.NewTimer(coldStart)
	defer warm.Stop()
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	for {
		a.announce(state)
		select {
		case <-warm.C:
			if state == membership.UpstreamStarting {
				state = membership.UpstreamReady
			}
		case state = <-a.changes:
			a.announce(state)
			a.sent <- struct{}{}
		case <-renew.C:
		case <-ctx.Done():
			return
		}
	}
}

// set changes the state and returns when the daemon was told, or could not be.
func (a *announcer) set(state membership.UpstreamState) {
	a.changes <- state
	<-a.sent
}

func (a *announcer) announce(state membership.UpstreamState) {
	if a.cfg.Daemon == "" {
		return
	}
	if err := a.post(state); err != nil {
		a.cfg.Log.Debug("announcement not taken", zap.Stringer("state", state), zap.Error(err))
	}
}

func (a *announcer) post(state membership.UpstreamState) error {
	body, err := json.Marshal(announce.Announcement{
		Service: a.cfg.Service,
		Address: a.address,
		Slots:   a.cfg.Slots,
		State:   state.String(),
		TTLMs:   announceTTL.Milliseconds(),
	})
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	resp, err := a.client.Post("http://"+a.cfg.Daemon+announce.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("post announcement: %w", err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("post announcement: status %d", resp.StatusCode)
	}
	return nil
}
