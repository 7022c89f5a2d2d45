package strictjson

import (
	"reflect"
	"strings"
	"sync"
)

// field is a struct field that a file may set.
type field struct {
	// name is the field's name in the file.
	name string
	// index is the field's index in the struct.
	index    int
	required bool
}

// fieldCache caches the fields ([]field) of each struct type (reflect.Type).
var fieldCache sync.Map

func fieldsOf(t reflect.Type) []field {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.([]field)
	}
	fields := structFields(t)
	fieldCache.Store(t, fields)
	return fields
}

func structFields(t reflect.Type) []field {
	var fields []field
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		required := t.Field(i).Tag.Get("strict") == "required"
		fields = append(fields, field{name: name, index: i, required: required})
	}
	return fields
}

func findField(fields []field, name string) (field, bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}
