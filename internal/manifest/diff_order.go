package manifest

import (
	"fmt"
	"slices"
)

// diffOrder returns a smallest set of moves that turns the old order of the
// routes into the new one. It considers only routes of both manifests.
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
	unmoved := longestIncreasingSubsequence(order)
	var changes []Change
	for i, name := range common {
		if !unmoved[i] {
			changes = append(changes, moveChange(name, common, i))
		}
	}
	return changes
}

// moveChange returns the change for a route that moved to the position in common,
// the routes of both manifests in the new order.
func moveChange(name string, common []string, position int) Change {
	place := "before every other route"
	if position > 0 {
		place = fmt.Sprintf("after route %q", common[position-1])
	}
	return Change{Kind: Moved, Entry: EntryRoute, Name: name, Fields: []FieldChange{{Field: "position", New: place}}}
}

// longestIncreasingSubsequence returns, for each element of order, whether it
// belongs to one longest increasing subsequence.
func longestIncreasingSubsequence(order []int) []bool {
	// tails[n] is the index of the smallest last value of all increasing
	// subsequences of length n+1; previous[i] is the index of the element
	// before i in its subsequence, or -1.
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
