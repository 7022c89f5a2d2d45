package claim

import (
	"time"

	"godwitmount/internal/platform"
)

// Config holds the bounds of a claim holder.
type Config struct {
	// Mesh is the mesh's name; requests of another mesh are refused.
	Mesh string
	// DataCentre is the holder's own.
	DataCentre string
	// Horizon is for how long a key is remembered, and so for how long a caller
	// may repeat a request. It is also the tenure that a grant from memory
	// needs.
	Horizon time.Duration
	// DetectionMargin is added where the horizon is measured from the loss of
	// an instance: two daemons may notice one cut that far apart.
	DetectionMargin time.Duration
	// MaxBatch is how many rows one transaction writes.
	MaxBatch int
	// MaxQueue is how many claims may wait to be written.
	MaxQueue int
	// MaxClaims is how many claims are remembered.
	MaxClaims int
	// MaxAnswers and MaxAnswerBytes bound the answers kept for repeats.
	MaxAnswers     int
	MaxAnswerBytes int
	// MaxAnswerSize is the largest answer body kept, in bytes.
	MaxAnswerSize int
	// WriteTimeout is after how long an unanswered batch counts as lost.
	WriteTimeout time.Duration
	// ProbeInterval is how often the platform is tried again while away.
	ProbeInterval time.Duration
	// HandOverTimeout is after how long an unanswered hand-over is sent again.
	HandOverTimeout time.Duration
	// MaxHandOver is how many claims one hand-over message carries.
	MaxHandOver int
	// MaxHandOverBytes is about how large one such message may be.
	MaxHandOverBytes int
	// MaxHandOversInFlight bounds the unanswered hand-overs to joiners.
	MaxHandOversInFlight int
	// MaxViews is how many past views are remembered to judge tenure.
	MaxViews int
	// MaxWait bounds how long a repeat waits for a running attempt.
	MaxWait time.Duration
	// RetryAfter is what refused callers are told when nothing better is known.
	RetryAfter time.Duration
}

// DefaultConfig returns the defaults for a mesh and data centre.
func DefaultConfig(mesh, dataCentre string) Config {
	return Config{
		Mesh:             mesh,
		DataCentre:       dataCentre,
		Horizon:          10 * time.Minute,
		DetectionMargin:  30 * time.Second,
		MaxBatch:         platform.MaxWrites,
		MaxQueue:         4096,
		MaxClaims:        1 << 16,
		MaxAnswers:       1024,
		MaxAnswerBytes:   4 << 20,
		MaxAnswerSize:    64 << 10,
		WriteTimeout:     2 * time.Second,
		ProbeInterval:    time.Second,
		HandOverTimeout:  time.Second,
		MaxHandOver:      500,
		MaxHandOverBytes: 256 << 10,

		MaxHandOversInFlight: 8,
		MaxViews:             256,
		MaxWait:              30 * time.Second,
		RetryAfter:           2 * time.Second,
	}
}
