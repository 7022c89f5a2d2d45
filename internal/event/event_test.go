package event

import "testing"

func TestCatalogueIsOrderedWithUniqueNames(t *testing.T) {
	seen := map[string]bool{}
	last := Number(0)
	for _, info := range All() {
		if info.Number <= last {
			t.Errorf("event %d comes after %d", info.Number, last)
		}
		last = info.Number
		if info.Name == "" || info.Text == "" || seen[info.Name] {
			t.Errorf("event %d: name %q and text %q must be set and unique", info.Number, info.Name, info.Text)
		}
		seen[info.Name] = true
	}
}
