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

// Document is a decoded file: the places of its values and the problems found
// so far.
type Document struct {
	file   string
	source []byte
	codes  Codes
	// lines holds the offset of each line's first byte.
	lines []int
	// offsets maps the JSON pointer of each value present to its offset.
	offsets  map[string]int
	problems []placed
	// undecoded holds the paths of values that could not be decoded and so
	// say nothing.
	undecoded map[string]bool
}

// placed is a problem with its byte offset, or -1 for the whole file.
type placed struct {
	Problem
	offset int
}

// NewDocument returns a document without source, for values that did not come
// from a file: every problem is placed at its start.
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

func lineStarts(source []byte) []int {
	starts := []int{0}
	for i, b := range source {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// Add reports a problem with the value at the path. When the file has no such
// value, the nearest value around it gives the place. A value that could not
// be decoded is passed over: its problem is known already.
func (d *Document) Add(path string, c code.Code, format string, args ...any) {
	for around := path; ; {
		if d.undecoded[around] {
			return
		}
		cut := strings.LastIndexByte(around, '/')
		if cut < 0 {
			break
		}
		around = around[:cut]
	}
	d.addAt(d.offsetOf(path), path, c, fmt.Sprintf(format, args...))
}

// Present reports whether the file has a value at the path.
func (d *Document) Present(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

// Decoded reports whether the value at the path and everything in it could be
// decoded. Checks across several values are meaningless without.
func (d *Document) Decoded(path string) bool {
	for bad := range d.undecoded {
		if bad == "" || bad == path || strings.HasPrefix(bad, path+"/") {
			return false
		}
	}
	return true
}

// Line returns the line of the value at the path, counted from 1.
func (d *Document) Line(path string) int {
	line, _ := d.position(d.offsetOf(path))
	return line
}

// Problems returns what was found so far, in the order of the file.
func (d *Document) Problems() Problems {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b placed) int { return a.offset - b.offset })
	problems := make(Problems, len(d.problems))
	for i, p := range d.problems {
		problems[i] = p.Problem
	}
	return problems
}

// refuse reports a value that could not be decoded.
func (d *Document) refuse(offset int, path string, c code.Code, format string, args ...any) {
	d.undecoded[path] = true
	d.addAt(offset, path, c, fmt.Sprintf(format, args...))
}

func (d *Document) addAt(offset int, path string, c code.Code, text string) {
	line, column := d.position(offset)
	d.problems = append(d.problems, placed{
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

// offsetOf returns the offset of the value at the path or of the nearest value
// around it.
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

func (d *Document) position(offset int) (line, column int) {
	line = sort.SearchInts(d.lines, offset+1)
	start := d.lines[line-1]
	return line, 1 + utf8.RuneCount(d.source[start:offset])
}

// Path joins the parts of a JSON pointer: names (string) and indexes (int).
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
