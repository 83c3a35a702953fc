package decide_test

import (
	"fmt"

	"chutechute/decide"
)

// A gateway is told of one engine and sends it the first query.
func ExampleDispatcher_Step() {
	d, err := decide.New(decide.Config{
		Gateways: 1,
		Kinds:    []decide.Kind{{Name: "small", Cores: 4}},
		Classes:  []decide.Class{{Name: "short", Aim: decide.Second, GiveUp: 5 * decide.Second, Worth: 1, Threads: 1}},
		Limits:   decide.Limits{Cancel: true, MaxAttempts: 3},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	list := decide.List{Kind: decide.ListComplete, Entries: []decide.Entry{{Engine: "e1", Kind: "small"}}}
	query := decide.Request{ID: 7, Tenant: -1, Deadline: 5 * decide.Second}
	for _, action := range d.Step(0, []decide.Event{list, query}) {
		if send, ok := action.(decide.Send); ok {
			fmt.Println("query", send.ID, "to", send.Engine)
		}
	}
	// Output: query 7 to e1
}
