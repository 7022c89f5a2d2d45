package ctl

import (
	"context"
	"fmt"
	"io"

	"godwitmount/internal/version"
)

const versionHelp = `
Prints the release and the commit that the tool was built from.`

type versionCommand struct{}

// versionInfo describes the tool's build.
type versionInfo struct {
	version.Info
}

func (versionCommand) run(context.Context, io.Writer) (output, error) {
	return versionInfo{version.Get()}, nil
}

func (v versionInfo) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s %s %s\n", programName, v.Info, v.Go)
}
