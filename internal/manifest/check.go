package manifest

import (
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// checker validates the values of a decoded manifest. Its methods are named
// after the values that they check, and add a problem for each invalid one.
type checker struct {
	*strictjson.Document
	manifest *Manifest
	services map[string]bool
	rules    map[string]*RetryRule
}

// checkValues adds a problem for every value with which the manifest can't be
// applied.
func checkValues(m *Manifest, doc *strictjson.Document) {
	c := &checker{
		Document: doc,
		manifest: m,
		services: map[string]bool{},
		rules:    map[string]*RetryRule{},
	}
	c.name(strictjson.Path("mesh"), m.Mesh)
	c.limits()
	c.dataCentres()
	c.checkServices()
	c.checkRules()
	c.checkRoutes()
	c.customers()
}

func (c *checker) limits() {
	limits := c.manifest.Limits
	c.intRange(strictjson.Path("limits", "max_header_bytes"), int64(limits.MaxHeaderBytes), 0, MaxHeaderLimit)
	c.intRange(strictjson.Path("limits", "max_body_bytes"), limits.MaxBodyBytes, 0, MaxServiceBodyBytes)
	c.durationRange(strictjson.Path("limits", "header_timeout"), limits.HeaderTimeout, 0, MaxDeadline)
	c.durationRange(strictjson.Path("limits", "idle_timeout"), limits.IdleTimeout, 0, MaxDeadline)
}

func (c *checker) dataCentres() {
	path := strictjson.Path("data_centres")
	c.count(path, len(c.manifest.DataCentres), 1, MaxDataCentres)
	seen := map[string]bool{}
	for i, name := range c.manifest.DataCentres {
		entry := strictjson.Path("data_centres", i)
		c.name(entry, name)
		c.unique(entry, "data centre", name, seen)
	}
}

func (c *checker) checkServices() {
	c.count(strictjson.Path("services"), len(c.manifest.Services), 1, MaxServices)
	for i := range c.manifest.Services {
		s := &c.manifest.Services[i]
		path := strictjson.Path("services", i)
		c.name(path+"/name", s.Name)
		c.unique(path+"/name", "service", s.Name, c.services)
		c.intRange(path+"/queue_limit", int64(s.QueueLimit), 0, MaxQueueLimit)
		c.intRange(path+"/max_connections", int64(s.MaxConnections), 0, MaxServiceConnections)
		c.durationRange(path+"/slow_start", s.SlowStart, 0, MaxSlowStart)
		c.intRange(path+"/max_body_bytes", s.MaxRequestBodyBytes, 1, MaxServiceBodyBytes)
	}
}

func (c *checker) checkRules() {
	c.count(strictjson.Path("retry_rules"), len(c.manifest.RetryRules), 0, MaxRetryRules)
	seen := map[string]bool{}
	for i := range c.manifest.RetryRules {
		rule := &c.manifest.RetryRules[i]
		path := strictjson.Path("retry_rules", i)
		c.name(path+"/name", rule.Name)
		c.unique(path+"/name", "retry rule", rule.Name, seen)
		c.rules[rule.Name] = rule
		c.rule(path, rule)
	}
}

func (c *checker) rule(path string, rule *RetryRule) {
	c.intRange(path+"/attempts", int64(rule.Attempts), 1, MaxAttempts)
	c.intRange(path+"/budget_percent", int64(rule.BudgetPercent), 0, MaxBudgetPercent)
	if c.Present(path + "/per_try_timeout") {
		c.durationRange(path+"/per_try_timeout", rule.PerTryTimeout, MinDeadline, MaxDeadline)
	}
	if len(rule.On) == 0 {
		c.Add(path+"/on", code.ManifestOutOfRange, "at least one kind of failure is needed; known are %s", retryOnNames())
	}
	seen := map[string]bool{}
	for i, on := range rule.On {
		entry := path + strictjson.Path("on", i)
		c.unique(entry, "kind of failure", string(on), seen)
		if !on.known() {
			c.Add(entry, code.ManifestOutOfRange, "unknown kind of failure %q; known are %s", on, retryOnNames())
		}
		if on == RetryTimeout && rule.PerTryTimeout == 0 {
			c.Add(entry, code.ManifestMissingField, "%q needs the field \"per_try_timeout\"", on)
		}
	}
}

// unique checks that the name isn't in seen, which holds the earlier names of
// the list, and adds it to seen. kind describes the name in the message.
func (c *checker) unique(path, kind, name string, seen map[string]bool) {
	if seen[name] {
		c.Add(path, code.ManifestDuplicate, "%s %q is given twice", kind, name)
	}
	seen[name] = true
}

func (c *checker) name(path, name string) {
	if !strictjson.ValidName(name, MaxNameLength) {
		c.Add(path, code.ManifestOutOfRange, "name %q %s", name, strictjson.NameRule(MaxNameLength))
	}
}

// count checks the length of the list at the path.
func (c *checker) count(path string, n, minimum, maximum int) {
	if n < minimum || n > maximum {
		c.Add(path, code.ManifestOutOfRange, "%d entries; want %d to %d", n, minimum, maximum)
	}
}

func (c *checker) intRange(path string, n, minimum, maximum int64) {
	if n < minimum || n > maximum {
		c.Add(path, code.ManifestOutOfRange, "%d is outside %d to %d", n, minimum, maximum)
	}
}

func (c *checker) durationRange(path string, d Duration, minimum, maximum time.Duration) {
	if d.Std() < minimum || d.Std() > maximum {
		c.Add(path, code.ManifestOutOfRange, "%s is outside %s to %s", d, minimum, maximum)
	}
}
