package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"godwitmount/internal/platform"
	"godwitmount/internal/platformstandin"
)

func newPair(t *testing.T) (*platformstandin.Store, *platform.Client) {
	t.Helper()
	store := platformstandin.NewStore(platformstandin.Config{})
	server := httptest.NewServer(platformstandin.NewHandler(store))
	t.Cleanup(server.Close)
	client := platform.NewClient(server.URL, platform.DefaultClientConfig())
	t.Cleanup(client.Close)
	return store, client
}

func setFaults(t *testing.T, store *platformstandin.Store, f platformstandin.Faults) {
	t.Helper()
	if err := store.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

func put(key, value string) platform.Transaction {
	return platform.Transaction{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}
}

func TestClientRoundTrip(t *testing.T) {
	ctx := context.Background()
	_, client := newPair(t)
	if _, err := client.Read(ctx, "a"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("read of nothing: %v", err)
	}
	first, err := client.Transact(ctx, put("a", "1"))
	if err != nil {
		t.Fatal(err)
	}
	row, err := client.Read(ctx, "a")
	if err != nil || string(row.Value) != "1" || row.Revision != first.Revision {
		t.Fatalf("read %+v, %v", row, err)
	}
	tx := put("a", "2")
	tx.Preconditions = []platform.Precondition{{Key: "a", Absent: true}}
	var conflict *platform.ConflictError
	if _, err := client.Transact(ctx, tx); !errors.As(err, &conflict) || string(conflict.Current.Value) != "1" {
		t.Fatalf("want a conflict that shows the row, got %v", err)
	}
	ifAbsent := platform.Transaction{Writes: []platform.Write{
		{Key: "a", Value: []byte("3"), IfAbsent: true},
		{Key: "b", Value: []byte("4"), IfAbsent: true},
	}}
	result, err := client.Transact(ctx, ifAbsent)
	if err != nil || len(result.Existing) != 1 || string(result.Existing[0].Value) != "1" {
		t.Fatalf("if absent: %+v, %v", result, err)
	}
	rows, err := client.Scan(ctx, "", "a", 10)
	if err != nil || len(rows) != 1 || rows[0].Key != "b" {
		t.Fatalf("scan after a: %+v, %v", rows, err)
	}
	if err := client.PutObject(ctx, "manifest/x", []byte("body")); err != nil {
		t.Fatal(err)
	}
	body, err := client.GetObject(ctx, "manifest/x")
	if err != nil || string(body) != "body" {
		t.Fatalf("object %q, %v", body, err)
	}
}

func TestClientTellsNotAppliedFromUnknown(t *testing.T) {
	ctx := context.Background()
	store, client := newPair(t)
	cases := []struct {
		name   string
		faults platformstandin.Faults
		want   error
		// applied is whether the write took effect.
		applied bool
	}{
		{"refusing", platformstandin.Faults{Outage: platformstandin.OutageRefuse}, platform.ErrUnavailable, false},
		{"answer lost", platformstandin.Faults{LoseAnswers: 1}, platform.ErrUnknown, true},
		{"every answer lost", platformstandin.Faults{LosePercent: 100}, platform.ErrUnknown, true},
	}
	for _, c := range cases {
		setFaults(t, store, c.faults)
		if _, err := client.Transact(ctx, put(c.name, "v")); !errors.Is(err, c.want) {
			t.Errorf("%s: transact: got %v, want %v", c.name, err, c.want)
		}
		setFaults(t, store, platformstandin.Faults{})
		if _, err := client.Read(ctx, c.name); (err == nil) != c.applied {
			t.Errorf("%s: read gives %v, applied should be %v", c.name, err, c.applied)
		}
	}
}

func TestClientTimeoutOfAWriteIsUnknown(t *testing.T) {
	store, client := newPair(t)
	setFaults(t, store, platformstandin.Faults{Outage: platformstandin.OutageHang})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Transact(ctx, put("a", "1")); !errors.Is(err, platform.ErrUnknown) {
		t.Errorf("write: %v", err)
	}
	if _, err := client.Read(ctx, "a"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("read: %v", err)
	}
	setFaults(t, store, platformstandin.Faults{})
}

func TestClientConnectionRefusedIsUnavailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	client := platform.NewClient("http://"+address, platform.DefaultClientConfig())
	if _, err := client.Transact(context.Background(), put("a", "1")); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("got %v", err)
	}
}

func TestClientRefusesAnswersItCannotTrust(t *testing.T) {
	long := strings.Repeat("x", 2000)
	cases := []struct {
		name, body string
		status     int
		write      error
		read       error
	}{
		{"not json", "hello", 200, platform.ErrUnknown, platform.ErrBadAnswer},
		{"too large", long, 200, platform.ErrUnknown, platform.ErrUnavailable},
		{"server error", "", 500, platform.ErrUnknown, platform.ErrUnavailable},
		{"conflict unreadable", "?", 409, platform.ErrUnknown, platform.ErrUnavailable},
		{"rate ceiling", "", 429, platform.ErrUnavailable, platform.ErrUnavailable},
		{"bad request", "no", 400, platform.ErrInvalid, platform.ErrInvalid},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		cfg := platform.DefaultClientConfig()
		cfg.MaxAnswer = 1000
		client := platform.NewClient(server.URL, cfg)
		if _, err := client.Transact(context.Background(), put("a", "1")); !errors.Is(err, c.write) {
			t.Errorf("%s: write: got %v, want %v", c.name, err, c.write)
		}
		if _, err := client.Read(context.Background(), "a"); !errors.Is(err, c.read) {
			t.Errorf("%s: read: got %v, want %v", c.name, err, c.read)
		}
		server.Close()
	}
}
