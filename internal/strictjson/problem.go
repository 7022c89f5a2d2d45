// Package strictjson decodes JSON with comments into typed structs and reports
// all problems, each with its position in the file.
//
// The packages manifest and settings share it. Decode finds syntax errors,
// unknown, missing and repeated fields, wrong types, and integers that don't fit
// their type. The two packages check the values and add their problems with
// Document.Add.
package strictjson

import (
	"fmt"
	"slices"
	"strings"

	"godwitmount/internal/code"
)

// Problem is one error in a file.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1, columns in characters. Both are 0 if the
	// problem concerns the file as a whole.
	Line   int       `json:"line"`
	Column int       `json:"column"`
	Code   code.Code `json:"code"`
	// Name is the code's stable name.
	Name string `json:"name"`
	// Path is the JSON pointer (RFC 6901) of the value. It is empty for the
	// outermost value and for the file as a whole.
	Path string `json:"path"`
	Text string `json:"text"`
}

// String returns "file:line:column: code name: text".
func (p Problem) String() string {
	position := p.File
	if p.Line > 0 {
		position = fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
	return fmt.Sprintf("%s: %d %s: %s", position, p.Code, p.Code, p.Text)
}

// Problems lists the problems of a file, in the order of the file. Use Err to
// convert it to an error: an empty Problems stored in an error isn't nil.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Has reports whether any of the problems has the code.
func (ps Problems) Has(c code.Code) bool {
	return slices.ContainsFunc(ps, func(p Problem) bool { return p.Code == c })
}

// FileProblem returns a problem that concerns the file as a whole, without a
// position.
func FileProblem(file string, c code.Code, format string, args ...any) Problem {
	return Problem{File: file, Code: c, Name: c.String(), Text: fmt.Sprintf(format, args...)}
}

// Codes holds the result codes for the problems of one kind of file.
type Codes struct {
	Syntax       code.Code
	UnknownField code.Code
	WrongType    code.Code
	MissingField code.Code
	Duplicate    code.Code
	OutOfRange   code.Code
}
