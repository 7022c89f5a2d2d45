package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func instances(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("instance-%03d", i)
	}
	return names
}

func TestRankIgnoresOrder(t *testing.T) {
	names := instances(50)
	want := Rank("key", names)
	slices.Reverse(names)
	if got := Rank("key", names); !slices.Equal(got, want) {
		t.Errorf("rank depends on the order of its argument:\n%v\n%v", got, want)
	}
}

func TestTopIsThePrefixOfRank(t *testing.T) {
	names := instances(40)
	for n := 0; n <= 41; n++ {
		want := Rank("key", names)[:min(n, len(names))]
		if got := Top("key", names, n); !slices.Equal(got, want) {
			t.Errorf("Top(%d) = %v, want %v", n, got, want)
		}
	}
}

func TestLosingAnInstanceMovesOnlyItsKeys(t *testing.T) {
	names := instances(20)
	lost := names[7]
	left := slices.Delete(slices.Clone(names), 7, 8)
	counts := map[string]int{}
	for i := range 2000 {
		key := fmt.Sprint("key-", i)
		before := Top(key, names, 1)[0]
		after := Top(key, left, 1)[0]
		counts[before]++
		if before != lost && after != before {
			t.Errorf("%s moved from %s to %s", key, before, after)
		}
	}
	for _, name := range names {
		if counts[name] < 50 || counts[name] > 200 {
			t.Errorf("%s ranks first for %d of 2000 keys, want about 100", name, counts[name])
		}
	}
}
