package main

import (
	"fmt"
	"os"
	"time"

	"godwitmount/internal/manifest"
)

// release is one manifest body ready to publish.
type release struct {
	mesh string
	body []byte
}

// bodiesOf returns canonical bodies that differ in one route's deadline.
func bodiesOf(file string, count int) ([]release, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("manifest: %w", err)
	}
	m, problems := manifest.Parse(file, source)
	if problems != nil {
		return nil, problems
	}
	releases := make([]release, count)
	for i := range releases {
		m.Routes[i%len(m.Routes)].Deadline = manifest.Duration(time.Duration(2000+i) * time.Millisecond)
		releases[i] = release{mesh: m.Mesh, body: m.Canonical()}
	}
	return releases, nil
}
