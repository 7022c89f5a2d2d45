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
	// request, or that manifests differ.
	ExitInvalid ExitCode = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage ExitCode = 2
	// ExitUnavailable means that a file or every given daemon could not be
	// read.
	ExitUnavailable ExitCode = 3
)

// exitCodes are the codes with their meaning, for the help text.
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
