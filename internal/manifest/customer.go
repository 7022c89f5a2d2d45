package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"godwitmount/internal/code"
	"godwitmount/internal/strictjson"
)

// Customer is a party whose callers identify themselves by a key.
type Customer struct {
	Name string `json:"name" strict:"required"`
	// Keys identify the customer's callers; each of them is sufficient. A customer
	// without keys can make no requests.
	Keys []Key `json:"keys"`
	// Priority orders requests that wait for the same upstream, before the priority
	// of their routes; 0 is served first.
	Priority int `json:"priority"`
	// RatePerSecond and Burst are the customer's allowance over all daemons
	// together, in requests; a RatePerSecond of 0 sets no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// Key is a customer's secret. Printed with fmt it shows only its fingerprint, so
// that no message or log line contains it; JSON has the key itself.
type Key string

// fingerprintBytes is the number of bytes of a key's hash in its fingerprint.
const fingerprintBytes = 4

// Fingerprint identifies a key without revealing it.
func (k Key) Fingerprint() string {
	hash := hashKey(string(k))
	return "key-" + hex.EncodeToString(hash[:fingerprintBytes])
}

// String returns the fingerprint.
func (k Key) String() string { return k.Fingerprint() }

// GoString returns the fingerprint.
func (k Key) GoString() string { return k.Fingerprint() }

// keyHash is the SHA-256 of a key. Keys are found by their hash: the time of the
// lookup says nothing about how much of a wrong key is right.
type keyHash [sha256.Size]byte

func hashKey(key string) keyHash { return sha256.Sum256([]byte(key)) }

// customerIndex finds customers by key and by name.
type customerIndex struct {
	byKey  map[keyHash]*Customer
	byName map[string]*Customer
}

func indexCustomers(customers []Customer) customerIndex {
	index := customerIndex{byKey: map[keyHash]*Customer{}, byName: make(map[string]*Customer, len(customers))}
	for i := range customers {
		customer := &customers[i]
		index.byName[customer.Name] = customer
		for _, key := range customer.Keys {
			index.byKey[hashKey(string(key))] = customer
		}
	}
	return index
}

// HasCustomers reports whether the manifest has customers, so that requests need a
// key.
func (t *Table) HasCustomers() bool { return len(t.customers.byName) > 0 }

// HasLimitedCustomers reports whether any customer has a limit.
func (t *Table) HasLimitedCustomers() bool {
	for _, customer := range t.customers.byName {
		if customer.RatePerSecond > 0 {
			return true
		}
	}
	return false
}

// CustomerByKey returns the customer with the key, or nil if there is none.
func (t *Table) CustomerByKey(key string) *Customer { return t.customers.byKey[hashKey(key)] }

// Customer returns the customer with the name, or nil if there is none.
func (t *Table) Customer(name string) *Customer { return t.customers.byName[name] }

// customerLimits bound the customers of a manifest. A limit of unlimited is none.
type customerLimits struct {
	// customers and keys are the largest numbers of customers and of keys of one customer.
	customers, keys int
	// nameLength and keyLength are the largest lengths in bytes.
	nameLength, keyLength int
	priority              int
	// validKeys demands that a request can carry each key. One that none can is known to no caller.
	validKeys bool
}

const unlimited = math.MaxInt

// fileLimits are those of manifest files. platformLimits are those of what the platform has
// accepted: its size is the platform's concern, and all of it must come into force.
var (
	fileLimits = customerLimits{
		customers: MaxCustomers, keys: MaxKeys, nameLength: MaxNameLength, keyLength: MaxKeyLength, priority: MaxPriority, validKeys: true,
	}
	platformLimits = customerLimits{
		customers: unlimited, keys: unlimited, nameLength: unlimited, keyLength: unlimited, priority: unlimited,
	}
)

// customerChecker calls report for each fault of the customers with which the manifest can't be
// applied. The path that it reports is that of the value within the manifest.
type customerChecker struct {
	customerLimits
	report func(path string, c code.Code, format string, args ...any)
	// owners holds the positions of the customers with the keys seen before.
	owners map[keyHash]int
}

func (k *customerChecker) check(customers []Customer) {
	if len(customers) > k.customers {
		k.report(strictjson.Path("customers"), code.ManifestOutOfRange, "%d entries; want at most %d", len(customers), k.customers)
	}
	names := map[string]bool{}
	k.owners = map[keyHash]int{}
	for i := range customers {
		customer := &customers[i]
		path := strictjson.Path("customers", i)
		if !validHeaderText(customer.Name, k.nameLength) {
			k.report(path+"/name", code.ManifestOutOfRange, "customer name %q must be a header value of %s without leading or trailing spaces", customer.Name, lengthRule(k.nameLength))
		}
		if names[customer.Name] {
			k.report(path+"/name", code.ManifestDuplicate, "customer %q is given twice", customer.Name)
		}
		names[customer.Name] = true
		k.checkKeys(path, customer, i)
		k.checkNumbers(path, customer)
	}
}

// checkKeys checks the keys of the customer at a position of the list. The messages name the
// positions of keys and not the keys.
func (k *customerChecker) checkKeys(path string, c *Customer, position int) {
	if len(c.Keys) > k.keys {
		k.report(path+"/keys", code.ManifestOutOfRange, "%d entries; want at most %d", len(c.Keys), k.keys)
	}
	for i, key := range c.Keys {
		entry := path + strictjson.Path("keys", i)
		if key == "" || k.validKeys && !validHeaderText(string(key), k.keyLength) {
			k.report(entry, code.ManifestOutOfRange, "a key of customer %q must be a header value of %s without leading or trailing spaces", c.Name, lengthRule(k.keyLength))
			continue
		}
		hash := hashKey(string(key))
		if owner, known := k.owners[hash]; known && owner != position {
			k.report(entry, code.ManifestDuplicate, "a key of customer %q is also a key of an earlier customer", c.Name)
		}
		k.owners[hash] = position
	}
}

// checkNumbers checks that the customer's numbers are in range.
func (k *customerChecker) checkNumbers(path string, c *Customer) {
	if c.Priority < 0 || c.Priority > k.priority {
		k.report(path+"/priority", code.ManifestOutOfRange, "%d is outside 0 to %d", c.Priority, k.priority)
	}
	// The comparisons are written so that they fail for a number that is not one.
	if !(c.RatePerSecond >= 0 && c.RatePerSecond <= MaxRate) {
		k.report(path+"/rate_per_second", code.ManifestOutOfRange, "%v is outside 0 to %v", c.RatePerSecond, MaxRate)
	}
	if !(c.Burst >= 0 && c.Burst <= MaxRate) {
		k.report(path+"/burst", code.ManifestOutOfRange, "%v is outside 0 to %v", c.Burst, MaxRate)
	}
}

// lengthRule describes the lengths up to a limit in bytes.
func lengthRule(limit int) string {
	if limit == unlimited {
		return "at least 1 byte"
	}
	return fmt.Sprintf("1 to %d bytes", limit)
}

// validHeaderText reports whether the text can be sent as the value of a header and
// read back unchanged.
func validHeaderText(text string, limit int) bool {
	return text != "" && len(text) <= limit && httpguts.ValidHeaderFieldValue(text) && strings.TrimSpace(text) == text
}

// customers checks the customers. In manifest files, their names follow the rule for
// all names; those of the platform are checked by customersError only.
func (c *checker) customers() {
	customers := &customerChecker{customerLimits: fileLimits, report: c.Add}
	customers.check(c.manifest.Customers)
	for i := range c.manifest.Customers {
		name := c.manifest.Customers[i].Name
		if validHeaderText(name, MaxNameLength) {
			c.name(strictjson.Path("customers", i)+"/name", name)
		}
	}
}

// customersError returns the first fault of the customers as an error, or nil. The
// daemon's manifests are not checked by Parse.
func customersError(customers []Customer) error {
	var first error
	checker := &customerChecker{customerLimits: platformLimits, report: func(path string, _ code.Code, format string, args ...any) {
		if first == nil {
			first = fmt.Errorf("compile manifest: %s: %s", path, fmt.Sprintf(format, args...))
		}
	}}
	checker.check(customers)
	return first
}

// normalizeKeys sorts the keys and removes repeated ones.
func (c *Customer) normalizeKeys() {
	if c.Keys == nil {
		c.Keys = []Key{}
	}
	slices.Sort(c.Keys)
	c.Keys = slices.Compact(c.Keys)
}
