package shaping

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// linkRate is the rate of the simulated network link in bits per second.
const linkRate = 10_500_000

// network is a network link that transmits what is sent in the order of sending.
type network struct {
	busyUntil time.Duration
}

// send returns how long the last byte waits for the link and its transmission.
func (n *network) send(now time.Duration, bytes int) time.Duration {
	n.busyUntil = max(n.busyUntil, now) + time.Duration(bytes)*8*time.Second/linkRate
	return n.busyUntil - now
}

// result holds the delays of small frames, and of large ones from being queued to
// being transmitted completely.
type result struct{ small, large []time.Duration }

func (r *result) percentiles(delays []time.Duration) (median, ninetieth time.Duration) {
	sorted := slices.Sorted(slices.Values(delays))
	return sorted[len(sorted)/2], sorted[len(sorted)*9/10]
}

// replay sends 60 small answers and 8 downloads of 90 kB in a second, at random
// times, for a minute: downloads take a bit over half of the link.
func replay(shaped bool) result {
	const smallBytes, largeBytes, partSize = 1500, 90_000, 8192
	random := rand.New(rand.NewPCG(1, 2))
	shaper, link := NewShaper(linkRate), &network{}
	var out result
	type download struct {
		queued    time.Duration
		remaining int
	}
	waiting := map[*Turn]*download{}
	for now := time.Duration(0); now < time.Minute; now += ms {
		if random.Float64() < 0.06 {
			shaper.Consume(now, smallBytes)
			out.small = append(out.small, link.send(now, smallBytes))
		}
		if random.Float64() < 0.008 {
			if !shaped {
				out.large = append(out.large, link.send(now, largeBytes))
				continue
			}
			waiting[shaper.Queue(now, partSize)] = &download{now, largeBytes}
		}
		granted, _ := shaper.Grant(now)
		for _, turn := range granted {
			d := waiting[turn]
			delete(waiting, turn)
			delay := link.send(now, partSize)
			if d.remaining -= partSize; d.remaining <= 0 {
				out.large = append(out.large, now+delay-d.queued)
				continue
			}
			waiting[shaper.Queue(d.queued, partSize)] = d
		}
	}
	return out
}

// TestSmallFramesDoNotWaitBehindDownloads replays a machine whose downloads take
// over half of its network link, with and without the shaper.
func TestSmallFramesDoNotWaitBehindDownloads(t *testing.T) {
	plain, shaped := replay(false), replay(true)
	_, plainSmall := plain.percentiles(plain.small)
	_, shapedSmall := shaped.percentiles(shaped.small)
	if shapedSmall > 25*ms || plainSmall < 4*shapedSmall {
		t.Errorf("nine of ten small frames arrive within %s, without the shaper within %s", shapedSmall, plainSmall)
	}
	plainLarge, _ := plain.percentiles(plain.large)
	shapedLarge, _ := shaped.percentiles(shaped.large)
	if shapedLarge > plainLarge*3/2 {
		t.Errorf("the median download takes %s, without the shaper %s", shapedLarge, plainLarge)
	}
}

func TestPartsOfEarlierFramesGoFirst(t *testing.T) {
	s := NewShaper(linkRate)
	s.Consume(0, 100_000)
	second, first := s.Queue(2, 10), s.Queue(1, 10)
	again, dropped := s.Queue(1, 10), s.Queue(1, 10)
	s.Cancel(dropped)
	if granted, next := s.Grant(0); len(granted) > 0 || next < 80*ms {
		t.Errorf("with no credit left: granted %d, next after %s", len(granted), next)
	}
	granted, next := s.Grant(time.Second)
	if !slices.Equal(granted, []*Turn{first, again, second}) || next != 0 {
		t.Errorf("granted in the wrong order: %v, next after %s", granted, next)
	}
}

func TestUnusedRateIsLimited(t *testing.T) {
	s := NewShaper(8_000_000)
	for range 100 {
		s.Queue(0, 1000)
	}
	granted, next := s.Grant(time.Hour)
	if want := 19; len(granted) != want || next <= 0 {
		t.Errorf("granted %d parts after an idle hour, want %d; next after %s", len(granted), want, next)
	}
}

// TestSmallFramesDoNotStarveLargeOnes covers a link that small frames alone use up for
// a while. Large frames still go on, if slowly.
func TestSmallFramesDoNotStarveLargeOnes(t *testing.T) {
	s := NewShaper(8_000_000)
	sent := 0
	s.Queue(0, 8192)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		s.Consume(now, 20_000)
		granted, _ := s.Grant(now)
		for range granted {
			sent++
			s.Queue(now, 8192)
		}
	}
	s.Grant(10*time.Second + maxDebtTime + 20*ms)
	if len(s.waiting) > 0 || sent == 0 {
		t.Errorf("%d parts sent in ten busy seconds, %d wait after them", sent, len(s.waiting))
	}
}
