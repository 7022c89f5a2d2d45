package routing

import (
	"math"
	"time"
)

// lineFade is the age at which an observation of a line counts for little.
const lineFade = 300 * time.Millisecond

// Line is what the way to a machine and back takes, as a mean over recent
// observations. It grows where answers fill the machine's line, which its
// number of requests does not tell. It is used by one goroutine at a time; times
// are on one steady clock.
type Line struct {
	mean time.Duration
	at   time.Duration
}

// Observe takes what the way took for one request.
func (l *Line) Observe(now, took time.Duration) {
	kept := faded(now - l.at)
	l.mean = time.Duration(kept*float64(l.mean) + (1-kept)*float64(took))
	l.at = now
}

// Delay returns what the way is expected to take; without news that is less and
// less.
func (l *Line) Delay(now time.Duration) time.Duration {
	return time.Duration(faded(now-l.at) * float64(l.mean))
}

func faded(age time.Duration) float64 { return math.Exp(-float64(age) / float64(lineFade)) }
