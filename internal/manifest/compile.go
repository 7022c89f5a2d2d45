package manifest

import "fmt"

// Table is a compiled manifest: an index of its routes, each with its services
// and retry rule resolved. It is immutable and safe for concurrent use.
type Table struct {
	manifest  *Manifest
	routes    []CompiledRoute
	index     *routeIndex
	services  map[string]*Service
	customers customerIndex
}

// CompiledRoute is a route with its references resolved.
type CompiledRoute struct {
	Route
	// Targets holds the services that run the route's requests, at least one.
	// The sum of the weights is greater than 0.
	Targets []Target
	// Rule is nil when the route has no retry rule.
	Rule *RetryRule
}

// Target is a service with its weight among the targets of a route.
type Target struct {
	*Service
	Weight int
}

// Manifest returns the manifest that the table was compiled from, in canonical
// order and with defaults filled in. Callers must not modify it.
func (t *Table) Manifest() *Manifest { return t.manifest }

// Service returns the service with the given name, or nil if the manifest has none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Routes returns the compiled routes in match order. Callers must not modify
// them.
func (t *Table) Routes() []CompiledRoute { return t.routes }

// Compile resolves the references of a manifest and indexes its routes. It does
// not modify the manifest. If it returns an error, the manifest must not be
// applied; a panic while compiling is returned as an error, too.
func Compile(m *Manifest) (table *Table, err error) {
	defer recoverAsError("compile manifest", &err)
	return compile(m)
}

func compile(m *Manifest) (*Table, error) {
	effective := m.clone()
	effective.normalize()
	effective.fillZeros()
	normalizePaths(effective.Routes)
	if err := customersError(m.Customers); err != nil {
		return nil, err
	}
	services := make(map[string]*Service, len(effective.Services))
	for i := range effective.Services {
		services[effective.Services[i].Name] = &effective.Services[i]
	}
	rules := make(map[string]*RetryRule, len(effective.RetryRules))
	for i := range effective.RetryRules {
		rules[effective.RetryRules[i].Name] = &effective.RetryRules[i]
	}
	routes := make([]CompiledRoute, len(effective.Routes))
	for i, route := range effective.Routes {
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
	return &Table{
		manifest:  effective,
		routes:    routes,
		services:  services,
		index:     indexRoutes(effective.Routes),
		customers: indexCustomers(effective.Customers),
	}, nil
}

// targetsOf resolves the services of a route. It returns an error if one does
// not exist, a weight is negative, or the weights add up to 0.
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
			return nil, fmt.Errorf("compile manifest: route %q has service %q with the negative weight %d", route.Name, share.Service, share.Weight)
		}
		targets = append(targets, Target{Service: service, Weight: share.Weight})
		total += share.Weight
	}
	if total == 0 {
		return nil, fmt.Errorf("compile manifest: the weights of route %q add up to 0", route.Name)
	}
	return targets, nil
}

// fillZeros replaces zero values by the defaults where 0 isn't valid. Only
// manifests built without Parse, such as the daemon's, have such values.
func (m *Manifest) fillZeros() {
	for i := range m.Services {
		if m.Services[i].MaxRequestBodyBytes == 0 {
			m.Services[i].MaxRequestBodyBytes = DefaultMaxRequestBodyBytes
		}
	}
	for i := range m.Routes {
		if m.Routes[i].Deadline == 0 {
			m.Routes[i].Deadline = Duration(DefaultDeadline)
		}
	}
}
