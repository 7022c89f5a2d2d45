package hop

import "slices"

// maxStreamRanges bounds the ranges of a streamSet. Streams are numbered in sequence, so
// that gaps remain only for frames that have not arrived.
const maxStreamRanges = 256

// streamSet is a set of stream numbers. If it has more than maxStreamRanges gaps, it
// also contains some numbers that were not added: a stream that counts as received is
// never sent again.
type streamSet struct {
	// ranges are disjoint, not adjacent and in ascending order.
	ranges []streamRange
}

// streamRange is the numbers from first to last, both included.
type streamRange struct{ first, last uint64 }

// contains reports whether the set has the stream.
func (s *streamSet) contains(stream uint64) bool {
	i := s.search(stream)
	return i < len(s.ranges) && s.ranges[i].first <= stream
}

// search returns the index of the first range that ends at the stream or after it.
func (s *streamSet) search(stream uint64) int {
	i, _ := slices.BinarySearchFunc(s.ranges, stream, func(r streamRange, stream uint64) int {
		if r.last < stream {
			return -1
		}
		return 1
	})
	return i
}

// add adds a stream.
func (s *streamSet) add(stream uint64) { s.addRange(streamRange{stream, stream}) }

// addAll adds all streams of another set.
func (s *streamSet) addAll(other *streamSet) {
	for _, r := range other.ranges {
		s.addRange(r)
	}
}

// addRange adds a range and merges the ranges that it touches.
func (s *streamSet) addRange(added streamRange) {
	from := s.search(added.first)
	if from > 0 && s.ranges[from-1].last+1 == added.first {
		from--
	}
	to := from
	for to < len(s.ranges) && s.ranges[to].first <= added.last+1 {
		added.first = min(added.first, s.ranges[to].first)
		added.last = max(added.last, s.ranges[to].last)
		to++
	}
	s.ranges = slices.Replace(s.ranges, from, to, added)
	if len(s.ranges) > maxStreamRanges {
		s.ranges[1].first = s.ranges[0].first
		s.ranges = slices.Delete(s.ranges, 0, 1)
	}
}
