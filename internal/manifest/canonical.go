package manifest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/textproto"
	"slices"
	"strings"
)

// Canonical returns the deterministic JSON form of the manifest. Its SHA-256 is
// the manifest's digest, and parsing it returns the same manifest. Each service,
// route, retry rule and customer is on a separate line; lists without a meaningful order
// are sorted. The manifest must be valid.
func (m *Manifest) Canonical() []byte {
	c := m.clone()
	c.normalize()
	var out bytes.Buffer
	out.WriteString(`{"mesh":`)
	writeJSON(&out, c.Mesh)
	out.WriteString(",\n\"data_centres\":")
	writeJSON(&out, c.DataCentres)
	writeEntries(&out, "services", c.Services)
	writeEntries(&out, "routes", c.Routes)
	writeEntries(&out, "retry_rules", c.RetryRules)
	if len(c.Customers) > 0 {
		// Left out if empty: manifests without customers keep their digests.
		writeEntries(&out, "customers", c.Customers)
	}
	if c.Limits != (Limits{}) {
		out.WriteString(",\n\"limits\":")
		writeJSON(&out, c.Limits)
	}
	out.WriteString("}\n")
	return out.Bytes()
}

// Digest returns the digest of the canonical form.
func (m *Manifest) Digest() Digest {
	return DigestOf(m.Canonical())
}

// writeEntries writes a list field with one entry per line.
func writeEntries[T any](out *bytes.Buffer, name string, entries []T) {
	fmt.Fprintf(out, ",\n%q:[", name)
	for i := range entries {
		if i > 0 {
			out.WriteByte(',')
		}
		out.WriteByte('\n')
		writeJSON(out, &entries[i])
	}
	out.WriteString("\n]")
}

// writeJSON appends the value as JSON, without a trailing line break.
func writeJSON(out *bytes.Buffer, value any) {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		// Can't happen: all types in a manifest can be encoded as JSON.
		panic(fmt.Sprintf("manifest: encode %T: %v", value, err))
	}
	out.Truncate(out.Len() - 1)
}

// clone returns a copy that shares nothing with m that normalize modifies.
func (m *Manifest) clone() *Manifest {
	c := *m
	c.DataCentres = slices.Clone(m.DataCentres)
	c.Services = slices.Clone(m.Services)
	c.Routes = slices.Clone(m.Routes)
	for i := range c.Routes {
		match := &c.Routes[i].Match
		match.Methods = slices.Clone(match.Methods)
		match.Headers = slices.Clone(match.Headers)
		c.Routes[i].Split = slices.Clone(c.Routes[i].Split)
	}
	c.RetryRules = slices.Clone(m.RetryRules)
	for i := range c.RetryRules {
		c.RetryRules[i].On = slices.Clone(c.RetryRules[i].On)
	}
	c.Customers = slices.Clone(m.Customers)
	for i := range c.Customers {
		c.Customers[i].Keys = slices.Clone(c.Customers[i].Keys)
	}
	return &c
}

// normalize brings equivalent manifests to the same form: it puts
// case-insensitive names in lower or canonical case and sorts lists without a
// meaningful order.
func (m *Manifest) normalize() {
	if m.DataCentres == nil {
		m.DataCentres = []string{}
	}
	slices.Sort(m.DataCentres)
	slices.SortFunc(m.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(m.RetryRules, func(a, b RetryRule) int { return cmp.Compare(a.Name, b.Name) })
	for i := range m.RetryRules {
		slices.Sort(m.RetryRules[i].On)
	}
	slices.SortFunc(m.Customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	for i := range m.Customers {
		m.Customers[i].normalizeKeys()
	}
	for i := range m.Routes {
		m.Routes[i].Match.normalize()
	}
}

func (m *Match) normalize() {
	m.Host = strings.ToLower(m.Host)
	slices.Sort(m.Methods)
	for i := range m.Headers {
		m.Headers[i].Name = textproto.CanonicalMIMEHeaderKey(m.Headers[i].Name)
	}
	slices.SortFunc(m.Headers, func(a, b HeaderMatch) int { return cmp.Compare(a.Name, b.Name) })
}
