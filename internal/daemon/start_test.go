package daemon

import (
	"io"
	"net"
	"net/http"
	"testing"

	"go.uber.org/zap/zapcore"

	"godwitmount/internal/asynclog"
	"godwitmount/internal/control"
	"godwitmount/internal/settings"
)

// TestFailedStartFreesItsAddresses covers a daemon one of whose addresses is in use:
// the listeners that it had opened are closed, so that the next start succeeds.
func TestFailedStartFreesItsAddresses(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers := free.Addr().String()
	if err := free.Close(); err != nil {
		t.Fatal(err)
	}
	s := &settings.Daemon{}
	s.SetDefaults()
	s.PeerListen, s.CallerListen = peers, taken.Addr().String()
	_, err = Start(Config{Settings: s, Log: asynclog.New(io.Discard, "a-1", zapcore.InfoLevel, 10), Platform: Platform{
		Store:     &scriptedStore{},
		ReadyPath: "/ready",
		NewReportHandler: func(func(control.UpstreamReport) error, func(error)) http.Handler {
			return http.NotFoundHandler()
		},
	}})
	if err == nil {
		t.Fatal("the daemon started on an address in use")
	}
	again, err := net.Listen("tcp", peers)
	if err != nil {
		t.Fatalf("an address of the failed start is still in use: %v", err)
	}
	_ = again.Close()
}
