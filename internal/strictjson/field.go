package strictjson

import (
	"reflect"
	"strings"
	"sync"
)

// field is one struct field that a file may set.
type field struct {
	name     string
	index    int
	required bool
}

// fieldCache holds the fields of each struct type that was decoded.
var fieldCache sync.Map

func fieldsOf(t reflect.Type) []field {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.([]field)
	}
	fields := readFields(t)
	fieldCache.Store(t, fields)
	return fields
}

func readFields(t reflect.Type) []field {
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

func find(fields []field, name string) (field, bool) {
	for _, f := range fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

func names(fields []field) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.name
	}
	return strings.Join(all, ", ")
}
