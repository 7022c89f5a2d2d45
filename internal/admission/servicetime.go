package admission

import (
	"sync/atomic"
	"time"
)

// serviceTime follows how long slots are held: a moving mean for the wait in
// the queue, and a low value that tracks quick requests for the judgement
// whether one can still make it, so that a mix of quick and slow requests does
// not shut out the quick ones.
type serviceTime struct {
	meanNs  atomic.Int64
	quickNs atomic.Int64
}

const (
	// meanShare is the inverse weight of a new sample in the mean.
	meanShare = 16
	// quickRise is the inverse step up of the low value, per sample above it.
	quickRise = 64
)

func (s *serviceTime) add(sample time.Duration) {
	old := s.meanNs.Load()
	if old == 0 {
		s.meanNs.Store(int64(sample))
		s.quickNs.Store(int64(sample))
		return
	}
	s.meanNs.Store(old + (int64(sample)-old)/meanShare)
	quick := s.quickNs.Load()
	if int64(sample) < quick {
		s.quickNs.Store(int64(sample))
		return
	}
	s.quickNs.Store(quick + (int64(sample)-quick)/quickRise)
}

func (s *serviceTime) mean() time.Duration { return time.Duration(s.meanNs.Load()) }

func (s *serviceTime) quick() time.Duration { return time.Duration(s.quickNs.Load()) }
