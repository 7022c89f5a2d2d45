package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
	"godwitmount/internal/publish"
)

const acceptHelp = `
Makes a proposed manifest the next version. With --expect it is accepted only
when that version is still the accepted one; without, when nobody else accepts
between reading and writing. Repeating the command with the same --id is safe
and gives the same version.

With --wait the command follows the version until it is in force on every
instance of every data centre, and prints the progress on standard error. The
time allowed with --timeout covers accepting and waiting.`

type acceptCommand struct {
	platformOptions
	daemonOptions
	Expect     *uint64 `long:"expect" value-name:"VERSION" description:"Version that was reviewed against; 0 when none was accepted yet."`
	ID         string  `long:"id" value-name:"ACCEPTANCE-ID" description:"Unique name of this acceptance; made up by default."`
	By         string  `long:"by" value-name:"NAME" env:"USER" description:"Who accepts, for the history."`
	Note       string  `long:"note" value-name:"TEXT" description:"Why, for the history."`
	MinVersion uint64  `long:"min-version" value-name:"VERSION" description:"Take at least this version number; only after the platform was restored from old data."`
	Wait       bool    `long:"wait" description:"Wait until the version is in force everywhere; needs --daemon."`
	Args       struct {
		Digest string `positional-arg-name:"DIGEST" description:"digest that propose printed"`
	} `positional-args:"yes" required:"yes"`
}

// acceptance is what accept did.
type acceptance struct {
	configID
	// ID is the acceptance id.
	ID string `json:"acceptance"`
	// Wait is nil unless waiting was asked for.
	Wait *waitResult `json:"wait,omitempty"`
}

func (c *acceptCommand) run(ctx context.Context, progress io.Writer) (output, error) {
	digest, err := manifest.ParseDigest(c.Args.Digest)
	if err != nil {
		return nil, failed(ExitUsage, code.OK, "%v", err)
	}
	if c.Wait && len(c.Daemons) == 0 {
		return nil, failed(ExitUsage, code.OK, "--wait needs --daemon")
	}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	store := openPlatform(c.Platform)
	m, err := readProposed(ctx, store, digest)
	if err != nil {
		return nil, err
	}
	id, err := c.accept(ctx, store, digest, m)
	if err != nil {
		return nil, err
	}
	result := &acceptance{configID: configOf(id), ID: c.ID}
	if c.Wait {
		w := waiter{daemons: c.Daemons, mesh: m.Mesh, dataCentres: m.DataCentres, target: id, progress: progress}
		result.Wait = w.wait(ctx)
	}
	return result, nil
}

func (c *acceptCommand) accept(ctx context.Context, store platform.Store, digest manifest.Digest, m *manifest.Manifest) (manifest.ID, error) {
	base, err := c.base(ctx, store)
	if err != nil {
		return manifest.ID{}, err
	}
	_, accepted, err := readAccepted(ctx, store)
	if err != nil {
		return manifest.ID{}, err
	}
	if err := sameMesh(accepted, m); err != nil {
		return manifest.ID{}, err
	}
	id, err := publish.New(store, publish.DefaultConfig()).Accept(ctx, publish.Acceptance{
		ID:         c.ID,
		Digest:     digest,
		Base:       base,
		Operator:   c.By,
		Note:       c.Note,
		MinVersion: c.MinVersion,
	})
	if err != nil {
		return id, platformFailure(err)
	}
	return id, nil
}

// base returns the configuration that the manifest is to replace.
func (c *acceptCommand) base(ctx context.Context, store platform.Store) (manifest.ID, error) {
	switch {
	case c.Expect == nil:
		head, err := publish.ReadHead(ctx, store)
		return head.ID, platformFailure(err)
	case *c.Expect == 0:
		return manifest.ID{}, nil
	}
	row, err := publish.ReadVersion(ctx, store, *c.Expect)
	if errors.Is(err, platform.ErrNotFound) {
		return manifest.ID{}, failed(ExitConflict, code.PublishConflict, "version %d was never accepted", *c.Expect)
	}
	if err != nil {
		return manifest.ID{}, platformFailure(err)
	}
	id, err := row.ID()
	return id, platformFailure(err)
}

func (a *acceptance) exit() ExitCode {
	if a.Wait == nil {
		return ExitOK
	}
	return a.Wait.exit
}

func (a *acceptance) writeText(w io.Writer) {
	fmt.Fprintf(w, "accepted version %d, digest %s\n", a.Version, a.Digest)
	fmt.Fprintf(w, "acceptance id %s\n", a.ID)
	if a.Wait != nil {
		a.Wait.writeText(w)
	}
}
