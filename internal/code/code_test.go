package code

import "testing"

func TestTableIsOrderedWithUniqueNames(t *testing.T) {
	seen := map[string]bool{}
	last := -1
	for _, info := range All() {
		if int(info.Code) <= last {
			t.Errorf("code %d comes after %d", info.Code, last)
		}
		last = int(info.Code)
		if info.Name == "" || info.Text == "" || seen[info.Name] {
			t.Errorf("code %d: name %q and text %q must be set and unique", info.Code, info.Name, info.Text)
		}
		seen[info.Name] = true
		if (info.Outcome == NoOutcome) != (info.Status == 0) {
			t.Errorf("code %d: outcome %q with status %d", info.Code, info.Outcome, info.Status)
		}
	}
}
