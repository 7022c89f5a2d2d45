package strictjson

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"godwitmount/internal/code"
)

// Document is a decoded file. It holds the positions of its values and the
// problems found so far. Paths are JSON pointers, as from Path.
type Document struct {
	file   string
	source []byte
	codes  Codes
	// lines holds the offset of the first byte of each line.
	lines []int
	// offsets maps the path of each value in the file to its byte offset.
	offsets  map[string]int
	problems []locatedProblem
	// undecoded holds the paths of values that could not be decoded, and of
	// missing, unknown and repeated fields. Checks of these values are
	// meaningless.
	undecoded map[string]bool
}

// locatedProblem is a problem with its byte offset in the source.
type locatedProblem struct {
	Problem
	offset int
}

// NewDocument returns a document without source, for values that don't come from
// a file. All its problems are at line 1, column 1.
func NewDocument(file string, codes Codes) *Document {
	return newDocument(file, nil, codes)
}

func newDocument(file string, source []byte, codes Codes) *Document {
	return &Document{
		file:      file,
		source:    source,
		codes:     codes,
		lines:     lineStarts(source),
		offsets:   map[string]int{},
		undecoded: map[string]bool{},
	}
}

// lineStarts returns the offset of the first byte of each line.
func lineStarts(source []byte) []int {
	starts := []int{0}
	for i, b := range source {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// Add adds a problem with the value at the path. If the file has no such value,
// the position is that of the nearest enclosing value. Add does nothing if the
// value or an enclosing one could not be decoded: that problem is already
// recorded.
func (d *Document) Add(path string, c code.Code, format string, args ...any) {
	for ancestor := path; ; {
		if d.undecoded[ancestor] {
			return
		}
		cut := strings.LastIndexByte(ancestor, '/')
		if cut < 0 {
			break
		}
		ancestor = ancestor[:cut]
	}
	d.addAt(d.offsetOf(path), path, c, fmt.Sprintf(format, args...))
}

// Present reports whether the file has a value at the path.
func (d *Document) Present(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

// Decoded reports whether the value at the path and all values in it could be
// decoded. Of the enclosing values, it considers only the outermost. A check that
// compares several values is meaningful only if all of them are decoded.
func (d *Document) Decoded(path string) bool {
	for failed := range d.undecoded {
		if failed == "" || failed == path || strings.HasPrefix(failed, path+"/") {
			return false
		}
	}
	return true
}

// Line returns the line of the value at the path, counted from 1. Without such a
// value it is the line of the nearest enclosing value.
func (d *Document) Line(path string) int {
	line, _ := d.position(d.offsetOf(path))
	return line
}

// Problems returns the problems found so far, in the order of the file, or nil.
func (d *Document) Problems() Problems {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b locatedProblem) int { return a.offset - b.offset })
	problems := make(Problems, len(d.problems))
	for i, p := range d.problems {
		problems[i] = p.Problem
	}
	return problems
}

// addUndecoded adds a problem with a value that could not be decoded, or with a
// missing, unknown or repeated field.
func (d *Document) addUndecoded(offset int, path string, c code.Code, format string, args ...any) {
	d.undecoded[path] = true
	d.addAt(offset, path, c, fmt.Sprintf(format, args...))
}

func (d *Document) addAt(offset int, path string, c code.Code, text string) {
	line, column := d.position(offset)
	d.problems = append(d.problems, locatedProblem{
		Problem: Problem{
			File:   d.file,
			Line:   line,
			Column: column,
			Code:   c,
			Name:   c.String(),
			Path:   path,
			Text:   text,
		},
		offset: offset,
	})
}

// offsetOf returns the offset of the value at the path, or of the nearest
// enclosing value if the file has no such value.
func (d *Document) offsetOf(path string) int {
	for {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
}

// position returns the line and the column of an offset, both counted from 1;
// columns count characters.
func (d *Document) position(offset int) (line, column int) {
	line = sort.SearchInts(d.lines, offset+1)
	start := d.lines[line-1]
	return line, 1 + utf8.RuneCount(d.source[start:offset])
}

// Path returns the JSON pointer (RFC 6901) with the given parts: field names
// (string) and array indexes (int). It panics on parts of other types.
func Path(parts ...any) string {
	var b strings.Builder
	for _, part := range parts {
		b.WriteByte('/')
		switch part := part.(type) {
		case int:
			b.WriteString(strconv.Itoa(part))
		case string:
			b.WriteString(pointerEscaper.Replace(part))
		default:
			panic(fmt.Sprintf("strictjson: path part %T", part))
		}
	}
	return b.String()
}

var pointerEscaper = strings.NewReplacer("~", "~0", "/", "~1")
