package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"godwitmount/platform/platformtest"
)

// Program is the daemon's program, as the deploy file builds and names it.
const Program = "target/godwitmountd"

// Beat is the interval of status reports.
const Beat = 1500 * time.Millisecond

// Node is a machine: a daemon as a process and the addresses on it.
type Node struct {
	Name, Zone, Service            string
	Outbound, Ready, Control, App  string
	inbound, advertised, host, dir string
	settings                       string
	withNetwork                    bool
	log                            *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// Mesh is a small deployment.
type Mesh struct {
	Record  *Record
	Store   *platformtest.Store
	Network *Network
	Nodes   []*Node
	dir     string
	store   *httptest.Server
	bounds  []string
	// LinkKbps is the rate of the machines' network links in kilobits per second; 0 is no limit.
	LinkKbps int
	closers  []io.Closer
	lastID   atomic.Int64
	client   *http.Client
	// storeDown is set while the store is down.
	storeDown atomic.Bool
}

// NewMesh starts the platform's store. Bounds are those of the settings files. With links, all
// connections between daemons pass a Network; the daemons then read their own form of settings
// files, since the platform's has no address of a forwarder.
func NewMesh(links bool, bounds ...string) (*Mesh, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	m := &Mesh{Record: NewRecord(), Store: platformtest.NewStore(), dir: dir, bounds: bounds}
	if links {
		m.Network = NewNetwork()
	}
	m.store = httptest.NewServer(m.storeHandler())
	m.client = &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	started.Store(m)
	return m, nil
}

// storeHandler returns the handler of the store's calls, which resets them while the store is down.
func (m *Mesh) storeHandler() http.Handler {
	inner := m.Store.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !m.storeDown.Load() {
			inner.ServeHTTP(w, r)
			return
		}
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
	})
}

// SetStoreDown makes the store reset all connections and calls, or ends that.
func (m *Mesh) SetStoreDown(down bool) {
	m.storeDown.Store(down)
	if down {
		m.store.CloseClientConnections()
	}
}

// takePorts sets addresses to different free ports of a host.
func takePorts(host string, addresses ...*string) error {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}
	return nil
}

// AddNode adds a machine and starts its daemon.
func (m *Mesh) AddNode(name, zone, service string) (*Node, error) {
	number := len(m.Nodes) + 1
	n := &Node{Name: name, Zone: zone, Service: service, dir: m.dir, withNetwork: m.Network != nil,
		host: fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, number)}
	if err := takePorts(n.host, &n.Outbound, &n.Ready, &n.Control, &n.App, &n.inbound, &n.advertised); err != nil {
		return nil, err
	}
	if n.withNetwork {
		closer, err := m.Network.Forward(n.advertised, n.inbound, name)
		if err != nil {
			return nil, err
		}
		m.closers = append(m.closers, closer)
	}
	text, err := m.settingsOf(n)
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(m.dir, name+".settings")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(m.dir, name+".log")); err != nil {
		return nil, err
	}
	m.Nodes = append(m.Nodes, n)
	return n, n.Start()
}

// settingsOf returns the settings file of a node.
func (m *Mesh) settingsOf(n *Node) (string, error) {
	store := strings.TrimPrefix(m.store.URL, "http://")
	if n.withNetwork {
		text, err := json.Marshal(map[string]any{
			"mesh": "review", "data_centre": n.Zone, "instance": n.Name, "service": n.Service,
			"caller_listen": n.Outbound, "peer_listen": n.inbound, "peer_advertise": n.advertised, "announce_listen": n.Control,
			"ready_listen": n.Ready, "upstream_address": n.App, "store_address": store, "heartbeat": Beat.String(),
			"shutdown_grace": "6s", "memory_limit_bytes": 170 << 20, "quota_window": "5s", "quota_excess_percent": 10, "quota_slack": 20,
			"strict_revoke": true, "revoke_limit": "5s", "retry_extra": 56, "link_kbps": m.LinkKbps,
		})
		return string(text), err
	}
	quoted := make([]string, len(m.bounds))
	for i, bound := range m.bounds {
		quoted[i] = strconv.Quote(bound)
	}
	return fmt.Sprintf(`node_name = %q
role = "sidecar-daemon"
machine_class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "review"
port_range = [7380,7395]
seed_nodes = []
bootstrap = true
beat_interval_ms = %d
bounds = [%s]
app_addr = %q
service = %q
[listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[limits]
cpu_share = 0.32
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = %g
disk_mb = 0
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
`, n.Name, n.host, n.Zone, Beat.Milliseconds(), strings.Join(quoted, ","), n.App, n.Service, n.inbound, n.Outbound, n.Ready, n.Control, linkMbps(m.LinkKbps), store), nil
}

// Start starts the daemon's process.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	process := exec.Command(Program)
	if n.withNetwork {
		process = exec.Command(Program, "--settings", n.settings)
	}
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.dir, "GODWITMOUNT_NODE_FILE=" + n.settings}
	process.Stdout, process.Stderr = n.log, n.log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = process, ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the daemon's process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// Ended returns a channel that is closed when the present process has ended.
func (n *Node) Ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended == nil {
		none := make(chan struct{})
		close(none)
		return none
	}
	return n.ended
}

// Panic returns the lines of the daemon's log that are none of its own: those of a panic.
func (n *Node) Panic() string {
	log, err := os.ReadFile(n.log.Name())
	if err != nil {
		return err.Error()
	}
	var lines []string
	for line := range strings.Lines(string(log)) {
		if !strings.HasPrefix(line, "{") && strings.TrimSpace(line) != "" {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// IsReady reports whether the daemon says that it is ready.
func (n *Node) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// restartDelay is the time after which the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// AwaitReady waits until all daemons are ready. One that has ended is started again, as by the
// platform.
func (m *Mesh) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range m.Nodes {
		for !n.IsReady() {
			if time.Now().After(end) {
				log, _ := os.ReadFile(n.log.Name())
				return fmt.Errorf("%s is not ready; its log: %s", n.Name, log)
			}
			select {
			case <-n.Ended():
				time.Sleep(restartDelay)
				if err := n.Start(); err != nil {
					return err
				}
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// Call describes one request of a client.
type Call struct {
	// ID is the attempt's id; empty for a new one.
	ID, Method, Host, Path, Key string
	Budget                      time.Duration
	Body                        string
}

// NewID returns an id that no request has had.
func (m *Mesh) NewID() string { return fmt.Sprintf("%016x", m.lastID.Add(1)) }

// Send sends one request to a node's daemon and records what becomes of it.
func (m *Mesh) Send(n *Node, c Call) (status int, retryAfter time.Duration) {
	id := c.ID
	if id == "" {
		id = m.NewID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+n.Outbound+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return 0, 0
	}
	request.Host = c.Host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(c.Budget.Milliseconds(), 10))
	if c.Key != "" {
		request.Header.Set("Credential", c.Key)
	}
	sent := m.Record.Sent(id, n.Name, c.Path)
	response, err := m.client.Do(request)
	if err != nil {
		m.Record.Answered(sent, 0)
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		m.Record.Answered(sent, 0)
		return 0, 0
	}
	m.Record.Answered(sent, response.StatusCode)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// SendEvery sends requests at a constant rate to a node until end, of the record's clock. The
// call has the number of the request.
func (m *Mesh) SendEvery(wg *sync.WaitGroup, n *Node, perSecond float64, end time.Duration, call func(number int) Call) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		interval := time.Duration(float64(time.Second) / perSecond)
		next := m.Record.Now()
		for number := 0; m.Record.Now() < end; number++ {
			time.Sleep(next - m.Record.Now())
			next += interval
			wg.Add(1)
			go func() {
				defer wg.Done()
				m.Send(n, call(number))
			}()
		}
	}()
}

// Close ends all daemons that were started and removes the temporary folder, unless KEEP is set.
func (m *Mesh) Close() {
	for _, n := range m.Nodes {
		n.Signal(syscall.SIGKILL)
		n.Signal(syscall.SIGCONT)
		<-n.Ended()
		_ = n.log.Close()
	}
	for _, closer := range m.closers {
		_ = closer.Close()
	}
	m.store.CloseClientConnections()
	m.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.dir)
		return
	}
	fmt.Println("logs are in", m.dir)
}

// Trouble reports whether the case is to be run with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// errNoFolder means that the folder of the case was not named.
var errNoFolder = errors.New("the folder of the case is missing")

// timeLimit is the longest time that a case runs.
const timeLimit = 110 * time.Second

// started is the mesh of the case.
var started atomic.Pointer[Mesh]

// endEarly ends all processes of the case, and this one, once it has run for timeLimit or gets a
// signal to end.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	if m := started.Load(); m != nil {
		m.Close()
	}
	fmt.Println("the case was ended early")
	os.Exit(CannotRun)
}

// Main runs a case, whose folder is the first argument, and ends the process.
func Main(run func() (*Mesh, bool, error)) {
	if len(os.Args) < 2 {
		fmt.Println(errNoFolder)
		os.Exit(CannotRun)
	}
	go endEarly()
	m, broken, err := run()
	if m != nil {
		if writeErr := m.Record.Write(filepath.Join(os.Args[1], "record.txt")); err == nil {
			err = writeErr
		}
		m.Close()
	}
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(CannotRun)
	case broken:
		os.Exit(Broken)
	}
	os.Exit(Held)
}

// linkMbps returns the rate of a machine's network link in megabits per second, as the platform's
// settings file has it.
func linkMbps(kbps int) float64 {
	if kbps == 0 {
		return 1000
	}
	return float64(kbps) / 1000
}
