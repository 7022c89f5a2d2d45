package ctl

import (
	"context"
	"fmt"
	"io"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
	"godwitmount/internal/publish"
)

const proposeHelp = `
Checks a manifest and stores it on the platform under its digest. Nothing is in
force until somebody accepts the digest. Proposing the same manifest again
changes nothing. The result shows the accepted version and what would change.`

type proposeCommand struct {
	platformOptions
	Args manifestFile `positional-args:"yes" required:"yes"`
}

// proposal is a manifest that may be accepted.
type proposal struct {
	summary
	// Accepted is the version in place when the manifest was proposed; its
	// Version is 0 when there was none.
	Accepted configID          `json:"accepted"`
	Changes  []manifest.Change `json:"changes"`
}

func (c *proposeCommand) run(ctx context.Context, _ io.Writer) (output, error) {
	m, err := readManifest(string(c.Args.File))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	store := openPlatform(c.Platform)
	head, accepted, err := readAccepted(ctx, store)
	if err != nil {
		return nil, err
	}
	if err := sameMesh(accepted, m); err != nil {
		return nil, err
	}
	publisher := publish.New(store, publish.DefaultConfig())
	if _, err := publisher.Propose(ctx, m.Canonical()); err != nil {
		return nil, platformFailure(err)
	}
	return &proposal{
		summary:  *summarize(string(c.Args.File), m),
		Accepted: configOf(head),
		Changes:  manifest.Diff(accepted, m),
	}, nil
}

// sameMesh refuses a manifest for another mesh than the platform's. Daemons
// would refuse it, too.
func sameMesh(accepted, proposed *manifest.Manifest) error {
	if accepted == nil || accepted.Mesh == proposed.Mesh {
		return nil
	}
	return failed(ExitInvalid, code.ManifestOutOfRange, "the platform holds manifests of mesh %q; this one is of mesh %q", accepted.Mesh, proposed.Mesh)
}

func (p *proposal) writeText(w io.Writer) {
	fmt.Fprintf(w, "proposed %s\n", p.Digest)
	fmt.Fprintf(w, "accepted version is %s; changes against it:\n", p.Accepted)
	changes := diffResult{Changes: p.Changes}
	changes.writeText(w)
	fmt.Fprintf(w, "to accept: %s accept %s --expect %d\n", programName, p.Digest, p.Accepted.Version)
}
