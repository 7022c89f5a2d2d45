package store

import (
	"slices"
	"testing"
)

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	for name, c := range map[string]struct {
		p, q Position
		want bool
	}{
		"later version":                            {Position{1, 8}, Position{1, 7}, true},
		"same position":                            {Position{1, 7}, Position{1, 7}, false},
		"earlier version of a later era":           {Position{2, 3}, Position{1, 7}, true},
		"later version of an earlier era":          {Position{1, 9}, Position{2, 3}, false},
		"any position after the one not known yet": {Position{0, 1}, Position{}, true},
	} {
		if got := c.p.After(c.q); got != c.want {
			t.Errorf("%s: got %t", name, got)
		}
	}
}

func TestAnswerOfEarlierEraIsNotUsed(t *testing.T) {
	var advanced []Era
	tracker := &EraTracker{}
	tracker.SetListener(EraListener{Advanced: func(era Era) { advanced = append(advanced, era) }})
	for _, c := range []struct {
		era  Era
		want bool
	}{{1, true}, {1, true}, {3, true}, {2, false}, {1, false}, {3, true}} {
		if got := tracker.Observe(c.era); got != c.want {
			t.Errorf("era %d: usable %t", c.era, got)
		}
	}
	if want := []Era{1, 3}; !slices.Equal(advanced, want) || tracker.Latest() != 3 {
		t.Errorf("advanced to %v, latest %d; want %v", advanced, tracker.Latest(), want)
	}
}

func TestMissingEraIsReportedOnceAndCountsAsZero(t *testing.T) {
	reports := 0
	tracker := &EraTracker{}
	tracker.SetListener(EraListener{Unreadable: func(string) { reports++ }})
	if !tracker.ObserveUnreadable("") || !tracker.ObserveUnreadable("x") || reports != 1 {
		t.Errorf("%d reports of an unreadable era, want 1", reports)
	}
	tracker.Observe(2)
	if tracker.ObserveUnreadable("") {
		t.Error("an answer without an era is used after one of era 2")
	}
}
