package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
)

const diffHelp = `
Shows what differs between two manifests: services, routes and retry rules that
are added, removed, changed or moved, field by field. Comments and the order of
anything but routes make no difference. With --platform and one file, OLD is the
accepted manifest.`

type diffCommand struct {
	ExitCode bool   `long:"exit-code" description:"Exit with 1 when the manifests differ."`
	Platform string `long:"platform" value-name:"URL" description:"Base URL of the platform, to compare with the accepted manifest."`
	Args     struct {
		Files []flags.Filename `positional-arg-name:"[OLD] NEW" required:"1-2" description:"manifest files"`
	} `positional-args:"yes" required:"yes"`
}

// diffResult is what differs between two manifests.
type diffResult struct {
	// Old and New are digests; Old is empty when none was accepted yet.
	Old     string            `json:"old"`
	New     string            `json:"new"`
	Changes []manifest.Change `json:"changes"`
	// differs is the exit code when there are changes.
	differs ExitCode
}

func (c *diffCommand) run(ctx context.Context, _ io.Writer) (output, error) {
	old, err := c.old(ctx)
	if err != nil {
		return nil, err
	}
	new, err := readManifest(string(c.Args.Files[len(c.Args.Files)-1]))
	if err != nil {
		return nil, err
	}
	result := &diffResult{
		New:     new.Digest().String(),
		Changes: manifest.Diff(old, new),
	}
	if old != nil {
		result.Old = old.Digest().String()
	}
	if c.ExitCode {
		result.differs = ExitInvalid
	}
	return result, nil
}

// old returns the manifest to compare with: a file or the accepted one.
func (c *diffCommand) old(ctx context.Context) (*manifest.Manifest, error) {
	switch {
	case len(c.Args.Files) == 2 && c.Platform == "":
		return readManifest(string(c.Args.Files[0]))
	case len(c.Args.Files) == 1 && c.Platform != "":
		_, accepted, err := readAccepted(ctx, openPlatform(c.Platform))
		return accepted, err
	default:
		return nil, failed(ExitUsage, code.OK, "diff takes two files, or one file and --platform")
	}
}

func (r *diffResult) exit() ExitCode {
	if len(r.Changes) == 0 {
		return ExitOK
	}
	return r.differs
}

func (r *diffResult) writeText(w io.Writer) {
	if len(r.Changes) == 0 {
		fmt.Fprintln(w, "no differences")
		return
	}
	for _, change := range r.Changes {
		fmt.Fprintln(w, change)
	}
}
