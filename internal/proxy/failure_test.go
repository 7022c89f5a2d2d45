package proxy

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"godwitmount/internal/code"
)

// TestRefusalClosesTheConnection covers callers that come back on a new
// connection: the old one must not stay open.
func TestRefusalClosesTheConnection(t *testing.T) {
	for _, info := range code.All() {
		if info.Status == 0 {
			continue
		}
		recorder := httptest.NewRecorder()
		fail(info.Code).write(recorder, 123*time.Millisecond)
		header := recorder.Header()
		if recorder.Code != info.Status {
			t.Errorf("%s: status %d", info.Name, recorder.Code)
		}
		if closes := header.Get("Connection") == "close"; closes != info.Retry {
			t.Errorf("%s: closes %t", info.Name, closes)
		}
		seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if info.Retry && (err != nil || seconds != 0.123) {
			t.Errorf("%s: Retry-After %q", info.Name, header.Get("Retry-After"))
		}
	}
}
