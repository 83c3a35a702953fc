package scheduler_test

import (
	"fmt"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// A gateway learns of one engine and starts the first query on it.
func ExampleScheduler_Step() {
	gateway, err := scheduler.New(scheduler.Config{
		Gateways: 1,
		Kinds:    []scheduler.EngineKind{{Name: "small", Cores: 4}},
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
	for _, action := range gateway.Step(0, []scheduler.Event{update, query}) {
		if start, ok := action.(scheduler.StartAttempt); ok {
			fmt.Println("query", start.ID, "to", start.Engine)
		}
	}
	// Output: query 7 to e1
}
