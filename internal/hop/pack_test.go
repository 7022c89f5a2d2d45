package hop

import (
	"bytes"
	"strings"
	"testing"
)

func TestPackedConfigurationComesBack(t *testing.T) {
	source := []byte(strings.Repeat(`{"name": "route", "prefix": "/stock/"}, `, 5000))
	packed, err := Pack(source)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > len(source)/10 {
		t.Errorf("%d bytes were packed to %d", len(source), len(packed))
	}
	got, err := Unpack(packed)
	if err != nil || !bytes.Equal(got, source) {
		t.Errorf("%d bytes came back, %v", len(got), err)
	}
}

func TestUnpackRefusesWhatIsNotPacked(t *testing.T) {
	large, err := Pack(make([]byte, maxSource+1))
	if err != nil {
		t.Fatal(err)
	}
	for name, packed := range map[string][]byte{
		"nothing":   nil,
		"not gzip":  []byte(`{"version": 3}`),
		"cut off":   large[:len(large)/2],
		"too large": large,
	} {
		if source, err := Unpack(packed); err == nil {
			t.Errorf("%s: %d bytes and no error", name, len(source))
		}
	}
}
