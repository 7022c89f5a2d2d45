package manifest

import "fmt"

// Table is a compiled manifest: routes ready to match, each with its service
// and retry rule resolved. It is immutable and safe for concurrent use.
type Table struct {
	manifest *Manifest
	routes   []CompiledRoute
	index    *routeIndex
	services map[string]*Service
}

// CompiledRoute is a route with its references resolved.
type CompiledRoute struct {
	Route
	// Targets are the services that take the route's requests, at least one,
	// with weights that add up to more than 0.
	Targets []Target
	// Rule is nil when the route has no retry rule.
	Rule *RetryRule
}

// Target is a service with its share of a route's requests.
type Target struct {
	*Service
	Weight int
}

// Manifest returns the manifest the table was compiled from, in canonical
// order and with defaults filled in.
func (t *Table) Manifest() *Manifest { return t.manifest }

// Service returns what the manifest says of a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

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
		targets, err := targetsOf(&route, services)
		if err != nil {
			return nil, err
		}
		rule, ok := rules[route.Retry]
		if !ok && route.Retry != "" {
			return nil, fmt.Errorf("compile manifest: route %q refers to retry rule %q, which does not exist", route.Name, route.Retry)
		}
		routes[i] = CompiledRoute{Route: route, Targets: targets, Rule: rule}
	}
	return &Table{manifest: own, routes: routes, services: services, index: indexRoutes(own.Routes)}, nil
}

// targetsOf resolves the services of a route.
func targetsOf(route *Route, services map[string]*Service) ([]Target, error) {
	shares := route.Split
	if len(shares) == 0 {
		shares = []Share{{Service: route.Service, Weight: 1}}
	}
	targets := make([]Target, 0, len(shares))
	total := 0
	for _, share := range shares {
		service, ok := services[share.Service]
		if !ok {
			return nil, fmt.Errorf("compile manifest: route %q refers to service %q, which does not exist", route.Name, share.Service)
		}
		if share.Weight < 0 {
			return nil, fmt.Errorf("compile manifest: route %q gives service %q the weight %d", route.Name, share.Service, share.Weight)
		}
		targets = append(targets, Target{Service: service, Weight: share.Weight})
		total += share.Weight
	}
	if total == 0 {
		return nil, fmt.Errorf("compile manifest: the weights of route %q add up to 0", route.Name)
	}
	return targets, nil
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
