// Package ctl implements the commands of godwitmountctl. Each command returns
// either an output, which is written as text or as JSON, or an error, which
// determines the exit code.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/jessevdk/go-flags"
)

// programName is the tool's name in messages.
const programName = "godwitmountctl"

// globalOptions apply to every command.
type globalOptions struct {
	JSON bool `long:"json" description:"Write the result, or the error, as one JSON object on standard output."`
}

// command is one command. The parser sets its options before run is called.
type command interface {
	// run executes the command. Lines for the user may be written to progress
	// meanwhile.
	run(ctx context.Context, progress io.Writer) (output, error)
}

// output is the result of a command, encoded as JSON or written as text.
type output interface {
	writeText(w io.Writer)
}

// exiter is an output that determines the exit code, because it may not be a
// success. Other outputs have the exit code ExitOK.
type exiter interface {
	exit() ExitCode
}

// tool holds the command-line parser, the commands and the output streams.
type tool struct {
	parser   *flags.Parser
	options  globalOptions
	commands map[*flags.Command]command
	out, err io.Writer
}

// Run parses args, which exclude the program's name, runs the command and
// returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) ExitCode {
	t := newTool(stdout, stderr)
	if _, err := t.parser.ParseArgs(args); err != nil {
		return t.reportUsage(err)
	}
	result, err := t.selected().run(ctx, t.err)
	if err != nil {
		return t.reportError(err)
	}
	t.report(result)
	if e, ok := result.(exiter); ok {
		return e.exit()
	}
	return ExitOK
}

func newTool(stdout, stderr io.Writer) *tool {
	t := &tool{commands: map[*flags.Command]command{}, out: stdout, err: stderr}
	t.parser = flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	t.parser.ShortDescription = "checks configurations and inspects daemons"
	t.parser.LongDescription = "godwitmountctl checks the configuration files of a service mesh and inspects its daemons.\n\n" + exitCodeHelp()
	t.mustGroup(t.parser.AddGroup("Global options", "", &t.options))
	t.add(t.parser.Command, "check", "Check a manifest", checkHelp, &checkCommand{})
	t.add(t.parser.Command, "match", "Show which route a request takes, and why", matchHelp, &matchCommand{})
	t.add(t.parser.Command, "diff", "Show the differences between two manifests", diffHelp, &diffCommand{})
	settings := t.add(t.parser.Command, "settings", "Commands for settings files", settingsHelp, nil)
	t.add(settings, "check", "Check a daemon's settings file", settingsCheckHelp, &settingsCheckCommand{})
	t.add(t.parser.Command, "status", "Show a daemon's version, upstream and peers", statusHelp, &statusCommand{})
	t.add(t.parser.Command, "route", "Ask a daemon where a request would go now, and why", routeHelp, &routeCommand{})
	t.add(t.parser.Command, "explain", "Trace one request through the logs of the daemons", explainHelp, &explainCommand{})
	t.add(t.parser.Command, "completion", "Print a shell completion script", completionHelp, &completionCommand{})
	t.add(t.parser.Command, "version", "Print the version", versionHelp, &versionCommand{})
	return t
}

// add registers a command. With a nil command it registers a parent for
// subcommands.
func (t *tool) add(parent *flags.Command, name, short, long string, c command) *flags.Command {
	data := any(c)
	if c == nil {
		data = &struct{}{}
	}
	added, err := parent.AddCommand(name, short, strings.TrimSpace(long), data)
	if err != nil {
		panic(fmt.Sprintf("ctl: command %s: %v", name, err))
	}
	if c != nil {
		t.commands[added] = c
	}
	return added
}

// mustGroup panics if the options could not be registered.
func (t *tool) mustGroup(_ *flags.Group, err error) {
	if err != nil {
		panic(fmt.Sprintf("ctl: options: %v", err))
	}
}

// selected returns the command that the arguments name.
func (t *tool) selected() command {
	active := t.parser.Active
	for active.Active != nil {
		active = active.Active
	}
	return t.commands[active]
}

// reportUsage writes the help text if it was asked for, and otherwise the error
// of an invalid command line. It returns the exit code.
func (t *tool) reportUsage(err error) ExitCode {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(t.out, usage.Message)
		return ExitOK
	}
	return t.reportError(&failure{exit: ExitUsage, text: err.Error() + "; see " + programName + " --help"})
}
