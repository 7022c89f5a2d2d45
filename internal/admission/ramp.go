package admission

import "time"

// Ramp returns how many of an upstream's slots other daemons are told of while
// it starts: a share that grows over the slow start, and at least one.
func Ramp(slots int, age, slowStart time.Duration) int {
	if age >= slowStart || slots <= 1 {
		return slots
	}
	return max(int(float64(slots)*float64(age)/float64(slowStart)), 1)
}
