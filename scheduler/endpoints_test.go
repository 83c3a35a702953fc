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

// An attempt that has waited since its start may be sent only if its engine has not changed for the worse and its query
// is open.
func TestAttemptThatWaitedMayStillStart(t *testing.T) {
	now := monotime.Second
	listed := func(state EngineState, started monotime.Micros) []Event {
		return []Event{EndpointUpdate{Endpoints: []Endpoint{{Engine: "a", Kind: "k", State: state, Started: started}}}}
	}
	for name, test := range map[string]struct {
		events []Event
		want   bool
	}{
		"nothing":        {nil, true},
		"listed again":   {listed(Serving, 0), true},
		"draining":       {listed(Draining, 0), false},
		"removed":        {listed(Removed, 0), false},
		"back again":     {append(listed(Removed, 0), listed(Serving, now)...), false},
		"restarted":      {listed(Serving, now), false},
		"missing":        {[]Event{completeUpdate("b")}, false},
		"unresponsive":   {[]Event{EngineUnresponsive{Engine: "a"}}, false},
		"client gone":    {[]Event{ClientDisconnected{ID: 1}}, false},
		"deadline":       {[]Event{ClientDisconnected{ID: 1, AnswerDue: true}}, false},
		"attempt's end":  {[]Event{Outcome{ID: 1, Engine: "a", Result: NotSent}}, false},
		"another engine": {[]Event{completeUpdate("a", "b")}, true},
	} {
		sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
		if got := startedAttempts(sched.Step(now, []Event{newRequest(1, 0, now)})); len(got) != 1 {
			t.Fatalf("attempts %v", got)
		}
		sched.Step(now+1000, test.events)
		if got := sched.MayStillStart(1, 0); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
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
