package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// Problem is one error in a manifest.
type Problem = strictjson.Problem

// Problems lists all errors in a manifest, in the order of the file.
type Problems = strictjson.Problems

// codes are the result codes of manifest files.
var codes = strictjson.Codes{
	Syntax:       code.ManifestSyntax,
	UnknownField: code.ManifestUnknownField,
	WrongType:    code.ManifestWrongType,
	MissingField: code.ManifestMissingField,
	Duplicate:    code.ManifestDuplicate,
	OutOfRange:   code.ManifestOutOfRange,
}

// canonicalFile is the file name in problems of a canonical body.
const canonicalFile = "canonical"

// Parse parses and validates a manifest in JSON with comments; file is its name
// in problems. It returns either a valid manifest with all defaults filled in,
// or every problem found.
func Parse(file string, source []byte) (*Manifest, Problems) {
	if len(source) > MaxSourceSize {
		return nil, Problems{strictjson.FileProblem(file, code.ManifestTooLarge, "%d bytes exceed the limit of %d", len(source), MaxSourceSize)}
	}
	m := &Manifest{}
	doc := strictjson.Decode(file, source, codes, m)
	checkValues(m, doc)
	if doc.Decoded("/routes") {
		checkReachable(m, doc)
	}
	if problems := doc.Problems(); problems != nil {
		return nil, problems
	}
	m.normalize()
	if size := len(m.Canonical()); size > MaxSourceSize {
		return nil, Problems{strictjson.FileProblem(file, code.ManifestTooLarge, "the canonical form of %d bytes exceeds the limit of %d", size, MaxSourceSize)}
	}
	return m, nil
}

// ParseCanonical parses a body written by Canonical. It rejects a body that is
// not byte for byte in canonical form, so that equal manifests have equal
// digests. It accepts routes that can never match, because they are harmless to a
// running daemon, and does not check the syntax of paths and the range of per-try
// timeouts. A panic while parsing is returned as an error.
func ParseCanonical(body []byte) (m *Manifest, err error) {
	defer recoverAsError("parse manifest", &err)
	return parseCanonical(body)
}

func parseCanonical(body []byte) (*Manifest, error) {
	if m, ok := parseFast(body); ok {
		return m, nil
	}
	_, problems := Parse(canonicalFile, body)
	if problems != nil {
		return nil, problems
	}
	return nil, fmt.Errorf("manifest body is not in canonical form")
}

// parseFast parses a body without recording the position of each value, and
// reports whether the body is valid and canonical. Unknown, repeated and absent
// fields need no separate check: with them, the canonical form differs from the
// body. Checks that depend on Document.Present are skipped.
func parseFast(body []byte) (*Manifest, bool) {
	if len(body) > MaxSourceSize {
		return nil, false
	}
	m := &Manifest{}
	if err := json.Unmarshal(body, m); err != nil {
		return nil, false
	}
	doc := strictjson.NewDocument(canonicalFile, codes)
	checkValues(m, doc)
	if doc.Problems() != nil {
		return nil, false
	}
	return m, bytes.Equal(m.Canonical(), body)
}

// recoverAsError turns a panic in the function that defers it into an error, so
// that no manifest can crash a daemon.
func recoverAsError(operation string, err *error) {
	if cause := recover(); cause != nil {
		*err = fmt.Errorf("%s: panic: %v", operation, cause)
	}
}
