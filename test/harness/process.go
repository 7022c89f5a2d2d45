// Package harness starts the real processes of a mesh on loopback, for the
// demonstration, the end-to-end tests and the measurements.
package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// startTimeout bounds the time until a process has written its addresses.
	startTimeout = 20 * time.Second
	// stopTimeout bounds a planned stop before the process is killed.
	stopTimeout = 20 * time.Second
	// pollInterval is the time between two looks at something awaited.
	pollInterval = 20 * time.Millisecond
)

// Binaries is a folder that holds the built commands.
type Binaries struct {
	Dir string
}

// Build compiles all commands of the module at root into dir.
func Build(ctx context.Context, root, dir string) (Binaries, error) {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("build commands: %w\n%s", err, out)
	}
	return Binaries{Dir: dir}, nil
}

// Process is one started command.
type Process struct {
	Name string
	// LogFile holds its standard output and error.
	LogFile string
	cmd     *exec.Cmd
	exited  chan struct{}
	err     error
}

// Start runs a command with its output in dir/name.log.
func (b Binaries) Start(dir, name, command string, args ...string) (*Process, error) {
	logFile := filepath.Join(dir, name+".log")
	out, err := os.Create(logFile)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(b.Dir, command), args...)
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, LogFile: logFile, cmd: cmd, exited: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	close(p.exited)
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Stop sends SIGTERM and waits for the process to end by itself. An exit
// status other than 0, or a stop that takes too long, is an error.
func (p *Process) Stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	select {
	case <-p.exited:
		return p.result()
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("stop %s: did not end within %s", p.Name, stopTimeout)
	}
}

// result is how an ended process ended.
func (p *Process) result() error {
	if p.err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", p.Name, p.err)
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Freeze stops the process without its knowledge, until Wake.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Wake lets a frozen process go on.
func (p *Process) Wake() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Log returns what the process has printed so far.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// await polls until done reports true, as long as the process runs and the
// start may take.
func (p *Process) await(what string, done func() bool) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if done() {
			return nil
		}
		if !p.Running() {
			return fmt.Errorf("%s ended while starting: %v\n%s", p.Name, p.err, p.Log())
		}
	}
	return fmt.Errorf("%s told no %s within %s\n%s", p.Name, what, startTimeout, p.Log())
}

// awaitJSON waits until file holds one JSON document and decodes it.
func (p *Process) awaitJSON(file string, into any) error {
	return p.await("addresses", func() bool {
		text, err := os.ReadFile(file)
		return err == nil && json.Unmarshal(text, into) == nil
	})
}

// awaitText waits until file holds a line and returns it.
func (p *Process) awaitText(file string) (string, error) {
	var line string
	err := p.await("address", func() bool {
		text, err := os.ReadFile(file)
		line = strings.TrimSpace(string(text))
		return err == nil && strings.HasSuffix(string(text), "\n")
	})
	return line, err
}
