package scheduler

import "testing"

// A table group has two preferred engines, and one more for each average engine's part of all traffic that the group
// has.
func TestPopularGroupHasMorePreferredEngines(t *testing.T) {
	p := newPopularity()
	if got := p.preferredEngines(1, 30); got != 2 {
		t.Fatalf("%d preferred engines for a group never seen, want 2", got)
	}
	for i := range 5000 {
		group := 100 + i%50
		if i%10 == 0 {
			group = 1
		}
		p.add(group)
	}
	popular, other := p.preferredEngines(1, 30), p.preferredEngines(101, 30)
	if popular != 4 || other != 2 {
		t.Fatalf("%d preferred engines for a tenth of the traffic over 30 engines, %d for a fiftieth", popular, other)
	}
}
