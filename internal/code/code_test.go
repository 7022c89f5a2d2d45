package code

import (
	"net/http"
	"testing"
)

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

// TestNotRunIsNeverAnUnknownStatus covers statuses that leave open whether the request has
// run: a caller would not repeat one that must not run twice.
func TestNotRunIsNeverAnUnknownStatus(t *testing.T) {
	for _, info := range All() {
		serverError := info.Status >= http.StatusInternalServerError
		if info.Outcome == NotRun && serverError && (info.Status != http.StatusServiceUnavailable || !info.RetryAfter) {
			t.Errorf("%s: status %d, Retry-After %t", info.Name, info.Status, info.RetryAfter)
		}
		if info.Outcome == Unknown && info.Status == http.StatusServiceUnavailable {
			t.Errorf("%s promises that the request has not run", info.Name)
		}
	}
}
