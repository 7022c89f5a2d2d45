package ctl

import (
	"encoding/json"
	"errors"
	"fmt"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// failure is an error with its exit code and its result code, which is code.OK
// where there is none.
type failure struct {
	exit ExitCode
	code code.Code
	text string
}

// Error implements error.
func (f *failure) Error() string {
	if f.code == code.OK {
		return f.text
	}
	return fmt.Sprintf("%d %s: %s", f.code, f.code, f.text)
}

func failed(exit ExitCode, c code.Code, format string, args ...any) error {
	return &failure{exit: exit, code: c, text: fmt.Sprintf(format, args...)}
}

// errorJSON is what --json writes for an error.
type errorJSON struct {
	Error    *errorDetail        `json:"error,omitempty"`
	Problems strictjson.Problems `json:"problems,omitempty"`
	Exit     ExitCode            `json:"exit"`
}

type errorDetail struct {
	Code code.Code `json:"code,omitempty"`
	Name string    `json:"name,omitempty"`
	Text string    `json:"text"`
}

// report writes the result of a command.
func (t *tool) report(result output) {
	if t.options.JSON {
		t.writeJSON(result)
		return
	}
	result.writeText(t.out)
}

// reportError writes an error and returns its exit code.
func (t *tool) reportError(err error) ExitCode {
	var problems strictjson.Problems
	if errors.As(err, &problems) {
		return t.reportProblems(problems)
	}
	var f *failure
	if !errors.As(err, &f) {
		f = &failure{exit: ExitUnavailable, text: err.Error()}
	}
	if !t.options.JSON {
		fmt.Fprintf(t.err, "%s: %s\n", programName, f.Error())
		return f.exit
	}
	detail := &errorDetail{Code: f.code, Text: f.text}
	if f.code != code.OK {
		detail.Name = f.code.String()
	}
	t.writeJSON(errorJSON{Error: detail, Exit: f.exit})
	return f.exit
}

func (t *tool) reportProblems(problems strictjson.Problems) ExitCode {
	exit := ExitInvalid
	if problems.Has(code.SettingsUnreadable) {
		exit = ExitUnavailable
	}
	if t.options.JSON {
		t.writeJSON(errorJSON{Problems: problems, Exit: exit})
		return exit
	}
	for _, p := range problems {
		fmt.Fprintln(t.err, p)
	}
	return exit
}

func (t *tool) writeJSON(value any) {
	encoder := json.NewEncoder(t.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintf(t.err, "%s: write: %v\n", programName, err)
	}
}
