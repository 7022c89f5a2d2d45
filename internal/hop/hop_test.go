package hop

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/faultlink"
	"godwitmount/internal/shaping"
)

// Tests that wait long for a limit of seconds, or compute without a clock, run in parallel.
// All others stay sequential: the state of their connections depends on pings, delays and
// timeouts of 50 to 400 ms, and a late goroutine changes it.

// largeBody is the size in bytes of the answer to the request with id "large".
const largeBody = 200 << 10

// hugeBody is the size in bytes of the answer to the request with id "huge". On the slowest
// links, which get a part each 200 ms, its transfer takes longer than resumeLimit.
const hugeBody = 20 * largeBody

// testHandler answers each request with its id. A request with id "slow" runs
// until it is cancelled, one with id "queued" then says that it has not run, one with id
// "held" runs until it is released or cancelled, and one with id "large after release"
// until it is released.
type testHandler struct {
	cancelled chan string
	// causes receives why the context of a request has ended, if there is room.
	causes chan error
	// disconnected receives the instance of each peer whose connection has ended.
	disconnected chan string
	states       atomic.Int64
	// holdStates, if it is set, is received from after each state.
	holdStates atomic.Pointer[chan struct{}]
	// holdHellos, if it is set, is received from after each Hello; heldHellos receives a value
	// before that.
	holdHellos atomic.Pointer[chan struct{}]
	heldHellos chan struct{}
	// packed holds the configuration, as []byte, if it is not the default.
	packed atomic.Value
	// remainingMs is the RemainingMs of the last request.
	remainingMs atomic.Int64
	// started receives the id of each request that starts, if there is room.
	started chan string
	// release ends a request with id "held" or "large after release".
	release chan struct{}
	runs    atomic.Int64
	// server is the one that calls the handler.
	server *Server
}

func (h *testHandler) Execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	h.remainingMs.Store(int64(request.RemainingMs))
	h.runs.Add(1)
	select {
	case h.started <- request.Id:
	default:
	}
	if request.Id == "held" {
		select {
		case <-h.release:
		case <-ctx.Done():
			h.recordEnd(ctx, request.Id)
		}
	}
	if request.Id == "slow" {
		<-ctx.Done()
		h.recordEnd(ctx, request.Id)
	}
	if request.Id == "queued" {
		<-ctx.Done()
		return &hopv1.Frame{Body: &hopv1.Frame_Failure{Failure: &hopv1.Failure{NotRun: true}}}
	}
	if request.Id == "panic" {
		panic("malformed request")
	}
	if request.Id == "oversized" {
		return &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 200, Body: make([]byte, MaxFrame)}}}
	}
	if request.Id == "large after release" {
		<-h.release
	}
	if request.Id == "huge" {
		return &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 200, Body: make([]byte, hugeBody)}}}
	}
	if strings.HasPrefix(request.Id, "large") {
		return &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 200, Body: make([]byte, largeBody)}}}
	}
	return &hopv1.Frame{Body: &hopv1.Frame_Answer{Answer: &hopv1.Answer{Status: 200, Body: []byte(request.Id), State: h.State()}}}
}

// recordEnd records that the context of a request has ended.
func (h *testHandler) recordEnd(ctx context.Context, id string) {
	select {
	case h.causes <- context.Cause(ctx):
	default:
	}
	h.cancelled <- id
}

func (h *testHandler) Config() *hopv1.ConfigAnswer {
	if packed, set := h.packed.Load().([]byte); set {
		return &hopv1.ConfigAnswer{Version: 3, Packed: packed}
	}
	return &hopv1.ConfigAnswer{Version: 3, Packed: []byte("source")}
}

func (h *testHandler) Quota(_ context.Context, instance string, request *hopv1.QuotaRequest) *hopv1.QuotaReply {
	return &hopv1.QuotaReply{Tokens: request.Tokens + 1, Declined: instance != "client"}
}

func (h *testHandler) State() *hopv1.State { return &hopv1.State{ConfigVersion: 3} }

func (h *testHandler) HelloState() *hopv1.State { return h.State() }

func (h *testHandler) DrainRecord(string) *hopv1.Left { return &hopv1.Left{Upstream: "u-1", Born: 5} }

func (h *testHandler) RefuseTransfer(_ string, _ int, excess time.Duration) *hopv1.Frame {
	return &hopv1.Frame{Body: &hopv1.Frame_Failure{Failure: &hopv1.Failure{NotRun: true, RetryMs: uint32(excess.Milliseconds())}}}
}

func (h *testHandler) Panicked(any) {}

func (h *testHandler) Disconnected(instance string, _ int, _ error) { h.disconnected <- instance }

func (h *testHandler) Resumed(string, int, int) {}

func (h *testHandler) HelloReceived(*hopv1.Hello) {
	if hold := h.holdHellos.Load(); hold != nil {
		h.heldHellos <- struct{}{}
		<-*hold
	}
}

func (h *testHandler) RolloutReportReceived(string, *hopv1.RolloutReport) {}

func (h *testHandler) StateReceived(string, *hopv1.State) {
	h.states.Add(1)
	if hold := h.holdStates.Load(); hold != nil {
		<-*hold
	}
}

// startPair starts a server and a client that connects to it on a network link,
// and waits for the handshake. The channel receives the arguments of Hooks.Down.
func startPair(t *testing.T) (*testHandler, *faultlink.Link, *Client, chan error) {
	t.Helper()
	return startPairOn(t, nil)
}

// startPairOn is startPair with a network link of the server's machine.
func startPairOn(t *testing.T, link *shaping.Link) (*testHandler, *faultlink.Link, *Client, chan error) {
	t.Helper()
	return startPairBetween(t, link, nil)
}

// startPairBetween is startPair with the network links of the server's and the client's
// machines.
func startPairBetween(t *testing.T, link, clientLink *shaping.Link) (*testHandler, *faultlink.Link, *Client, chan error) {
	t.Helper()
	return startPairWith(t, link, clientLink, func(*Hooks) {})
}

// startPairWith is startPairBetween with hooks of the client that adjust changes.
func startPairWith(t *testing.T, link, clientLink *shaping.Link, adjust func(*Hooks)) (*testHandler, *faultlink.Link, *Client, chan error) {
	t.Helper()
	handler := &testHandler{cancelled: make(chan string, 10), causes: make(chan error, 10), disconnected: make(chan string, 10),
		started: make(chan string, 10), release: make(chan struct{}, 10), heldHellos: make(chan struct{}, 100)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(&hopv1.Hello{Instance: "server"}, handler, link)
	handler.server = server
	go func() { _ = server.Serve(listener) }()
	network, err := faultlink.New("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	up, down := make(chan struct{}, 10), make(chan error, 100)
	hooks := Hooks{
		Instance:      "server",
		Up:            func() { up <- struct{}{} },
		Down:          func(err error) { down <- err },
		StateReceived: func(*hopv1.State) {},
		DrainRecord:   func() *hopv1.Left { return nil },
		DrainRecordReceived: func(record *hopv1.Left) {
			if record.GetUpstream() != "u-1" || record.GetBorn() != 5 {
				t.Errorf("drain record is %v", record)
			}
		},
		HelloState:      func() *hopv1.State { return &hopv1.State{} },
		State:           func() *hopv1.State { return &hopv1.State{} },
		AdaptiveTimeout: &AdaptiveTimeout{},
		Link:            clientLink,
		Now:             func() time.Duration { return time.Since(start) },
	}
	adjust(&hooks)
	client := NewClient(network.Address(), &hopv1.Hello{Instance: "client"}, hooks)
	t.Cleanup(func() {
		client.Close()
		server.Close()
		network.SetFault(faultlink.Reset)
		network.Close()
		_ = listener.Close()
	})
	select {
	case <-up:
	case <-time.After(10 * time.Second):
		t.Fatal("the client did not connect within 10 s")
	}
	return handler, network, client, down
}

// TestRequestsShareAConnection checks that concurrent requests on one connection
// get their own answers.
func TestRequestsShareAConnection(t *testing.T) {
	_, _, client, _ := startPair(t)
	var wg sync.WaitGroup
	for _, id := range []string{"a", "b", "c", "d"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			frame, err := client.Do(context.Background(), &hopv1.Request{Id: id}, giveUpAtOnce)
			if err != nil || string(frame.GetAnswer().GetBody()) != id {
				t.Errorf("got answer %v, error %v", frame, err)
			}
		}()
	}
	wg.Wait()
	config, err := client.FetchConfig(context.Background())
	if err != nil || config.Version != 3 || string(config.Packed) != "source" {
		t.Errorf("got configuration %v, error %v", config, err)
	}
}

// TestCancellationReachesPeer checks that the end of a request's context cancels
// the request at the peer.
func TestCancellationReachesPeer(t *testing.T) {
	handler, _, client, _ := startPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Do(ctx, &hopv1.Request{Id: "slow"}, giveUpAtOnce); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want DeadlineExceeded", err)
	}
	select {
	case <-handler.cancelled:
	case <-time.After(10 * time.Second):
		t.Error("the request was not cancelled at the peer")
	}
}

// TestDeadConnectionIsDetected covers a network partition that resets no
// connection.
func TestDeadConnectionIsDetected(t *testing.T) {
	t.Parallel()
	_, network, client, down := startPair(t)
	network.SetFault(faultlink.Blocked)
	start := time.Now()
	_, err := client.Do(context.Background(), &hopv1.Request{Id: "a"}, giveUpAtOnce)
	if !errors.Is(err, ErrPeerSilent) {
		t.Fatalf("got error %v, want ErrPeerSilent", err)
	}
	if took := time.Since(start); took < busyPingAfter {
		t.Errorf("closed as dead after %s, before a ping was due", took)
	}
	select {
	case <-down:
	case <-time.After(10 * time.Second):
		t.Error("Hooks.Down was not called")
	}
	if _, err := client.Do(context.Background(), &hopv1.Request{Id: "b"}, giveUpAtOnce); !errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want ErrNotSent", err)
	}
}

// TestLostConnectionEndsRequestThatWaits covers a network partition and a request
// that cannot be sent elsewhere: it waits for the silent peer until its connection
// counts as lost.
func TestLostConnectionEndsRequestThatWaits(t *testing.T) {
	t.Parallel()
	_, network, client, _ := startPair(t)
	network.SetFault(faultlink.Blocked)
	asked := 0
	_, err := client.Do(context.Background(), &hopv1.Request{Id: "a"}, func() <-chan struct{} { asked++; return nil })
	if !errors.Is(err, ErrConnectionLost) || asked != 1 {
		t.Errorf("got error %v after %d calls of silent, want ErrConnectionLost after 1", err, asked)
	}
}

// TestSilentPeerKeepsItsRequest covers a peer from which nothing arrives for longer
// than the read timeout, as when its process is paused, and which then answers. Its
// request still runs there and must not be given up.
func TestSilentPeerKeepsItsRequest(t *testing.T) {
	handler, network, client, down := startPair(t)
	// Each direction delays the data: nothing arrives for twice this time, which lies
	// between the read timeout and the reset at minTimeout + silenceLimit.
	network.SetDelay((minTimeout + silenceLimit*2/3) / 2)
	frame, err := client.Do(context.Background(), &hopv1.Request{Id: "a"}, func() <-chan struct{} { return nil })
	if err != nil || string(frame.GetAnswer().GetBody()) != "a" {
		t.Errorf("got %v, error %v", frame, err)
	}
	select {
	case <-down:
	default:
		t.Error("the silent peer was still used for new requests")
	}
	if len(handler.cancelled) > 0 {
		t.Error("the request was cancelled at the peer")
	}
}

// TestSlowTransferKeepsConnection covers a large answer over a slow network. The
// transfer takes longer than the read timeout, but its parts keep arriving.
func TestSlowTransferKeepsConnection(t *testing.T) {
	_, network, client, _ := startPair(t)
	const parts = largeBody / faultlink.ChunkSize
	network.SetDelay(2 * minTimeout / parts)
	frame, err := client.Do(context.Background(), &hopv1.Request{Id: "large"}, giveUpAtOnce)
	if err != nil || len(frame.GetAnswer().GetBody()) != largeBody {
		t.Errorf("got %d bytes, error %v", len(frame.GetAnswer().GetBody()), err)
	}
}

// TestNetworkDelayReducesRemainingTime covers a request that is delayed in the
// network. The receiver must subtract the delay from the time left, or the
// request runs longer than its caller waits.
func TestNetworkDelayReducesRemainingTime(t *testing.T) {
	handler, network, client, _ := startPair(t)
	send := func() int64 {
		if _, err := client.Do(context.Background(), &hopv1.Request{Id: "a", RemainingMs: 600}, giveUpAtOnce); err != nil {
			t.Fatal(err)
		}
		return handler.remainingMs.Load()
	}
	if remaining := send(); remaining < 500 {
		t.Errorf("%d of 600 ms are left without delay", remaining)
	}
	// The reply takes as long, and both together must stay below the read timeout.
	network.SetDelay(150 * time.Millisecond)
	if remaining := send(); remaining > 460 {
		t.Errorf("%d of 600 ms are left after a delay of 150 ms", remaining)
	}
}

// TestOtherInstanceAtAddressIsRejected covers an address that was reassigned to
// another instance.
func TestOtherInstanceAtAddressIsRejected(t *testing.T) {
	handler, network, _, _ := startPair(t)
	down := make(chan error, 100)
	client := NewClient(network.Address(), &hopv1.Hello{Instance: "client"}, Hooks{
		Instance:            "former",
		Up:                  func() { t.Error("another instance was accepted as the peer") },
		Down:                func(err error) { down <- err },
		StateReceived:       func(*hopv1.State) {},
		DrainRecord:         func() *hopv1.Left { return nil },
		DrainRecordReceived: func(*hopv1.Left) {},
		HelloState:          handler.State,
		State:               handler.State,
		AdaptiveTimeout:     &AdaptiveTimeout{},
		Now:                 func() time.Duration { return 0 },
	})
	defer client.Close()
	if err := <-down; !errors.Is(err, ErrInstanceMismatch) {
		t.Errorf("got error %v, want ErrInstanceMismatch", err)
	}
}

// TestDeadlineOfAQueuedRequestIsNoUnknownOutcome covers a request that has not run when
// its deadline passes: the peer's answer to the Cancel says so.
func TestDeadlineOfAQueuedRequestIsNoUnknownOutcome(t *testing.T) {
	_, network, client, _ := startPair(t)
	network.SetDelay(cancelWait / 8)
	ctx, cancel := context.WithTimeout(context.Background(), 4*cancelWait)
	defer cancel()
	frame, err := client.Do(ctx, &hopv1.Request{Id: "queued"}, giveUpAtOnce)
	if err != nil || !frame.GetFailure().GetNotRun() {
		t.Errorf("got %v, error %v; want a failure that has not run", frame, err)
	}
}
