package scheduler

import (
	"testing"

	"chutechute/internal/monotime"
)

// Rule 3: nothing goes to an engine that drains, is removed, or is missing from a complete list.
func TestNoAttemptGoesToAnEngineThatIsNotServing(t *testing.T) {
	for name, update := range map[string]EndpointUpdate{
		"draining": {Entries: []Endpoint{{Engine: "a", Kind: "k", State: Draining}}},
		"removed":  {Entries: []Endpoint{{Engine: "a", Kind: "k", State: Removed}}},
		"missing":  completeUpdate("b"),
	} {
		sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
		got := startedAttempts(sched.Step(monotime.Second, []Event{update, newRequest(1, 0, monotime.Second), newRequest(2, 0, monotime.Second)}))
		if len(got) != 2 || got[0].Engine != "b" || got[1].Engine != "b" {
			t.Errorf("%s: sends %v, want both to b", name, got)
		}
	}
}

// Where lists must be asked for, a failed call is made again though nothing else happens at an idle gateway.
func TestFailedSubscriptionIsRetriedByTimer(t *testing.T) {
	cfg := testConfig()
	cfg.PollEndpoints, cfg.Rules.ResponseTimeout = true, 10*monotime.Second
	sched, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	sched.Step(monotime.Second, []Event{EndpointUpdate{Kind: UpdateCached}})
	var at monotime.Micros
	for _, a := range sched.Step(2*monotime.Second, []Event{EndpointUpdate{Kind: UpdateFailed}}) {
		if s, ok := a.(SetTimer); ok {
			at = s.At
		}
	}
	asked := false
	for _, a := range sched.Step(at, []Event{Timer{Token: "list"}}) {
		_, ok := a.(Subscribe)
		asked = asked || ok
	}
	if at <= 2*monotime.Second || at > 7*monotime.Second || !asked {
		t.Fatalf("timer at %d, asked again %v", at, asked)
	}
}
