package daemon

import (
	"context"
	"fmt"

	"godwitmount/internal/claim"
	"godwitmount/internal/confsync"
	"godwitmount/internal/control"
	"godwitmount/internal/manifest"
	"godwitmount/internal/membership"
	"godwitmount/internal/platform"
	"godwitmount/internal/quarantine"
	"godwitmount/internal/version"
)

// controlConfig joins the settings with the defaults of each reducer.
func (d *Daemon) controlConfig(incarnation uint64) control.Config {
	s := d.cfg.Settings
	sync := confsync.DefaultConfig()
	sync.Mesh = s.Mesh
	sync.Instance = d.instance
	sync.DataCentre = s.DataCentre
	sync.Incarnation = incarnation
	sync.Compile = compilerFor(s.Mesh)
	sync.MakeDelta = manifest.MakeDelta
	sync.ApplyDelta = manifest.ApplyDelta
	return control.Config{
		Membership: membership.Config{
			Mesh:        s.Mesh,
			Instance:    d.instance,
			Incarnation: incarnation,
			DataCentre:  s.DataCentre,
			Address:     d.listeners.peer.Addr().String(),
			Peers:       s.Peers,
		},
		Sync:       sync,
		Claim:      claim.DefaultConfig(s.Mesh, s.DataCentre),
		Quarantine: quarantine.DefaultConfig(d.instance),
		Release:    version.Get().String(),
	}
}

// compilerFor returns a compiler that refuses manifests of another mesh.
func compilerFor(mesh string) func([]byte) (*manifest.Table, error) {
	return func(body []byte) (*manifest.Table, error) {
		parsed, err := manifest.ParseCanonical(body)
		if err != nil {
			return nil, err
		}
		if parsed.Mesh != mesh {
			return nil, fmt.Errorf("manifest is of mesh %q, not %q", parsed.Mesh, mesh)
		}
		return manifest.Compile(parsed)
	}
}

// newStore returns the platform's client, or a store that is always away when
// the settings name no platform.
func newStore(url string) platform.Store {
	if url == "" {
		return noPlatform{}
	}
	return platform.NewClient(url, platform.DefaultClientConfig())
}

// noPlatform is the store of a daemon without a platform.
type noPlatform struct{}

func (noPlatform) Read(context.Context, string) (platform.Row, error) {
	return platform.Row{}, platform.ErrUnavailable
}

func (noPlatform) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (noPlatform) Transact(context.Context, platform.Transaction) (platform.Result, error) {
	return platform.Result{}, platform.ErrUnavailable
}

func (noPlatform) PutObject(context.Context, string, []byte) error {
	return platform.ErrUnavailable
}

func (noPlatform) GetObject(context.Context, string) ([]byte, error) {
	return nil, platform.ErrUnavailable
}
