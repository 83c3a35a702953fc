package scheduler

import (
	"testing"

	"chutechute/internal/monotime"
)

// Rule 3: no attempt goes to an engine that is draining, removed, or missing from a complete update.
func TestNoAttemptGoesToAnEngineThatIsNotServing(t *testing.T) {
	for name, update := range map[string]EndpointUpdate{
		"draining": {Endpoints: []Endpoint{{Engine: "a", Kind: "k", State: Draining}}},
		"removed":  {Endpoints: []Endpoint{{Engine: "a", Kind: "k", State: Removed}}},
		"missing":  completeUpdate("b"),
	} {
		sched := newTestScheduler(t, testConfig(), completeUpdate("a", "b"))
		now := monotime.Second
		got := startedAttempts(sched.Step(now, []Event{update, newRequest(1, 0, now), newRequest(2, 0, now)}))
		if len(got) != 2 || got[0].Engine != "b" || got[1].Engine != "b" {
			t.Errorf("%s: attempts %v, want both on b", name, got)
		}
	}
}

// Where endpoint updates come only after a Subscribe, a timer repeats a failed subscription, even at an idle front end.
func TestFailedSubscriptionIsRetriedByTimer(t *testing.T) {
	cfg := testConfig()
	cfg.PollEndpoints, cfg.Rules.DiscoveryTimeout = true, 10*monotime.Second
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
	subscribed := false
	for _, a := range sched.Step(at, []Event{Timer{Token: "list"}}) {
		_, ok := a.(Subscribe)
		subscribed = subscribed || ok
	}
	if at <= 2*monotime.Second || at > 7*monotime.Second || !subscribed {
		t.Fatalf("timer at %d, subscribed again %v", at, subscribed)
	}
}
