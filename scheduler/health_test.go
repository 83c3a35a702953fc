package scheduler

import (
	"fmt"
	"testing"

	"chutechute/internal/monotime"
)

// An ejected engine gets one probation request after its backoff, and a response to that ends the ejection.
func TestEjectedEngineReturnsAfterOneProbationRequest(t *testing.T) {
	sched := newTestScheduler(t, testConfig(), completeUpdate("a"))
	sched.Step(0, []Event{completeUpdate("a", "b")})
	sched.eject(sched.endpoints.byName["b"])
	now := minEjectionBackoff - 1
	for id := range uint64(3) {
		for _, s := range startedAttempts(sched.Step(now, []Event{newRequest(id, 0, now)})) {
			if s.Engine == "b" {
				t.Fatal("sent to an ejected engine before its probation")
			}
		}
	}
	now = 2 * minEjectionBackoff
	probationRequests := 0
	for id := uint64(10); id < 14; id++ {
		for _, s := range startedAttempts(sched.Step(now, []Event{newRequest(id, 0, now)})) {
			if s.Engine == "b" {
				probationRequests++
				defer func(id uint64) {
					sched.Step(now+1000, []Event{newOutcome(id, 0, "b", Succeeded, 1000)})
					if sched.endpoints.byName["b"].health.ejected {
						t.Error("a response did not end the ejection")
					}
				}(s.ID)
			}
		}
	}
	if probationRequests != 1 {
		t.Fatalf("%d probation requests at once, want 1", probationRequests)
	}
}

// Guards against every front end trying every engine of a lost zone with clients' queries: the whole zone is ejected
// once two of its engines are unresponsive, and health checks find out when it is back.
func TestZoneIsEjectedAfterTwoUnresponsiveEngines(t *testing.T) {
	update := EndpointUpdate{Kind: UpdateComplete}
	for i := range 6 {
		zone := []string{"x", "y"}[i%2]
		update.Endpoints = append(update.Endpoints, Endpoint{Engine: fmt.Sprint("e", i), Zone: zone, Kind: "k"})
	}
	sched := newTestScheduler(t, largeEngineConfig(), update)
	ejected := func(zone string) (n int) {
		for _, e := range sched.endpoints.servingInZone(zone) {
			if e.health.ejected {
				n++
			}
		}
		return n
	}
	sched.Step(2*monotime.Second, []Event{EngineUnresponsive{Engine: "e0"}})
	if ejected("x") != 1 {
		t.Fatalf("%d ejected after one was unresponsive, want 1", ejected("x"))
	}
	sched.Step(2*monotime.Second+1000, []Event{EngineUnresponsive{Engine: "e2"}})
	if ejected("x") != 3 || ejected("y") != 0 {
		t.Fatalf("%d engines of the lost zone ejected, want 3, and %d of the other, want 0", ejected("x"), ejected("y"))
	}
	checks := map[string]int{}
	for now := 2*monotime.Second + 2000; now < 3*monotime.Second; now += sweepInterval {
		for _, a := range sched.Step(now, []Event{Timer{Token: "sweep"}}) {
			if p, ok := a.(HealthCheck); ok {
				checks[p.Engine]++
			}
		}
	}
	if len(checks) == 0 || len(checks) > 3 {
		t.Fatalf("health checks by engine %v in a second, want 1 to 3 engines", checks)
	}
	for name := range checks {
		sched.Step(4*monotime.Second, []Event{HealthCheckResult{Engine: name, Result: Succeeded}})
		e := sched.endpoints.byName[name]
		if e.health.ejected || e.warmUp.state != warmUpAssumed {
			t.Fatalf("engine that responds after two seconds: ejected %v, warm-up state %v",
				e.health.ejected, e.warmUp.state)
		}
	}
	sched.Step(4*monotime.Second+maxDiscoveryDelay, []Event{Timer{Token: "sweep"}})
	for _, e := range sched.endpoints.engines {
		if e.warmUp.active() {
			t.Fatal("still warming up at a time by which discovery would have reported a restart")
		}
	}
}

// A zone with two unresponsive engines is not ejected while another of its engines responds.
func TestZoneWithAResponsiveEngineIsNotEjected(t *testing.T) {
	sched := newTestScheduler(t, largeEngineConfig(), completeUpdate("a", "b", "c", "e"))
	sched.Step(2*monotime.Second, []Event{EngineUnresponsive{Engine: "a"}, newRequest(1, 0, 2*monotime.Second)})
	s := startedAttempts(sched.Step(2*monotime.Second, []Event{newRequest(2, 0, 2*monotime.Second)}))
	sched.Step(2*monotime.Second+1000, []Event{newOutcome(2, 0, s[0].Engine, Succeeded, 1000)})
	sched.Step(2*monotime.Second+2000, []Event{EngineUnresponsive{Engine: "b"}})
	for _, e := range sched.endpoints.engines {
		if e.health.ejected != (e.Engine == "a" || e.Engine == "b") {
			t.Fatalf("%s: ejected %v", e.Engine, e.health.ejected)
		}
	}
}

// Guards against an engine that fails queries at once, therefore looks idle, and attracts more of them: errors raise
// its outlier score, so that it counts for fewer cores.
func TestErrorsRaiseTheOutlierScore(t *testing.T) {
	sched := newTestScheduler(t, largeEngineConfig(), completeUpdate("a", "b"))
	e := sched.endpoints.byName["a"]
	q := &query{class: sched.classes[0], attempts: []attempt{{engine: e}}}
	for range 20 {
		sched.learnFromOutcome(q, &q.attempts[0], Outcome{Result: Errored})
	}
	if sched.updateStatistics(); sched.effectiveCores(e) > 0.6*e.cores {
		t.Fatalf("counts for %.1f of %.0f cores, want at most 0.6 of them", sched.effectiveCores(e), e.cores)
	}
}
