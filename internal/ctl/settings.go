package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"godwitmount/internal/settings"
)

const settingsHelp = `
Commands for the settings files of godwitmountd.`

const settingsCheckHelp = `
Reads a daemon's settings file in JSON with comments and reports every problem
with its file, line, column and code. With --json it prints the settings with
all defaults filled in.`

type settingsCheckCommand struct {
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"settings file"`
	} `positional-args:"yes" required:"yes"`
}

// checkedSettings holds valid settings and the name of their file.
type checkedSettings struct {
	File     string           `json:"file"`
	Settings *settings.Daemon `json:"settings"`
}

func (c *settingsCheckCommand) run(context.Context, io.Writer) (output, error) {
	daemon, problems := settings.Load(string(c.Args.File))
	if problems != nil {
		return nil, problems
	}
	return &checkedSettings{File: string(c.Args.File), Settings: daemon}, nil
}

func (s *checkedSettings) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s is valid\n", s.File)
	fmt.Fprintf(w, "mesh         %s\n", s.Settings.Mesh)
	fmt.Fprintf(w, "data centre  %s\n", s.Settings.DataCentre)
	fmt.Fprintf(w, "instance     %s\n", s.Settings.Instance)
}
