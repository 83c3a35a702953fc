package scheduler

import (
	"reflect"
	"testing"

	"chutechute/internal/monotime"
)

// The same events lead to the same actions, even if another Scheduler is stepped in between.
func TestSameEventsLeadToTheSameActions(t *testing.T) {
	run := func(between bool) (all []Action) {
		sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b", "c"))
		other := newTestScheduler(t, testConfig(), completeUpdate("x", "y"))
		for i := range 300 {
			now := monotime.Micros(i) * 3000
			r := newRequest(uint64(i), i%2, now)
			r.TableGroup = i % 5
			events := []Event{r, Timer{Token: "sweep"}}
			if i > 9 {
				if q := sched.queries[uint64(i-9)]; q != nil && q.inFlight > 0 {
					events = append(events, newOutcome(q.ID, 0, q.attempts[0].engine.Engine, Result(i%3), 20_000))
				}
			}
			if between {
				other.Step(now, []Event{newRequest(uint64(i), 0, now)})
			}
			all = append(all, sched.Step(now, events)...)
		}
		return all
	}
	if one, two := run(false), run(true); !reflect.DeepEqual(one, two) || len(one) < 300 {
		t.Fatalf("%d and %d actions, want the same actions twice and at least 300", len(one), len(two))
	}
}
