package manifest

import (
	"fmt"
	"slices"
)

// diffOrder reports the fewest routes that, when moved, turn the old order
// into the new one. Only routes of both manifests count.
func diffOrder(old, new []entry) []Change {
	positions := make(map[string]int, len(old))
	for i, e := range old {
		positions[e.name] = i
	}
	var common []string
	var order []int
	for _, e := range new {
		if position, kept := positions[e.name]; kept {
			common = append(common, e.name)
			order = append(order, position)
		}
	}
	stays := longestIncreasing(order)
	var changes []Change
	for i, name := range common {
		if !stays[i] {
			changes = append(changes, movedTo(name, common, i))
		}
	}
	return changes
}

func movedTo(name string, common []string, position int) Change {
	place := "before every other route"
	if position > 0 {
		place = fmt.Sprintf("after route %q", common[position-1])
	}
	return Change{Kind: Moved, Entry: EntryRoute, Name: name, Fields: []FieldChange{{Field: "position", New: place}}}
}

// longestIncreasing marks the members of a longest increasing subsequence.
func longestIncreasing(order []int) []bool {
	// tails[n] is the index of the smallest last value of a subsequence with
	// n+1 members; previous links each index to the one before it.
	var tails []int
	previous := make([]int, len(order))
	for i, value := range order {
		n, _ := slices.BinarySearchFunc(tails, value, func(tail, value int) int { return order[tail] - value })
		previous[i] = -1
		if n > 0 {
			previous[i] = tails[n-1]
		}
		if n == len(tails) {
			tails = append(tails, i)
		} else {
			tails[n] = i
		}
	}
	marked := make([]bool, len(order))
	if len(tails) == 0 {
		return marked
	}
	for i := tails[len(tails)-1]; i >= 0; i = previous[i] {
		marked[i] = true
	}
	return marked
}
