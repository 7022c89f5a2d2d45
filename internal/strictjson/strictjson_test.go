package strictjson

import (
	"fmt"
	"testing"

	"godwitmount/internal/code"
)

type inner struct {
	Count int32    `json:"count" strict:"required"`
	Tags  []string `json:"tags"`
}

type outer struct {
	Name  string `json:"na/me"`
	Inner *inner `json:"inner"`
	Skip  string
}

var testCodes = Codes{Syntax: 101, UnknownField: 102, WrongType: 103, MissingField: 104, Duplicate: 105, OutOfRange: 108}

func decode(source string) (*outer, *Document) {
	target := &outer{}
	return target, Decode("f", []byte(source), testCodes, target)
}

func TestDecodeSetsFields(t *testing.T) {
	got, doc := decode(`{"na/me": "a\u0041\n\"é", "inner": {"count": -7, "tags": ["x", "y"]}, /* c */}`)
	if doc.Problems() != nil {
		t.Fatal(doc.Problems())
	}
	if got.Name != "aA\n\"é" || got.Inner.Count != -7 || fmt.Sprint(got.Inner.Tags) != "[x y]" {
		t.Errorf("%+v, inner %+v", got, got.Inner)
	}
	if absent, doc := decode(`{"inner": null}`); absent.Inner != nil || doc.Problems() != nil {
		t.Errorf("null decodes to %+v, %v", absent.Inner, doc.Problems())
	}
}

// TestPositionsCountCharacters checks positions in lines that end in CR LF and
// after characters of several bytes.
func TestPositionsCountCharacters(t *testing.T) {
	_, doc := decode("{\r\n  /* é€ */ \"inner\": {\"count\": 99999999999},\r\n\"Skip\": 1}")
	doc.Add("/na~1me", code.ManifestDangling, "absent value")
	want := Problems{
		{Line: 1, Column: 1, Code: code.ManifestDangling, Path: "/na~1me"},
		{Line: 2, Column: 31, Code: testCodes.OutOfRange, Path: "/inner/count"},
		{Line: 3, Column: 1, Code: testCodes.UnknownField, Path: "/Skip"},
	}
	got := doc.Problems()
	if len(got) != len(want) {
		t.Fatal(got)
	}
	for i, w := range want {
		g := got[i]
		if g.Line != w.Line || g.Column != w.Column || g.Code != w.Code || g.Path != w.Path {
			t.Errorf("problem %d: %+v, want %+v", i, g, w)
		}
	}
}

// TestAddSkipsUndecodedValues checks that a value which can't be decoded causes
// only one problem, and that Decoded and Present report it.
func TestAddSkipsUndecodedValues(t *testing.T) {
	_, doc := decode(`{"inner": {"tags": [1, "x"]}}`)
	doc.Add(Path("inner", "count"), testCodes.OutOfRange, "0 is too small")
	doc.Add(Path("inner", "tags", 0), testCodes.OutOfRange, "empty tag")
	doc.Add(Path("inner", "tags", 1), testCodes.OutOfRange, "short tag")
	problems := doc.Problems()
	if len(problems) != 3 || problems[2].Path != "/inner/tags/1" {
		t.Errorf("%v", problems)
	}
	for path, want := range map[string]bool{"/inner": false, "/inner/tags": false, "/inner/tags/0": false, "/inner/tags/1": true, "/na~1me": true} {
		if doc.Decoded(path) != want {
			t.Errorf("Decoded(%q) is %t", path, !want)
		}
	}
	if doc.Present("/inner/count") || !doc.Present("/inner/tags/1") {
		t.Error("Present: want false for an absent value and true for an existing one")
	}
}
