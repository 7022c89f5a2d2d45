package ctl

import (
	"fmt"
	"strings"
)

// ExitCode is the exit code of the tool.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the command did what it was asked for.
	ExitOK ExitCode = 0
	// ExitInvalid means that a file has problems, that no route takes the
	// request, that the platform holds no such manifest, or that manifests
	// differ.
	ExitInvalid ExitCode = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage ExitCode = 2
	// ExitUnavailable means that a file, the platform or every given daemon
	// could not be read. Nothing has been changed.
	ExitUnavailable ExitCode = 3
	// ExitConflict means that another manifest was accepted first.
	ExitConflict ExitCode = 4
	// ExitUnknown means that the platform did not say whether the acceptance
	// took effect. Repeating it with the same acceptance id is safe.
	ExitUnknown ExitCode = 5
	// ExitRefused means that a daemon refused the accepted configuration.
	ExitRefused ExitCode = 6
	// ExitNotInForce means that the configuration was accepted but was not in
	// force everywhere within the time allowed.
	ExitNotInForce ExitCode = 7
)

// exitCodes are the codes with their meaning, for the help text.
var exitCodes = []struct {
	code ExitCode
	text string
}{
	{ExitOK, "done"},
	{ExitInvalid, "a file has problems, no route takes the request, there is no such manifest, or diff --exit-code found differences"},
	{ExitUsage, "wrong command line"},
	{ExitUnavailable, "a file, the platform or every given daemon could not be read; nothing changed"},
	{ExitConflict, "another manifest was accepted first; nothing changed"},
	{ExitUnknown, "unknown whether the acceptance took effect; repeat it with the same --id"},
	{ExitRefused, "accepted, but a daemon refused the configuration"},
	{ExitNotInForce, "accepted, but not in force everywhere within the time allowed"},
}

func exitCodeHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:")
	for _, row := range exitCodes {
		fmt.Fprintf(&b, "\n  %d  %s", row.code, row.text)
	}
	return b.String()
}
