package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwitmount/platform"
	"godwitmount/platform/platformtest"
)

// Figures of the deployment, those of the small sites.
const (
	beatInterval = 870 * time.Millisecond
	drainTime    = 2000 * time.Millisecond
	memoryMB     = 284
	slots        = 18
	// daemonProgram is the run line of deploy/system.toml.
	daemonProgram = "target/godwitmountd"
)

// Ports of a machine. Each machine has a loopback address of its own.
const (
	appPort = 7381 + iota
	inboundPort
	outboundPort
	readyPort
	controlPort
	storePort
)

// play is one run of a case.
type play struct {
	trouble bool
	began   time.Time
	folder  string
	store   *platformtest.Store
	server  *http.Server
	// storeAddress is that of the store.
	storeAddress string
	nodes        []*node
	// moreBounds are further bounds of the settings, each after a comma.
	moreBounds string

	mu     sync.Mutex
	record io.Writer
}

// newPlay starts the store.
func newPlay(record io.Writer, trouble bool) (*play, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	p := &play{trouble: trouble, began: time.Now(), folder: folder, store: platformtest.NewStore(), record: record}
	listener, err := net.Listen("tcp", p.host(0)+":"+fmt.Sprint(storePort))
	if err != nil {
		return nil, err
	}
	p.storeAddress = listener.Addr().String()
	p.server = &http.Server{Handler: p.store.Handler()}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// host returns the loopback address of a machine; 0 is the store's. Plays that run at the same
// time have addresses of their own.
func (p *play) host(machine int) string {
	const firstOctet, octets = 20, 200
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", firstOctet+pid%octets, pid/octets%octets, 1+machine)
}

// printf writes a line of the record, with the time since the beginning.
func (p *play) printf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary files.
func (p *play) close() {
	for _, n := range p.nodes {
		n.end()
	}
	_ = p.server.Close()
	_ = os.RemoveAll(p.folder)
}

// node is a machine: a daemon as a process, beside a worker.
type node struct {
	play    *play
	name    string
	zone    string
	service string
	host    string
	worker  *worker

	mu      sync.Mutex
	process *exec.Cmd
	// exited is closed when process has ended.
	exited chan struct{}
	closed bool
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.host, port) }

// addNode adds a machine and starts its daemon. Its worker is not started.
func (p *play) addNode(zone, service string) (*node, error) {
	number := len(p.nodes) + 1
	n := &node{play: p, name: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone, service: service, host: p.host(number)}
	p.nodes = append(p.nodes, n)
	if err := os.WriteFile(n.settingsFile(), []byte(n.settings()), 0o600); err != nil {
		return nil, err
	}
	return n, n.start()
}

func (n *node) settingsFile() string { return filepath.Join(n.play.folder, n.name+".toml") }

// settings returns the platform's settings file of the machine.
func (n *node) settings() string {
	lines := []string{
		fmt.Sprintf("node_name = %q", n.name), `role = "sidecar-daemon"`, `machine_class = "sidecar"`, `serves = ["sidecar"]`,
		fmt.Sprintf("ip = %q", n.host), fmt.Sprintf("zone = %q", n.zone), `region = "region"`, "port_range = [7390,7405]",
		"seed_nodes = []", "bootstrap = true", fmt.Sprintf("beat_interval_ms = %d", beatInterval.Milliseconds()),
		`bounds = ["seed_lag_s=3","reuse_after_s=2","contact_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6",` +
			`"loss_slack_ms=200","config_ms=2000","rollback_slack_ms=250","stretch_max_ms=5000","budget_ratio=0.2","budget_window_s=10",` +
			`"budget_extra=58","recovery_s=15"` + n.play.moreBounds + "]",
		fmt.Sprintf("app_addr = %q", n.at(appPort)), fmt.Sprintf("service = %q", n.service),
		"[listen]",
		fmt.Sprintf("inbound = %q", n.at(inboundPort)), fmt.Sprintf("outbound = %q", n.at(outboundPort)),
		fmt.Sprintf("ready = %q", n.at(readyPort)), fmt.Sprintf("control = %q", n.at(controlPort)),
		"[limits]", "cpu_share = 0.32", "cores = 1", fmt.Sprintf("memory_mb = %d", memoryMB), "max_fds = 4100", "link_mbps = 1000.0",
		"[platform]", fmt.Sprintf("address = %q", n.play.storeAddress), `form = "table"`, "writes_per_s = 400", "reads_per_s = 2000",
		"row_bytes = 65536", "across = false", "history_s = 20",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the daemon.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(n.play.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(daemonProgram)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + n.settingsFile()}
	command.Stdout, command.Stderr = log, log
	// The daemon ends with this process, whatever ends that.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = command, exited
	n.play.printf("daemon of %s starts", n.name)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// kill kills the daemon and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	process, exited := n.process, n.exited
	n.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-exited
}

// signal sends a signal to the daemon.
func (n *node) signal(signal syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.Process.Signal(signal)
}

// end ends the machine for good.
func (n *node) end() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	if n.worker != nil {
		n.worker.crash()
	}
	n.kill()
}

// ready reports whether the readiness check of the platform succeeds.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.at(readyPort) + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the platform finds all daemons ready.
func (p *play) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for _, n := range p.nodes {
		for !n.ready() {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	p.printf("all daemons are ready")
	return nil
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMS                         int
	// key is that of the tenant whose clients send the requests; empty for none.
	key string
	// ownPath is set if each request is for a path of its own.
	ownPath bool
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name       string   `json:"name"`
	APIKeys    []string `json:"api_keys"`
	Priority   int      `json:"priority"`
	RatePerSec float64  `json:"rate_per_s"`
	Burst      float64  `json:"burst"`
}

// publish puts a configuration into the store.
func (p *play) publish(version int, services []string, tenants []tenant, routes ...route) {
	type object = map[string]any
	var hosts, all []object
	for _, name := range services {
		all = append(all, object{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	for _, r := range routes {
		hosts = append(hosts, object{"host": r.host, "paths": []object{{
			"name": r.name, "prefix": r.prefix, "kind": r.kind, "service": r.service, "timeout_ms": r.timeoutMS,
			"goal_latency_ms": r.timeoutMS / 2, "priority": 1, "max_attempts": 2,
		}}})
	}
	config := object{
		"version": version, "services": all, "hosts": hosts,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if len(tenants) > 0 {
		config["tenants"] = tenants
	}
	text, err := json.Marshal(config)
	if err != nil {
		// Maps of strings and numbers always encode.
		panic(err)
	}
	p.store.Publish(text)
	p.printf("configuration %d is in the store", version)
}
