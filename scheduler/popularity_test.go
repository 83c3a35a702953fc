package scheduler

import (
	"testing"
)

// A table group of much of the traffic has a home for each engine's worth of it; any other has two.
func TestPopularGroupHasMoreHomeEngines(t *testing.T) {
	p := newPopularity()
	if got := p.homeEngines(1, 30); got != 2 {
		t.Fatalf("%d homes for a group never seen", got)
	}
	for i := range 5000 {
		group := 100 + i%50
		if i%10 == 0 {
			group = 1
		}
		p.add(group)
	}
	if hot, cold := p.homeEngines(1, 30), p.homeEngines(101, 30); hot != 4 || cold != 2 {
		t.Fatalf("%d homes for a tenth of the traffic over 30 engines, %d for a fiftieth", hot, cold)
	}
}
