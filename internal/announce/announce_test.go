package announce

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDecode holds what is taken and what is refused, and why.
func TestDecode(t *testing.T) {
	datadriven.RunTest(t, "testdata/decode", func(t *testing.T, d *datadriven.TestData) string {
		a, err := Decode(strings.NewReader(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%s at %s, %d slots, %s for %s\n", a.Service, a.Address, a.Slots, a.UpstreamState(), a.TTL())
	})
}

func TestLongAnnouncementIsRefused(t *testing.T) {
	long := `{"service":"` + strings.Repeat("a", MaxBytes) + `"}`
	if _, err := Decode(strings.NewReader(long)); err == nil {
		t.Error("an announcement beyond the limit was taken")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"service":"desk","address":"127.0.0.1:80","slots":1,"state":"ready","ttl_ms":1000}`)
	f.Add(`{"service":1}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, text string) {
		if a, err := Decode(strings.NewReader(text)); err == nil && a.Validate() != nil {
			t.Errorf("%q was taken but is not valid", text)
		}
	})
}
