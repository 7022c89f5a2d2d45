package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Mesh is a platform and the instances of one mesh, as processes on loopback.
type Mesh struct {
	Name string
	// Dir holds settings, address files and logs.
	Dir       string
	Binaries  Binaries
	Platform  *Platform
	Instances []*Instance
	// SettingsExtra is added to each daemon's settings, as lines of fields that
	// end in a comma.
	SettingsExtra string
}

// Platform is a running platform stand-in.
type Platform struct {
	*Process
	// URL is its base URL.
	URL string
}

// Addresses are where a daemon listens, as host:port.
type Addresses struct {
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Local    string `json:"local"`
	Instance string `json:"instance"`
}

// Instance is one slot: a daemon and the upstream beside it.
type Instance struct {
	DataCentre string
	Service    string
	Addresses
	Daemon   *Process
	Upstream *Upstream

	mesh  *Mesh
	slot  int
	slots int
}

// Upstream is a running upstream stand-in.
type Upstream struct {
	*Process
	Listen, Control string
}

// NewMesh returns a mesh without processes.
func NewMesh(name, dir string, binaries Binaries) *Mesh {
	return &Mesh{Name: name, Dir: dir, Binaries: binaries}
}

// StartPlatform starts the platform stand-in.
func (m *Mesh) StartPlatform(args ...string) error {
	file := filepath.Join(m.Dir, "platform.address")
	args = append([]string{"--listen", "127.0.0.1:0", "--address-file", file}, args...)
	process, err := m.Binaries.Start(m.Dir, "platform", "platform-standin", args...)
	if err != nil {
		return err
	}
	address, err := process.awaitText(file)
	if err != nil {
		return err
	}
	m.Platform = &Platform{Process: process, URL: "http://" + address}
	return nil
}

// Faults sets the stand-in's faults; body is the JSON of its /v1/faults.
func (p *Platform) Faults(body string) error {
	resp, err := http.Post(p.URL+"/v1/faults", "application/json", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("set faults: %s: %s", resp.Status, text)
	}
	return nil
}

// Add starts one instance: a daemon and its upstream.
func (m *Mesh) Add(dataCentre, service string, slots int, upstreamArgs ...string) (*Instance, error) {
	instance := &Instance{DataCentre: dataCentre, Service: service, mesh: m, slot: len(m.Instances), slots: slots}
	m.Instances = append(m.Instances, instance)
	if err := instance.StartDaemon(); err != nil {
		return nil, err
	}
	if service == "" {
		return instance, nil
	}
	return instance, instance.StartUpstream(upstreamArgs...)
}

// name is the instance's short name for files.
func (i *Instance) name() string { return fmt.Sprintf("%s-%02d", i.DataCentre, i.slot) }

// StartDaemon starts the instance's daemon, or starts it anew at the same
// addresses under the same instance id.
func (i *Instance) StartDaemon() error {
	file := filepath.Join(i.mesh.Dir, i.name()+".hujson")
	addressFile := filepath.Join(i.mesh.Dir, i.name()+".addresses")
	_ = os.Remove(addressFile)
	if err := os.WriteFile(file, []byte(i.settings()), 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	process, err := i.mesh.Binaries.Start(i.mesh.Dir, i.name()+".daemon", "godwitmountd",
		"--settings", file, "--address-file", addressFile)
	if err != nil {
		return err
	}
	i.Daemon = process
	var addresses Addresses
	if err := process.awaitJSON(addressFile, &addresses); err != nil {
		return err
	}
	if i.Caller == "" {
		i.Addresses = addresses
	}
	return nil
}

// settings is the daemon's settings file. The first start takes free ports;
// later ones keep them.
func (i *Instance) settings() string {
	caller, peer, local := "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	if i.Caller != "" {
		caller, peer, local = i.Caller, i.Peer, i.Local
	}
	platformURL := ""
	if i.mesh.Platform != nil {
		platformURL = i.mesh.Platform.URL
	}
	return fmt.Sprintf(`{
  "mesh": %q,
  "data_centre": %q,
  "instance": %q,
  "caller_listen": %q,
  "peer_listen": %q,
  "local_listen": %q,
  "platform_url": %q,
  "peers": [%s],
  %s
}
`, i.mesh.Name, i.DataCentre, i.name(), caller, peer, local, platformURL, i.firstPeers(), i.mesh.SettingsExtra)
}

// firstPeers quotes the addresses of up to three earlier instances.
func (i *Instance) firstPeers() string {
	const most = 3
	var quoted []string
	for _, other := range i.mesh.Instances {
		if other != i && other.Peer != "" && len(quoted) < most {
			quoted = append(quoted, fmt.Sprintf("%q", other.Peer))
		}
	}
	return strings.Join(quoted, ", ")
}

// StartUpstream starts the instance's upstream.
func (i *Instance) StartUpstream(args ...string) error {
	return i.startUpstream("upstream", args)
}

// RestartUpstream starts the upstream anew; its log goes to a file of its own.
func (i *Instance) RestartUpstream(suffix string, args ...string) error {
	return i.startUpstream("upstream-"+suffix, args)
}

func (i *Instance) startUpstream(log string, args []string) error {
	args = append([]string{
		"--instance", i.name(), "--service", i.Service,
		"--daemon", i.Local, "--slots", fmt.Sprint(i.slots),
	}, args...)
	process, err := i.mesh.Binaries.Start(i.mesh.Dir, i.name()+"."+log, "upstream-standin", args...)
	if err != nil {
		return err
	}
	i.Upstream = &Upstream{Process: process}
	return i.Upstream.awaitAddresses()
}

// awaitAddresses reads the addresses from the stand-in's first log line.
func (u *Upstream) awaitAddresses() error {
	return u.await("addresses", func() bool {
		scanner := bufio.NewScanner(strings.NewReader(u.Log()))
		for scanner.Scan() {
			var line struct{ Listen, Control string }
			if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Listen != "" {
				u.Listen, u.Control = line.Listen, line.Control
				return true
			}
		}
		return false
	})
}

// Ready reports whether the daemon holds a configuration.
func (i *Instance) Ready() bool {
	resp, err := http.Get("http://" + i.Local + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Config returns the configuration in force, as version/digest, or "".
func (i *Instance) Config() string {
	resp, err := http.Get("http://" + i.Local + "/healthz")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var state struct{ Config string }
	if json.NewDecoder(resp.Body).Decode(&state) != nil {
		return ""
	}
	return state.Config
}

// Await polls until done reports true, or ctx ends.
func Await(ctx context.Context, what string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Close kills every process that still runs.
func (m *Mesh) Close() {
	for _, instance := range m.Instances {
		if instance.Upstream != nil {
			instance.Upstream.Kill()
		}
		if instance.Daemon != nil {
			instance.Daemon.Kill()
		}
	}
	if m.Platform != nil {
		m.Platform.Kill()
	}
}
