package ctl

import (
	"fmt"
	"strings"
)

// ExitCode is an exit code of the tool.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitInvalid means that a file has problems, that no route matches the
	// request, that diff --exit-code found differences, or that no log line
	// belongs to the request.
	ExitInvalid ExitCode = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage ExitCode = 2
	// ExitUnavailable means that a file could not be read, or that no given
	// daemon answered.
	ExitUnavailable ExitCode = 3
)

// exitCodes lists the codes with their meaning for the help text, in the order of
// the codes. docs/OPERATIONS.md repeats the texts.
var exitCodes = []struct {
	code ExitCode
	text string
}{
	{ExitOK, "done"},
	{ExitInvalid, "a file has problems, no route takes the request, diff --exit-code found differences, or there is no line of the request"},
	{ExitUsage, "wrong command line"},
	{ExitUnavailable, "a file or every given daemon could not be read"},
}

func exitCodeHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:")
	for _, row := range exitCodes {
		fmt.Fprintf(&b, "\n  %d  %s", row.code, row.text)
	}
	return b.String()
}
