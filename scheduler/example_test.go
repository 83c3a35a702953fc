package scheduler_test

import (
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// A front end learns of one engine and starts its first query there.
func ExampleScheduler_Step() {
	sched, err := scheduler.New(scheduler.Config{
		FrontEnds: 1,
		Kinds:     []scheduler.EngineKind{{Name: "small", Cores: 4}},
		Classes: []scheduler.Class{{
			Name: "short", LatencyObjective: monotime.Second, ClientTimeout: 5 * monotime.Second, PriorityWeight: 1, Threads: 1,
		}},
		Limits: scheduler.Limits{Cancel: true, MaxAttempts: 3},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	update := scheduler.EndpointUpdate{
		Kind:      scheduler.UpdateComplete,
		Endpoints: []scheduler.Endpoint{{Engine: "e1", Kind: "small"}},
	}
	query := scheduler.Request{ID: 7, Tenant: -1, Deadline: 5 * monotime.Second}
	for _, action := range sched.Step(0, []scheduler.Event{update, query}) {
		if start, ok := action.(scheduler.StartAttempt); ok {
			fmt.Println("query", start.ID, "to", start.Engine)
		}
	}
	// Output: query 7 to e1
}
