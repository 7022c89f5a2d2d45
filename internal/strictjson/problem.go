// Package strictjson decodes JSON with comments into typed structs and reports
// everything that is wrong with it, each problem with its place in the file.
//
// It is the common ground of manifest and settings files: unknown fields,
// wrong types, absent and repeated fields are found here; what the values mean
// is checked by those packages, which add problems of their own through
// Document.Add.
package strictjson

import (
	"fmt"
	"slices"
	"strings"

	"godwitmount/internal/code"
)

// Problem is one thing wrong with a file.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1; columns count characters. Both are 0 when
	// the problem is with the file as a whole.
	Line   int       `json:"line"`
	Column int       `json:"column"`
	Code   code.Code `json:"code"`
	// Name is the code's stable name.
	Name string `json:"name"`
	// Path is the JSON pointer of the value, or empty for the whole file.
	Path string `json:"path"`
	Text string `json:"text"`
}

// String returns "file:line:column: code name: text".
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
	return fmt.Sprintf("%s: %d %s: %s", place, p.Code, p.Code, p.Text)
}

// Problems lists what is wrong with a file, in the order of the file. It is
// an error when it is not empty; use Err to get one.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil when there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Has reports whether some problem has the code.
func (ps Problems) Has(c code.Code) bool {
	return slices.ContainsFunc(ps, func(p Problem) bool { return p.Code == c })
}

// Whole makes the problem of a file that cannot be judged value by value.
func Whole(file string, c code.Code, format string, args ...any) Problem {
	return Problem{File: file, Code: c, Name: c.String(), Text: fmt.Sprintf(format, args...)}
}

// Codes are the result codes of one kind of file.
type Codes struct {
	Syntax       code.Code
	UnknownField code.Code
	WrongType    code.Code
	MissingField code.Code
	Duplicate    code.Code
	OutOfRange   code.Code
}
