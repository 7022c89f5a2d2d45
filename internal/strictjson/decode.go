package strictjson

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Defaulter is implemented by structs that have defaults for absent fields.
type Defaulter interface {
	// SetDefaults is called before the struct is decoded.
	SetDefaults()
}

// Decode decodes source into the struct that target points to; file is the name
// of the source in problems. Struct fields have the tag `json:"name"`, without
// which they are ignored; with `strict:"required"`, a missing field is a problem.
// Fields may be strings, booleans, int, int32, int64, slices, structs, pointers
// (nil for null or an absent field) and encoding.TextUnmarshaler; Decode panics if
// it reaches a field of another type.
//
// The returned document holds the problems. A field that could not be decoded
// keeps its value from SetDefaults, except that a pointer then points to a zero
// value. If source is not JSON with comments, target is unchanged.
func Decode(file string, source []byte, codes Codes, target any) *Document {
	d := newDocument(file, source, codes)
	if offset := invalidUTF8Offset(source); offset >= 0 {
		d.addUndecoded(offset, "", codes.Syntax, "the text is not valid UTF-8")
		return d
	}
	if offset := tooDeepOffset(source); offset >= 0 {
		d.addUndecoded(offset, "", codes.Syntax, "values are nested more than %d deep", MaxDepth)
		return d
	}
	root, err := hujson.Parse(source)
	if err != nil {
		offset, text := d.syntaxError(err)
		d.addUndecoded(offset, "", codes.Syntax, "%s", text)
		return d
	}
	d.decode("", &root, reflect.ValueOf(target).Elem())
	return d
}

// invalidUTF8Offset returns the offset of the first byte that is not UTF-8, or -1.
func invalidUTF8Offset(source []byte) int {
	for i := 0; i < len(source); {
		r, size := utf8.DecodeRune(source[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}

// syntaxError extracts the position from the message of a parser error. It
// returns the offset and the message without the position, or offset 0 and the
// whole message if there is no position.
func (d *Document) syntaxError(err error) (offset int, text string) {
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return 0, err.Error()
	}
	offset = min(d.lines[line-1]+column-1, len(d.source))
	if inner := errors.Unwrap(err); inner != nil {
		return offset, inner.Error()
	}
	return offset, err.Error()
}

// decode decodes value, which has the given path, into target.
func (d *Document) decode(path string, value *hujson.Value, target reflect.Value) {
	d.offsets[path] = value.StartOffset
	if target.Kind() == reflect.Pointer {
		d.decodePointer(path, value, target)
		return
	}
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, value, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, value, target)
	case reflect.Slice:
		d.decodeSlice(path, value, target)
	default:
		d.decodeScalar(path, value, target)
	}
}

func (d *Document) decodePointer(path string, value *hujson.Value, target reflect.Value) {
	if value.Value.Kind() == 'n' {
		target.SetZero()
		return
	}
	target.Set(reflect.New(target.Type().Elem()))
	d.decode(path, value, target.Elem())
}

func (d *Document) decodeText(path string, value *hujson.Value, target encoding.TextUnmarshaler) {
	literal, ok := d.literal(path, value, '"', "a string")
	if !ok {
		return
	}
	if err := target.UnmarshalText([]byte(stringValue(literal))); err != nil {
		d.addUndecoded(value.StartOffset, path, d.codes.WrongType, "%v", err)
	}
}

func (d *Document) decodeSlice(path string, value *hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.wrongType(path, value, "an array")
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decode(path+"/"+strconv.Itoa(i), &array.Elements[i], slice.Index(i))
	}
	target.Set(slice)
}

func (d *Document) decodeStruct(path string, value *hujson.Value, target reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, value, "an object")
		return
	}
	if defaulter, ok := target.Addr().Interface().(Defaulter); ok {
		defaulter.SetDefaults()
	}
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		d.decodeMember(path, &object.Members[i], target, fields, seen)
	}
	for _, field := range fields {
		if field.required && !seen[field.name] {
			d.addUndecoded(value.StartOffset, path+"/"+field.name, d.codes.MissingField, "field %q is required", field.name)
		}
	}
}

func (d *Document) decodeMember(path string, member *hujson.ObjectMember, target reflect.Value, fields []field, seen map[string]bool) {
	name := stringValue(member.Name.Value.(hujson.Literal))
	memberPath := path + Path(name)
	field, known := findField(fields, name)
	switch {
	case !known:
		d.addUndecoded(member.Name.StartOffset, memberPath, d.codes.UnknownField, "unknown field %q; known are %s", name, fieldNames(fields))
	case seen[name]:
		d.addUndecoded(member.Name.StartOffset, memberPath, d.codes.Duplicate, "field %q is given twice", name)
	default:
		seen[name] = true
		d.decode(memberPath, &member.Value, target.Field(field.index))
	}
}

func (d *Document) decodeScalar(path string, value *hujson.Value, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		if literal, ok := d.literal(path, value, '"', "a string"); ok {
			target.SetString(stringValue(literal))
		}
	case reflect.Bool:
		d.decodeBool(path, value, target)
	case reflect.Int, reflect.Int64, reflect.Int32:
		d.decodeInt(path, value, target)
	case reflect.Float64:
		d.decodeFloat(path, value, target)
	default:
		panic(fmt.Sprintf("strictjson: field of type %s", target.Type()))
	}
}

func (d *Document) decodeBool(path string, value *hujson.Value, target reflect.Value) {
	switch value.Value.Kind() {
	case 't':
		target.SetBool(true)
	case 'f':
		target.SetBool(false)
	default:
		d.wrongType(path, value, "true or false")
	}
}

func (d *Document) decodeInt(path string, value *hujson.Value, target reflect.Value) {
	literal, ok := d.literal(path, value, '0', "an integer")
	if !ok {
		return
	}
	n, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
	switch {
	case errors.Is(err, strconv.ErrRange):
		d.addUndecoded(value.StartOffset, path, d.codes.OutOfRange, "%s is too large or too small", literal)
	case err != nil:
		d.addUndecoded(value.StartOffset, path, d.codes.WrongType, "%s is not an integer", literal)
	default:
		target.SetInt(n)
	}
}

func (d *Document) decodeFloat(path string, value *hujson.Value, target reflect.Value) {
	literal, ok := d.literal(path, value, '0', "a number")
	if !ok {
		return
	}
	n, err := strconv.ParseFloat(string(literal), 64)
	if err != nil {
		d.addUndecoded(value.StartOffset, path, d.codes.OutOfRange, "%s is too large or too small", literal)
		return
	}
	target.SetFloat(n)
}

// literal returns the value as a literal of the given kind, and reports whether
// it is one. If not, it adds a problem with want as the expected type.
func (d *Document) literal(path string, value *hujson.Value, kind hujson.Kind, want string) (hujson.Literal, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		d.wrongType(path, value, want)
		return nil, false
	}
	return literal, true
}

// stringValue returns the value of a string literal. Most literals have no
// escapes, so their value is the text between the quotes.
func stringValue(literal hujson.Literal) string {
	if bytes.IndexByte(literal, '\\') >= 0 {
		return literal.String()
	}
	return string(literal[1 : len(literal)-1])
}

func (d *Document) wrongType(path string, value *hujson.Value, want string) {
	d.addUndecoded(value.StartOffset, path, d.codes.WrongType, "want %s, found %s", want, describeKind(value.Value.Kind()))
}

func describeKind(kind hujson.Kind) string {
	switch kind {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	default:
		return "an array"
	}
}
