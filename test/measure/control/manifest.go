package main

import (
	"encoding/json"
	"fmt"
	"time"

	"godwitmount/internal/manifest"
)

// The size of the published manifest.
const (
	manifestServices = 120
	manifestRoutes   = 300
)

// serviceName is the name of the i-th service.
func serviceName(i int) string { return fmt.Sprintf("service-%03d", i%manifestServices) }

// manifestVersion returns the canonical body of a manifest of which one route
// differs from version to version.
func manifestVersion(version int) ([]byte, error) {
	m := manifest.Manifest{Mesh: meshName, DataCentres: dataCentres}
	m.RetryRules = []manifest.RetryRule{{Name: "read", Attempts: 3, On: []manifest.RetryOn{manifest.RetryNotRun}, BudgetPercent: 20}}
	for i := range manifestServices {
		m.Services = append(m.Services, manifest.Service{Name: serviceName(i), MaxBody: manifest.DefaultMaxBody})
	}
	for i := range manifestRoutes {
		m.Routes = append(m.Routes, manifest.Route{
			Name:     fmt.Sprintf("route-%03d", i),
			Match:    manifest.Match{PathPrefix: fmt.Sprintf("/area-%d/items-%d", i%manifestServices, i), Methods: []string{"GET", "HEAD"}},
			Service:  serviceName(i),
			Deadline: manifest.Duration(time.Duration(i%7+1) * time.Second),
			Retry:    "read",
		})
	}
	m.Routes[version%manifestRoutes].Deadline = manifest.Duration(time.Minute + time.Duration(version)*time.Millisecond)
	source, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	parsed, problems := manifest.Parse("measure", source)
	if problems != nil {
		return nil, problems
	}
	return parsed.Canonical(), nil
}

// compile is what a proxy does with a body it was given.
func compile(body []byte) (*manifest.Table, error) {
	parsed, err := manifest.ParseCanonical(body)
	if err != nil {
		return nil, err
	}
	return manifest.Compile(parsed)
}
