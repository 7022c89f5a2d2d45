package manifest

// Table is a compiled manifest: routes ready to match, each with its service
// and retry rule resolved. It is immutable and safe for concurrent use.
type Table struct {
	manifest *Manifest
	routes   []CompiledRoute
}

// CompiledRoute is a route with its references resolved.
type CompiledRoute struct {
	Route
	// Target is never nil.
	Target *Service
	// Rule is nil when the route has no retry rule.
	Rule *RetryRule
}

// Manifest returns the manifest the table was compiled from.
func (t *Table) Manifest() *Manifest { return t.manifest }

// Routes returns the compiled routes in match order; callers must not change
// them.
func (t *Table) Routes() []CompiledRoute { return t.routes }
