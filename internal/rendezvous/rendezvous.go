// Package rendezvous ranks instances for a key by rendezvous hashing. All
// daemons that know the same instances get the same ranking, and an instance
// that comes or goes moves only the keys it ranks for.
package rendezvous

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// candidate is an instance with its weight for one key.
type candidate struct {
	instance string
	weight   uint64
}

// Rank returns the instances in descending order of weight for the key. The
// argument is not changed; its order does not matter.
func Rank(key string, instances []string) []string {
	candidates := weigh(key, instances)
	slices.SortFunc(candidates, compare)
	ranked := make([]string, len(candidates))
	for i, c := range candidates {
		ranked[i] = c.instance
	}
	return ranked
}

// Top returns the first n of Rank, or all when there are fewer, without
// sorting the rest.
func Top(key string, instances []string, n int) []string {
	if n <= 0 {
		return nil
	}
	best := make([]candidate, 0, n+1)
	for _, instance := range instances {
		c := candidate{instance, weight(key, instance)}
		at, _ := slices.BinarySearchFunc(best, c, compare)
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), n)]
	}
	top := make([]string, len(best))
	for i, c := range best {
		top[i] = c.instance
	}
	return top
}

func weigh(key string, instances []string) []candidate {
	candidates := make([]candidate, len(instances))
	for i, instance := range instances {
		candidates[i] = candidate{instance, weight(key, instance)}
	}
	return candidates
}

// weight hashes key and instance; the separator keeps ("ab", "c") and
// ("a", "bc") apart.
func weight(key, instance string) uint64 {
	var buf [128]byte
	joined := append(buf[:0], key...)
	joined = append(joined, 0)
	joined = append(joined, instance...)
	return xxhash.Sum64(joined)
}

func compare(a, b candidate) int {
	switch {
	case a.weight > b.weight:
		return -1
	case a.weight < b.weight:
		return 1
	}
	return strings.Compare(a.instance, b.instance)
}
