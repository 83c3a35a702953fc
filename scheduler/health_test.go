package scheduler

import (
	"fmt"
	"testing"

	"chutechute/internal/monotime"
)

// A refused connection ejects an engine; one trial after the backoff, and its answer brings it back.
func TestEjectedEngineReturnsAfterOneProbationRequest(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
	sched.Step(0, []Event{completeUpdate("a", "b")})
	sched.eject(sched.endpoints.byName["b"])
	now := minEjectionBackoff - 1
	for id := range uint64(3) {
		for _, s := range startedAttempts(sched.Step(now, []Event{newRequest(id, 0, now)})) {
			if s.Engine == "b" {
				t.Fatal("sent to an ejected engine before its trial")
			}
		}
	}
	now = 2 * minEjectionBackoff
	trials := 0
	for id := uint64(10); id < 14; id++ {
		for _, s := range startedAttempts(sched.Step(now, []Event{newRequest(id, 0, now)})) {
			if s.Engine == "b" {
				trials++
				defer func(id uint64) {
					sched.Step(now+1000, []Event{newOutcome(id, 0, "b", Succeeded, 1000)})
					if sched.endpoints.byName["b"].health.ejected {
						t.Error("an answer did not bring the engine back")
					}
				}(s.ID)
			}
		}
	}
	if trials != 1 {
		t.Fatalf("%d trials at once, want 1", trials)
	}
}

// Found on zone+vast: each of 13 engines of a lost zone was tried by each gateway with queries that clients waited for.
func TestZoneIsEjectedAfterTwoUnresponsiveEngines(t *testing.T) {
	var update EndpointUpdate
	update.Kind = UpdateComplete
	for i := range 6 {
		update.Entries = append(update.Entries, Endpoint{Engine: fmt.Sprint("e", i), Zone: []string{"x", "y"}[i%2], Kind: "k"})
	}
	sched := newTestScheduler(t, largeEngineConfig(), update)
	out := func(zone string) (n int) {
		for _, e := range sched.endpoints.inZone(zone) {
			if e.health.ejected {
				n++
			}
		}
		return n
	}
	sched.Step(2*monotime.Second, []Event{EngineUnresponsive{Engine: "e0"}})
	if out("x") != 1 {
		t.Fatalf("%d out after one was not heard", out("x"))
	}
	sched.Step(2*monotime.Second+1000, []Event{EngineUnresponsive{Engine: "e2"}})
	if out("x") != 3 || out("y") != 0 {
		t.Fatalf("%d of the lost zone out, %d of the other", out("x"), out("y"))
	}
	probes := map[string]int{}
	for now := 2*monotime.Second + 2000; now < 3*monotime.Second; now += sweepInterval {
		for _, a := range sched.Step(now, []Event{Timer{Token: "sweep"}}) {
			if p, ok := a.(HealthCheck); ok {
				probes[p.Engine]++
			}
		}
	}
	if len(probes) == 0 || len(probes) > 3 {
		t.Fatalf("probes %v in a second", probes)
	}
	for name := range probes {
		sched.Step(4*monotime.Second, []Event{HealthCheckResult{Engine: name, Result: Succeeded}})
		e := sched.endpoints.byName[name]
		if e.health.ejected || e.warmUp.state != warmUpAssumed {
			t.Fatalf("an engine that is heard after two seconds: out %v, cold %v", e.health.ejected, e.warmUp.active())
		}
	}
	sched.Step(4*monotime.Second+maxDiscoveryDelay, []Event{Timer{Token: "sweep"}})
	for _, e := range sched.endpoints.engines {
		if e.warmUp.active() {
			t.Fatal("still held for cold when the list would have told")
		}
	}
}

// One that is heard of beside others that are silent is no sign of a lost zone.
func TestZoneWithAResponsiveEngineIsNotEjected(t *testing.T) {
	sched := newTestScheduler(t, largeEngineConfig(), completeUpdate("a", "b", "c", "e"))
	sched.Step(2*monotime.Second, []Event{EngineUnresponsive{Engine: "a"}, newRequest(1, 0, 2*monotime.Second)})
	s := startedAttempts(sched.Step(2*monotime.Second, []Event{newRequest(2, 0, 2*monotime.Second)}))
	sched.Step(2*monotime.Second+1000, []Event{newOutcome(2, 0, s[0].Engine, Succeeded, 1000)})
	sched.Step(2*monotime.Second+2000, []Event{EngineUnresponsive{Engine: "b"}})
	for _, e := range sched.endpoints.engines {
		if e.health.ejected != (e.Engine == "a" || e.Engine == "b") {
			t.Fatalf("%s: out %v", e.Engine, e.health.ejected)
		}
	}
}

// An engine that fails at once looks idle: its errors count as slowness, so that it gets less.
func TestErrorsRaiseTheOutlierScore(t *testing.T) {
	sched := newTestScheduler(t, largeEngineConfig(), completeUpdate("a", "b"))
	e := sched.endpoints.byName["a"]
	q := &query{class: sched.classes[0], attempts: []attempt{{engine: e}}}
	for range 20 {
		sched.learnFromOutcome(q, &q.attempts[0], Outcome{Result: Errored})
	}
	if sched.survey(); sched.size(e) > 0.6*e.cores {
		t.Fatalf("worth %.1f of %.0f cores", sched.size(e), e.cores)
	}
}
