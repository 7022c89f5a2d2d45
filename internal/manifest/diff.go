package manifest

import (
	"fmt"
	"strings"
)

// ChangeKind says how an entry differs between two manifests.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
	// Moved is a route whose order relative to other routes of both manifests
	// changed.
	Moved ChangeKind = "moved"
)

// EntryKind is the kind of manifest entry that changed.
type EntryKind string

// The kinds of entry.
const (
	EntryMesh       EntryKind = "mesh"
	EntryLimits     EntryKind = "limits"
	EntryDataCentre EntryKind = "data centre"
	EntryService    EntryKind = "service"
	EntryRoute      EntryKind = "route"
	EntryRetryRule  EntryKind = "retry rule"
	EntryCustomer   EntryKind = "customer"
)

// Change is one difference between two manifests.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Entry EntryKind  `json:"entry"`
	Name  string     `json:"name"`
	// Fields holds the fields that differ; for added and removed entries, all
	// fields that are set; for moved routes, only the new position.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field that differs. Old and New are values as JSON, or empty
// if the field is not set in that manifest. For a moved route, New describes the
// position instead and Old is empty.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String returns one line for the change and one indented line for each field.
func (c Change) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %q", c.Kind, c.Entry, c.Name)
	for _, f := range c.Fields {
		b.WriteString("\n    ")
		b.WriteString(f.String())
	}
	return b.String()
}

// String returns "field: old -> new", "field: new" if Old is empty, or "field:
// was old" if New is empty.
func (f FieldChange) String() string {
	switch {
	case f.Old == "":
		return fmt.Sprintf("%s: %s", f.Field, f.New)
	case f.New == "":
		return fmt.Sprintf("%s: was %s", f.Field, f.Old)
	default:
		return fmt.Sprintf("%s: %s -> %s", f.Field, f.Old, f.New)
	}
}

// Diff returns the differences between two valid manifests: mesh, limits, data
// centres, services, routes, retry rules, customers, in this order. Keys appear as
// fingerprints. Within each kind, the entries of the old manifest come first, in its
// order, then the added ones; moved routes follow the other changes of routes. A nil
// manifest is one without entries.
func Diff(old, new *Manifest) []Change {
	before, after := normalized(old), normalized(new)
	var changes []Change
	changes = append(changes, diffMesh(before, after)...)
	changes = append(changes, diffLimits(before, after)...)
	changes = append(changes, diffEntries(EntryDataCentre, dataCentreEntries(before), dataCentreEntries(after))...)
	changes = append(changes, diffEntries(EntryService, serviceEntries(before), serviceEntries(after))...)
	routesBefore, routesAfter := routeEntries(before), routeEntries(after)
	changes = append(changes, diffEntries(EntryRoute, routesBefore, routesAfter)...)
	changes = append(changes, diffOrder(routesBefore, routesAfter)...)
	changes = append(changes, diffEntries(EntryRetryRule, ruleEntries(before), ruleEntries(after))...)
	changes = append(changes, diffEntries(EntryCustomer, customerEntries(before), customerEntries(after))...)
	return changes
}

// normalized returns a normalized copy of the manifest, empty for nil.
func normalized(m *Manifest) *Manifest {
	if m == nil {
		return &Manifest{}
	}
	c := m.clone()
	c.normalize()
	return c
}

// diffMesh compares the names of the meshes. It returns nil if one is empty: only
// a nil manifest has no name.
func diffMesh(old, new *Manifest) []Change {
	if old.Mesh == new.Mesh || old.Mesh == "" || new.Mesh == "" {
		return nil
	}
	field := FieldChange{Field: "mesh", Old: quote(old.Mesh), New: quote(new.Mesh)}
	return []Change{{Kind: Changed, Entry: EntryMesh, Name: new.Mesh, Fields: []FieldChange{field}}}
}

// diffLimits compares the limits for callers.
func diffLimits(old, new *Manifest) []Change {
	fields := diffFields(fieldTexts(&old.Limits), fieldTexts(&new.Limits))
	if len(fields) == 0 {
		return nil
	}
	return []Change{{Kind: Changed, Entry: EntryLimits, Name: "limits", Fields: fields}}
}

// entry is one named element of a manifest's lists, with its fields as text.
type entry struct {
	name   string
	fields []fieldText
}

func diffEntries(kind EntryKind, old, new []entry) []Change {
	before, after := byName(old), byName(new)
	var changes []Change
	for _, e := range old {
		other, kept := after[e.name]
		if !kept {
			changes = append(changes, Change{Kind: Removed, Entry: kind, Name: e.name, Fields: diffFields(e.fields, nil)})
			continue
		}
		if fields := diffFields(e.fields, other.fields); len(fields) > 0 {
			changes = append(changes, Change{Kind: Changed, Entry: kind, Name: e.name, Fields: fields})
		}
	}
	for _, e := range new {
		if _, known := before[e.name]; !known {
			changes = append(changes, Change{Kind: Added, Entry: kind, Name: e.name, Fields: diffFields(nil, e.fields)})
		}
	}
	return changes
}

func byName(entries []entry) map[string]entry {
	m := make(map[string]entry, len(entries))
	for _, e := range entries {
		m[e.name] = e
	}
	return m
}

// diffFields compares the fields of one entry. Both lists hold the same fields in
// the same order; nil means that this side doesn't have the entry.
func diffFields(old, new []fieldText) []FieldChange {
	count := max(len(old), len(new))
	var changes []FieldChange
	for i := range count {
		var change FieldChange
		if old != nil {
			change.Field, change.Old = old[i].field, old[i].text
		}
		if new != nil {
			change.Field, change.New = new[i].field, new[i].text
		}
		if change.Old != change.New {
			changes = append(changes, change)
		}
	}
	return changes
}
