package steptest

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Text returns an argument of a transcript's command, or "" where it is absent.
func Text(t *testing.T, d *datadriven.TestData, name string) string {
	var value string
	d.MaybeScanArgs(t, name, &value)
	return value
}

// Number returns a whole number, or 0 where the argument is absent.
func Number[T int | uint64](t *testing.T, d *datadriven.TestData, name string) T {
	var value T
	d.MaybeScanArgs(t, name, &value)
	return value
}

// Duration returns a time span such as 100ms, or 0 where the argument is absent.
func Duration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	text := Text(t, d, name)
	if text == "" {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return value
}
