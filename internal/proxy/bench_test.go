package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkCall compares a direct call with one through one and through two
// daemons; the difference to the direct one is what the data path adds.
func BenchmarkCall(b *testing.B) {
	m := newMesh(b)
	up := newUpstream(b, say(strings.Repeat("x", 1024)))
	entry, exec := m.addPair(up.address(), 100)
	for _, way := range []struct{ name, url string }{
		{"direct", up.URL}, {"own-upstream", exec.caller.URL}, {"two-daemons", entry.caller.URL},
	} {
		b.Run(way.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				resp, err := http.Post(way.url+"/orders", "text/plain", nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
