package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"godwitmount/internal/manifest"
)

const diffHelp = `
Shows the services, routes, retry rules and customers that were added, removed,
changed or moved between two manifests, field by field. Comments are ignored, and so is the
order of everything except routes.`

type diffCommand struct {
	ExitCode bool `long:"exit-code" description:"Exit with 1 when the manifests differ."`
	Args     struct {
		Old flags.Filename `positional-arg-name:"OLD" description:"manifest file"`
		New flags.Filename `positional-arg-name:"NEW" description:"manifest file"`
	} `positional-args:"yes" required:"yes"`
}

// diffResult holds the differences between two manifests.
type diffResult struct {
	// Old and New are the digests of the manifests.
	Old     string            `json:"old"`
	New     string            `json:"new"`
	Changes []manifest.Change `json:"changes"`
	// exitIfDifferent is the exit code if there are changes.
	exitIfDifferent ExitCode
}

func (c *diffCommand) run(context.Context, io.Writer) (output, error) {
	old, err := readManifest(string(c.Args.Old))
	if err != nil {
		return nil, err
	}
	new, err := readManifest(string(c.Args.New))
	if err != nil {
		return nil, err
	}
	result := &diffResult{
		Old:     old.Digest().String(),
		New:     new.Digest().String(),
		Changes: manifest.Diff(old, new),
	}
	if c.ExitCode {
		result.exitIfDifferent = ExitInvalid
	}
	return result, nil
}

func (r *diffResult) exit() ExitCode {
	if len(r.Changes) == 0 {
		return ExitOK
	}
	return r.exitIfDifferent
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
