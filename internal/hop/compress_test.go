package hop

import (
	"bytes"
	"strings"
	"testing"
)

func TestCompressConfigRoundTrip(t *testing.T) {
	source := []byte(strings.Repeat(`{"name": "route", "prefix": "/stock/"}, `, 5000))
	compressed, err := CompressConfig(source)
	if err != nil {
		t.Fatal(err)
	}
	if len(compressed) > len(source)/10 {
		t.Errorf("%d bytes were compressed to %d, more than a tenth", len(source), len(compressed))
	}
	got, err := DecompressConfig(compressed)
	if err != nil || !bytes.Equal(got, source) {
		t.Errorf("got %d bytes, error %v; want the source", len(got), err)
	}
}

func TestDecompressConfigRejectsInvalidInput(t *testing.T) {
	t.Parallel()
	large, err := CompressConfig(make([]byte, maxConfigBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	for name, compressed := range map[string][]byte{
		"empty":     nil,
		"not gzip":  []byte(`{"version": 3}`),
		"truncated": large[:len(large)/2],
		"too large": large,
	} {
		if source, err := DecompressConfig(compressed); err == nil {
			t.Errorf("%s: got %d bytes, want an error", name, len(source))
		}
	}
}
