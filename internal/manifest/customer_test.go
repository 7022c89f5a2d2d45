package manifest

import (
	"fmt"
	"strings"
	"testing"
)

// customerManifest returns a valid manifest with the customers.
func customerManifest(customers ...Customer) *Manifest {
	return &Manifest{
		Mesh:      "m",
		Services:  []Service{{Name: "s"}},
		Routes:    []Route{{Name: "r", Service: "s"}},
		Customers: customers,
	}
}

func TestCustomersAreFoundByKeyAndName(t *testing.T) {
	table, err := Compile(customerManifest(Customer{Name: "a", Keys: []Key{"k1", "k2"}}, Customer{Name: "b", Keys: []Key{"k3"}}, Customer{Name: "c"}))
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		if got := table.CustomerByKey(key); got == nil || got.Name != want || got != table.Customer(want) {
			t.Errorf("key of %s: found %v", want, got)
		}
	}
	for _, key := range []string{"", "k", "k4", "K1", "k1 "} {
		if got := table.CustomerByKey(key); got != nil {
			t.Errorf("key %q is one of %s", key, got.Name)
		}
	}
	if !table.HasCustomers() || table.Customer("d") != nil {
		t.Error("the table has no customers, or one that the manifest lacks")
	}
	if without, err := Compile(customerManifest()); err != nil || without.HasCustomers() || without.CustomerByKey("") != nil {
		t.Errorf("a manifest without customers: error %v, or it has some", err)
	}
}

// TestDefaultsKeepDigests guards against a changed digest of manifests without
// customers and public routes: daemons of different releases would name the same
// configuration differently.
func TestDefaultsKeepDigests(t *testing.T) {
	if text := string(customerManifest().Canonical()); strings.Contains(text, "customers") || strings.Contains(text, "public") {
		t.Errorf("the canonical form has fields that are not set:\n%s", text)
	}
}

// TestKeysAreNotPrinted covers every way in which fmt prints a customer, so that no
// log line or error shows a key.
func TestKeysAreNotPrinted(t *testing.T) {
	customer := Customer{Name: "a", Keys: []Key{"secret"}}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		if text := fmt.Sprintf(verb, customer); strings.Contains(text, "secret") {
			t.Errorf("%s prints %s", verb, text)
		}
	}
}

// TestCompileRejectsInvalidCustomers covers the daemon's way to a configuration,
// which Parse does not check.
func TestCompileRejectsInvalidCustomers(t *testing.T) {
	for name, customers := range map[string][]Customer{
		"same key":          {{Name: "a", Keys: []Key{"secret"}}, {Name: "b", Keys: []Key{"x", "secret"}}},
		"same name":         {{Name: "a"}, {Name: "a"}},
		"empty key":         {{Name: "a", Keys: []Key{""}}},
		"empty name":        {{Keys: []Key{"secret"}}},
		"name with a break": {{Name: "a\nb"}},
		"negative rate":     {{Name: "a", RatePerSecond: -1}},
		"negative burst":    {{Name: "a", Burst: -1}},
		"negative priority": {{Name: "a", Priority: -1}},
	} {
		if _, err := Compile(customerManifest(customers...)); err == nil || strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := Compile(customerManifest(Customer{Name: "a", Keys: []Key{"k", "k"}})); err != nil {
		t.Errorf("a key that one customer has twice: %v", err)
	}
}
