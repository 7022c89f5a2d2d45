package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwitmount/internal/faultlink"
	"godwitmount/internal/status"
	"godwitmount/platform/platformtest"
)

const (
	reportInterval = 100 * time.Millisecond
	slots          = 4
	// workTime is how long an upstream runs each request but slow ones and those for
	// longTarget.
	workTime = 20 * time.Millisecond
	// restartDelay is the time between the end of a daemon or upstream and the
	// start of the next one.
	restartDelay = 100 * time.Millisecond
	// startTime is the time after its start from which on a process serves callers. The
	// check of planned stops covers requests that were sent later.
	startTime = 500 * time.Millisecond
	// minStopUptime is the minimum uptime of a process whose planned stop is checked.
	minStopUptime = deadline + startTime
	// ackSlack is how long a request that was admitted before the upstream's
	// draining was acknowledged may take to reach the upstream.
	ackSlack = 100 * time.Millisecond
)

// node is an instance: a daemon in a process of its own, and an upstream.
type node struct {
	nodeConfig
	host string
	// settingsFile is the path of the daemon's settings.
	settingsFile string
	log          *os.File
	// peerLink is the network link on which other daemons reach this one.
	peerLink *faultlink.Link
	// linkFaults are the faults of peerLink.
	linkFaults faultStack[faultlink.Fault]

	mu      sync.Mutex
	process *exec.Cmd
	started time.Time
	// ended is closed when the process has ended.
	ended chan struct{}
	// disturbed is set if the process was killed or paused since it started or since
	// settle, a planned stop in progress included.
	disturbed bool
	// pauses is the number of pauses of the process that are not over.
	pauses int
	// stops are the planned stops during which the process was not disturbed.
	stops    []plannedStop
	upstream *platformtest.Upstream
	// cancel ends the periodic reports of the current upstream.
	cancel context.CancelFunc
	// upstreams are all upstreams since the start, the current one last.
	upstreams []*platformtest.Upstream

	problems
	// replacing is held while the upstream is replaced. It guards retired, which is set when
	// the upstream has no successor.
	replacing sync.Mutex
	retired   bool
}

// plannedStop holds from when on a process served callers, when it received SIGTERM and when it
// had ended.
type plannedStop struct{ served, began, ended time.Time }

// nodeConfig says how a node is started.
type nodeConfig struct {
	platformtest.NodeConfig
	number int
	// dir is for the daemon's settings and log, and binary the daemon's program.
	dir, binary string
	// store is the host:port of the store.
	store        string
	strictRevoke bool
	// version is that of the upstreams, and rollouts enables rollouts.
	version      string
	rollouts     bool
	disturbances *disturbances
}

// startNode starts a link, an upstream and a daemon.
func startNode(c nodeConfig) (*node, error) {
	n := &node{nodeConfig: c, host: host()}
	var err error
	if n.peerLink, err = faultlink.New(n.host+":7480", n.host+":7482"); err != nil {
		return nil, err
	}
	n.linkFaults.set = n.peerLink.SetFault
	name := fmt.Sprintf("%s-%d", c.DataCentre, c.number)
	settings := map[string]any{
		"mesh": "soak", "data_centre": c.DataCentre, "instance": name, "service": c.Service,
		"caller_listen": n.host + ":7481", "peer_listen": n.host + ":7482", "peer_advertise": n.host + ":7480",
		"announce_listen": n.host + ":7483", "ready_listen": n.host + ":7484", "metrics_listen": n.host + ":7485",
		"upstream_address": n.upstreamAddress(), "store_address": c.store, "heartbeat": reportInterval.String(),
		"shutdown_grace": grace.String(), "strict_revoke": c.strictRevoke,
		// Enough for all requests of the load.
		"log_lines_per_second": 5000,
	}
	if c.rollouts {
		settings["expose_per_mille"], settings["expose_slack"], settings["rollback"] = exposePerMille, exposeSlack, rollback.String()
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	n.settingsFile = filepath.Join(c.dir, name+".hujson")
	if err := os.WriteFile(n.settingsFile, text, 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(c.dir, name+".log")); err != nil {
		return nil, err
	}
	if err := n.startUpstream(); err != nil {
		return nil, err
	}
	return n, n.start()
}

// hostCount is the number of loopback addresses assigned so far.
var hostCount int

// host returns a loopback address that no other node uses. It depends on the
// process id, because other test processes may use the same ports.
func host() string {
	const first, spread, last = 10, 240, 250
	hostCount++
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%spread, hostCount/last, 1+hostCount%last)
}

func (n *node) upstreamAddress() string { return n.host + ":7490" }

// start starts a new process of the daemon.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startLocked()
}

// startLocked is start for callers that hold mu.
func (n *node) startLocked() error {
	process := exec.Command(n.binary, "--settings", n.settingsFile)
	process.Stdout, process.Stderr = n.log, n.log
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.started, n.ended, n.disturbed, n.pauses = process, time.Now(), ended, false, 0
	go func() {
		// The result is read from ProcessState.
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the current process and returns the process and the
// channel that is closed when it has ended. disturbs says that the signal makes
// a planned stop in progress unfit for checking.
func (n *node) signal(s syscall.Signal, disturbs bool) (*exec.Cmd, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbed = n.disturbed || disturbs
	// An error means that the process has ended, which the channel reports.
	_ = n.process.Process.Signal(s)
	return n.process, n.ended
}

// kill kills the process and starts the next one.
func (n *node) kill() {
	defer n.disturbances.begin(process(n.number))()
	_, ended := n.signal(syscall.SIGKILL, true)
	n.restart(ended)
}

// pause suspends the process for the given time, or until another pause is over.
func (n *node) pause(duration time.Duration) {
	defer n.disturbances.begin(reach(n.number))()
	process := n.addPause()
	time.Sleep(duration)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != process {
		// It was killed meanwhile.
		return
	}
	n.pauses--
	if n.pauses == 0 {
		// An error means that the process has ended.
		_ = process.Process.Signal(syscall.SIGCONT)
	}
}

// addPause suspends the process and returns it.
func (n *node) addPause() *exec.Cmd {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbed = true
	n.pauses++
	// An error means that the process has ended.
	_ = n.process.Process.Signal(syscall.SIGSTOP)
	return n.process
}

// disturbLink gives the link a fault for the given time.
func (n *node) disturbLink(fault faultlink.Fault, duration time.Duration) {
	defer n.disturbances.begin(reach(n.number))()
	defer n.linkFaults.begin(fault)()
	time.Sleep(duration)
}

// stop performs a planned stop of the process and starts the next one.
func (n *node) stop() {
	began := time.Now()
	process, ended := n.signal(syscall.SIGTERM, false)
	select {
	case <-ended:
		// The process had ended before the signal.
		n.restart(ended)
		return
	default:
	}
	<-ended
	n.mu.Lock()
	undisturbed := !n.disturbed && n.process == process && began.Sub(n.started) > minStopUptime
	if undisturbed {
		n.stops = append(n.stops, plannedStop{n.started.Add(startTime), began, time.Now()})
	}
	n.mu.Unlock()
	if code := process.ProcessState.ExitCode(); undisturbed && code != 0 {
		n.problem("planned stop ended with exit code %d", code)
	}
	n.restart(ended)
}

// restart waits for the end of a process and starts the next one, unless
// another goroutine has started it already.
func (n *node) restart(ended chan struct{}) {
	<-ended
	time.Sleep(restartDelay)
	if err := n.startUnlessReplaced(ended); err != nil {
		n.problem("start: %v", err)
	}
}

// startUnlessReplaced starts the successor of the process that ended, unless it has
// one. Two faults may wait for the end of the same process.
func (n *node) startUnlessReplaced(ended chan struct{}) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended != ended {
		return nil
	}
	return n.startLocked()
}

// startUpstream starts the next upstream and its periodic reports.
func (n *node) startUpstream() error {
	id := fmt.Sprintf("i-%d-%d", n.number, len(n.upstreams))
	u, err := platformtest.NewUpstream(n.upstreamAddress(), platformtest.UpstreamConfig{
		ID: id, Service: n.Service, Version: n.version, Slots: slots, WorkOf: workOf, Control: n.host + ":7483",
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.upstream, n.cancel = u, cancel
	n.upstreams = append(n.upstreams, u)
	go u.ReportEvery(ctx, reportInterval)
	return nil
}

// workOf returns how long a request runs.
func workOf(target string) time.Duration {
	if strings.HasPrefix(target, longTarget) {
		return longWork
	}
	if strings.Contains(target, "/"+slowMark) {
		return slowWork
	}
	return workTime
}

// replaceUpstream ends the upstream, after draining it if planned and by a
// crash otherwise, and starts the next one.
func (n *node) replaceUpstream(planned bool) {
	n.replacing.Lock()
	defer n.replacing.Unlock()
	if n.retired {
		return
	}
	n.cancel()
	if planned {
		n.drainUpstream()
	}
	n.upstream.Kill()
	time.Sleep(restartDelay)
	if err := n.startUpstream(); err != nil {
		n.problem("next upstream: %v", err)
	}
}

// retireUpstream ends the upstream at once, for good.
func (n *node) retireUpstream() {
	n.replacing.Lock()
	defer n.replacing.Unlock()
	n.cancel()
	n.upstream.Kill()
	n.retired = true
}

const (
	// namedRate is the limit of requests a second that an upstream names, limitNotice
	// how long daemons may take to keep it, and limitedTime how long it is checked.
	namedRate   = 5
	limitNotice = time.Second
	limitedTime = 4 * time.Second
)

// limitUpstream makes the upstream name a limit for a while and checks that it gets no
// more, unless it or its daemon's process was replaced or paused meanwhile.
func (n *node) limitUpstream() {
	n.replacing.Lock()
	defer n.replacing.Unlock()
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	n.upstream.NameLimit(fmt.Sprint(namedRate))
	defer n.upstream.NameLimit("")
	time.Sleep(limitNotice)
	before := len(n.upstream.Runs())
	time.Sleep(limitedTime)
	got := len(n.upstream.Runs()) - before
	n.mu.Lock()
	excused := n.process != process || n.disturbed
	n.mu.Unlock()
	if allowed := platformtest.AllowedUnderLimit(namedRate, limitedTime); got > allowed && !excused {
		n.problem("an upstream that named a limit of %d a second got %d requests in %s, allowed %d", namedRate, got, limitedTime, allowed)
	}
}

// drainUpstream reports that the upstream is draining, and checks that no
// request reaches it once the daemon has acknowledged the report.
func (n *node) drainUpstream() {
	time.Sleep(2 * reportInterval)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	code, err := n.upstream.Report(ctx, "draining")
	if err != nil || code != http.StatusOK {
		// Without a running daemon there is no acknowledgement to check.
		return
	}
	time.Sleep(ackSlack)
	before := len(n.upstream.Runs())
	time.Sleep(3 * ackSlack)
	if after := len(n.upstream.Runs()); after != before {
		n.problem("%d requests reached an upstream after its draining was acknowledged", after-before)
	}
	// This fails if the daemon is down again; then the next upstream's report
	// replaces this upstream.
	_, _ = n.upstream.Deregister(ctx)
}

// configVersion returns the version of the configuration that the daemon has in
// force, read from its status page, or 0 when the daemon does not answer.
func (n *node) configVersion(client *http.Client) uint64 {
	response, err := client.Get("http://" + n.host + ":7485" + status.Path)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var s status.Daemon
	if json.NewDecoder(response.Body).Decode(&s) != nil {
		return 0
	}
	return s.ConfigVersion
}

// shutdown kills the daemon and the upstream and closes the link and the log.
func (n *node) shutdown() {
	n.signal(syscall.SIGKILL, true)
	n.cancel()
	n.upstream.Kill()
	n.peerLink.Close()
	_ = n.log.Close()
}
