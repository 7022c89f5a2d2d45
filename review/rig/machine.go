package main

import (
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
)

// machine is a machine of the deployment: a daemon in a process of its own, and a worker.
type machine struct {
	rig                               *rig
	name, zone, service, ip           string
	inbound, outbound, ready, control string
	settings                          string
	worker                            *worker
	log                               *os.File

	mu      sync.Mutex
	process *exec.Cmd
	started time.Time
}

// hostCount is the number of loopback addresses in use.
var hostCount int

// nextIP returns a loopback address of its own for a machine.
func nextIP() string {
	hostCount++
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%200, hostCount)
}

// freeAddresses sets free ports of an address. All are held until the last one is found.
func freeAddresses(ip string, addresses ...*string) error {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}
	return nil
}

// addMachine starts a machine with its worker and its daemon.
func (r *rig) addMachine(zone, service string) error {
	m := &machine{rig: r, zone: zone, service: service, ip: nextIP()}
	m.name = fmt.Sprintf("sidecar-%s-%d", zone, len(r.machines)+1)
	worker, err := newWorker(m)
	if err != nil {
		return err
	}
	m.worker = worker
	// The worker listens already, so that none of these is its port.
	if err := freeAddresses(m.ip, &m.inbound, &m.outbound, &m.ready, &m.control); err != nil {
		return err
	}
	m.settings = filepath.Join(r.temp, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(m.settingsText()), 0o600); err != nil {
		return err
	}
	if m.log, err = os.Create(filepath.Join(r.temp, m.name+".log")); err != nil {
		return err
	}
	r.machines = append(r.machines, m)
	if err := m.start(); err != nil {
		return err
	}
	go worker.report()
	return nil
}

// settingsText returns the platform's settings of the daemon.
func (m *machine) settingsText() string {
	lines := []string{
		fmt.Sprintf("node_name = %q", m.name), `role = "sidecar-daemon"`, `machine_class = "sidecar"`, `serves = ["sidecar"]`,
		fmt.Sprintf("ip = %q", m.ip), fmt.Sprintf("zone = %q", m.zone), `region = "north-england"`, "seed_nodes = []", "bootstrap = true",
		fmt.Sprintf("beat_interval_ms = %d", beatInterval.Milliseconds()),
		`contracts = ["base","drain","config","cost","retry","recover","platform"]`, "bounds = [" + bounds + "]",
		fmt.Sprintf("app_addr = %q", m.worker.address), fmt.Sprintf("service = %q", m.service),
		"[listen]", fmt.Sprintf("inbound = %q", m.inbound), fmt.Sprintf("outbound = %q", m.outbound),
		fmt.Sprintf("ready = %q", m.ready), fmt.Sprintf("control = %q", m.control),
		"[limits]", "memory_mb = 284", "max_fds = 4100", "link_mbps = 1000.0",
		"[platform]", fmt.Sprintf("address = %q", m.rig.storeAddr), `form = "table"`,
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the daemon by the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	process := exec.Command(m.rig.program)
	process.Env = append(os.Environ(), "GODWITMOUNT_NODE_FILE="+m.settings)
	process.Stdout, process.Stderr = m.log, m.log
	if err := process.Start(); err != nil {
		return err
	}
	m.process, m.started = process, time.Now()
	m.rig.note("%s: daemon started", m.name)
	return nil
}

// kill kills the daemon and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(syscall.SIGKILL)
	_ = m.process.Wait()
	m.process = nil
	m.rig.note("%s: daemon killed", m.name)
}

// inTouchSince returns the time from which the machine is in touch: contactTime after the
// start of its daemon.
func (m *machine) inTouchSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started.Add(contactTime)
}

// isReady asks the daemon's ready address, as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + m.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (m *machine) close() {
	m.worker.exit()
	m.kill()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		text, _ := os.ReadFile(m.log.Name())
		_ = os.WriteFile(filepath.Join(keep, m.name+".log"), text, 0o644)
	}
	_ = m.log.Close()
}

func readAll(body io.Reader) (string, error) {
	text, err := io.ReadAll(body)
	return string(text), err
}
