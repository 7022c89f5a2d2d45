package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestRequestOfACallerThatHasLeftIsNotPassedOn covers requests whose caller has left before they
// are placed, also those that must not run twice and so are not cancelled while they run.
func TestRequestOfACallerThatHasLeftIsNotPassedOn(t *testing.T) {
	p, count := newExecutingProxy(t)
	ctx, leave := context.WithCancel(context.Background())
	leave()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		w := httptest.NewRecorder()
		p.serve(w, httptest.NewRequest(method, "http://h/", nil).WithContext(ctx))
		if count.Load() != 0 {
			t.Errorf("%s: %d requests reached the upstream, status %d", method, count.Load(), w.Code)
		}
	}
}
