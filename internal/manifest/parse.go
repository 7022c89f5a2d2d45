package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// Problem is one thing wrong with a manifest.
type Problem = strictjson.Problem

// Problems lists everything wrong with a manifest, in the order of the file.
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

// canonicalFile stands for the file name in problems of a canonical body.
const canonicalFile = "canonical"

// Parse reads a manifest in JSON with comments. It returns either a valid
// manifest with all defaults filled in, or every problem found.
func Parse(file string, source []byte) (*Manifest, Problems) {
	if len(source) > MaxSourceSize {
		return nil, Problems{strictjson.Whole(file, code.ManifestTooLarge, "%d bytes exceed the limit of %d", len(source), MaxSourceSize)}
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
		return nil, Problems{strictjson.Whole(file, code.ManifestTooLarge, "the canonical form of %d bytes exceeds the limit of %d", size, MaxSourceSize)}
	}
	return m, nil
}

// ParseCanonical reads a body made by Canonical. A body that is not byte for
// byte in canonical form is refused, so that a digest names one meaning. Routes
// that can never be taken are let pass: they do no harm in force. A panic inside
// comes out as an error.
func ParseCanonical(body []byte) (m *Manifest, err error) {
	defer recoverAs("parse manifest", &err)
	return parseCanonical(body)
}

func parseCanonical(body []byte) (*Manifest, error) {
	if m, ok := parseQuickly(body); ok {
		return m, nil
	}
	_, problems := Parse(canonicalFile, body)
	if problems != nil {
		return nil, problems
	}
	return nil, fmt.Errorf("manifest body is not in canonical form")
}

// parseQuickly reads a body without keeping the place of each value. Unknown,
// repeated and absent fields need no check of their own: they would make the
// canonical form differ from the body.
func parseQuickly(body []byte) (*Manifest, bool) {
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

// recoverAs turns a panic of the function that defers it into an error, so
// that no manifest can stop a daemon.
func recoverAs(work string, err *error) {
	if cause := recover(); cause != nil {
		*err = fmt.Errorf("%s: panic: %v", work, cause)
	}
}
