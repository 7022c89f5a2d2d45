package admission

import "time"

// SlowStartSlots returns how many of an upstream's slots are advertised to
// other daemons during its slow start. The number grows linearly with the
// upstream's age and is at least one; from age slowStart on it is slots.
func SlowStartSlots(slots int, age, slowStart time.Duration) int {
	if age >= slowStart || slots <= 1 {
		return slots
	}
	return max(int(float64(slots)*float64(age)/float64(slowStart)), 1)
}
