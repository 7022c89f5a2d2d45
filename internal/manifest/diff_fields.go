package manifest

import (
	"bytes"
	"reflect"
	"strings"
)

// fieldText is one field of an entry, with its value as JSON.
type fieldText struct {
	field string
	// text is empty if the field is not set.
	text string
}

func dataCentreEntries(m *Manifest) []entry {
	entries := make([]entry, len(m.DataCentres))
	for i, name := range m.DataCentres {
		entries[i] = entry{name: name}
	}
	return entries
}

func serviceEntries(m *Manifest) []entry {
	entries := make([]entry, len(m.Services))
	for i := range m.Services {
		entries[i] = entry{m.Services[i].Name, fieldTexts(&m.Services[i])}
	}
	return entries
}

func routeEntries(m *Manifest) []entry {
	entries := make([]entry, len(m.Routes))
	for i := range m.Routes {
		entries[i] = entry{m.Routes[i].Name, fieldTexts(&m.Routes[i])}
	}
	return entries
}

func ruleEntries(m *Manifest) []entry {
	entries := make([]entry, len(m.RetryRules))
	for i := range m.RetryRules {
		entries[i] = entry{m.RetryRules[i].Name, fieldTexts(&m.RetryRules[i])}
	}
	return entries
}

func customerEntries(m *Manifest) []entry {
	entries := make([]entry, len(m.Customers))
	for i := range m.Customers {
		entries[i] = entry{m.Customers[i].Name, fieldTexts(&m.Customers[i])}
	}
	return entries
}

// fieldTexts returns the fields of the struct that entry points to, except its
// name. For all structs of one type, these are the same fields in the same order.
func fieldTexts(entry any) []fieldText {
	return appendFields(nil, "", reflect.ValueOf(entry).Elem())
}

// appendFields appends the fields of a struct. The fields of a nested struct get
// its name and a dot as prefix.
func appendFields(fields []fieldText, prefix string, value reflect.Value) []fieldText {
	for i := range value.NumField() {
		name, options, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		if name == "name" && prefix == "" {
			continue
		}
		fieldValue := value.Field(i)
		if fieldValue.Kind() == reflect.Struct {
			fields = appendFields(fields, prefix+name+".", fieldValue)
			continue
		}
		text := ""
		if options != "omitempty" || !isEmpty(fieldValue) {
			text = jsonText(printable(fieldValue.Interface()))
		}
		fields = append(fields, fieldText{prefix + name, text})
	}
	return fields
}

// isEmpty reports whether the JSON encoder omits the value of a field with the
// option omitempty.
func isEmpty(value reflect.Value) bool {
	return value.IsZero() || value.Kind() == reflect.Slice && value.Len() == 0
}

// printable returns the value of a field, or for keys their fingerprints.
func printable(value any) any {
	keys, ok := value.([]Key)
	if !ok {
		return value
	}
	fingerprints := make([]string, len(keys))
	for i, key := range keys {
		fingerprints[i] = key.Fingerprint()
	}
	return fingerprints
}

func quote(text string) string { return jsonText(text) }

func jsonText(value any) string {
	var out bytes.Buffer
	writeJSON(&out, value)
	return out.String()
}
