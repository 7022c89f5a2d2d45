package manifest

import "fmt"

// Table is a compiled manifest: routes ready to match, each with its service
// and retry rule resolved. It is immutable and safe for concurrent use.
type Table struct {
	manifest *Manifest
	routes   []CompiledRoute
	index    *routeIndex
}

// CompiledRoute is a route with its references resolved.
type CompiledRoute struct {
	Route
	// Target is never nil.
	Target *Service
	// Rule is nil when the route has no retry rule.
	Rule *RetryRule
}

// Manifest returns the manifest the table was compiled from, in canonical
// order and with defaults filled in.
func (t *Table) Manifest() *Manifest { return t.manifest }

// Routes returns the compiled routes in match order; callers must not change
// them.
func (t *Table) Routes() []CompiledRoute { return t.routes }

// Compile resolves the references of a manifest and indexes its routes. It
// leaves the manifest as it is. An error means that the manifest must not be
// applied; a panic inside comes out as an error, too.
func Compile(m *Manifest) (table *Table, err error) {
	defer recoverAs("compile manifest", &err)
	return compile(m)
}

func compile(m *Manifest) (*Table, error) {
	own := m.clone()
	own.normalize()
	own.fillZeros()
	services := make(map[string]*Service, len(own.Services))
	for i := range own.Services {
		services[own.Services[i].Name] = &own.Services[i]
	}
	rules := make(map[string]*RetryRule, len(own.RetryRules))
	for i := range own.RetryRules {
		rules[own.RetryRules[i].Name] = &own.RetryRules[i]
	}
	routes := make([]CompiledRoute, len(own.Routes))
	for i, route := range own.Routes {
		target, ok := services[route.Service]
		if !ok {
			return nil, fmt.Errorf("compile manifest: route %q refers to service %q, which does not exist", route.Name, route.Service)
		}
		rule, ok := rules[route.Retry]
		if !ok && route.Retry != "" {
			return nil, fmt.Errorf("compile manifest: route %q refers to retry rule %q, which does not exist", route.Name, route.Retry)
		}
		routes[i] = CompiledRoute{Route: route, Target: target, Rule: rule}
	}
	return &Table{manifest: own, routes: routes, index: indexRoutes(own.Routes)}, nil
}

// fillZeros sets the defaults of values that cannot be 0 in a manifest that
// was not parsed but made in memory.
func (m *Manifest) fillZeros() {
	for i := range m.Services {
		if m.Services[i].MaxBody == 0 {
			m.Services[i].MaxBody = DefaultMaxBody
		}
	}
	for i := range m.Routes {
		if m.Routes[i].Deadline == 0 {
			m.Routes[i].Deadline = Duration(DefaultDeadline)
		}
	}
}
