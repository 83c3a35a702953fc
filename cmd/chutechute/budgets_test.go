package main

import (
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// withBudgets sets the budgets of a fleet.
func withBudgets(version int, list ...map[string]any) func(*testharness.Fleet) {
	return func(f *testharness.Fleet) {
		f.FleetSettings["budgets"] = map[string]any{"version": version, "lease_ms": 1000, "list": list}
	}
}

func tenantQuota(rate, burst float64) map[string]any {
	return map[string]any{"name": "quota", "tenant": "t", "rate": rate, "burst": burst}
}

// maxConsumptionLead is the longest time, in microseconds, by which the consumption of a budget precedes the start
// that an engine observes. The scheduler consumes a budget at most a quarter of a second and the transmission time
// before the engine gets the query; the other quarter allows for an event loop and an engine that share a core with
// all other processes.
const maxConsumptionLead = 500_000

// queriesOfTenant returns the units that a start consumes of the budget of tenant t.
func queriesOfTenant(e history.Event) float64 {
	if strings.Contains(e.Body, "tenant=t") {
		return 1
	}
	return 0
}

// budgetWorkload generates the lookups of tenant t under which a budget is tested, and checks what the engines saw
// of them.
type budgetWorkload struct {
	t          *testing.T
	f          *testharness.Fleet
	generators sync.WaitGroup
	stops      []chan struct{}
}

func newBudgetWorkload(t *testing.T, f *testharness.Fleet) *budgetWorkload {
	return &budgetWorkload{t: t, f: f}
}

// startClients starts a workload generator at a front end. The function that it returns stops the generator before
// the end of the test.
func (w *budgetWorkload) startClients(n *testharness.FrontEnd, perSecond float64, runTimeMS int) (stop func()) {
	c := make(chan struct{})
	n.GenerateLookups(&w.generators, c, "t", perSecond, runTimeMS)
	w.stops = append(w.stops, c)
	i := len(w.stops) - 1
	return func() { close(c); w.stops[i] = nil }
}

// stopClients stops all generators and waits for their responses.
func (w *budgetWorkload) stopClients() {
	for _, c := range w.stops {
		if c != nil {
			close(c)
		}
	}
	w.generators.Wait()
}

// wait waits for a span and returns its start and end in the time of the history.
func (w *budgetWorkload) wait(span time.Duration) (from, to int64) {
	from = w.f.History.Now()
	time.Sleep(span)
	return from, w.f.History.Now()
}

// checkRate fails the test if engines saw more than a rate and a burst allow.
func (w *budgetWorkload) checkRate(rate, burst float64) {
	w.t.Helper()
	events := w.f.History.Events()
	for _, violation := range history.CheckRate(
		history.Consumptions(events, maxConsumptionLead, queriesOfTenant), rate, burst) {
		w.t.Errorf("%s", violation)
		for _, e := range history.RelatedEvents(events, violation, 20) {
			w.t.Logf("  %s", e)
		}
	}
}

// utilization returns the fraction of a rate that engines saw in a span.
func (w *budgetWorkload) utilization(rate float64, from, to int64) float64 {
	units := 0.0
	for _, consumption := range history.Consumptions(w.f.History.Events(), maxConsumptionLead, queriesOfTenant) {
		if consumption.Event.At >= from && consumption.Event.At < to {
			units++
		}
	}
	fraction := units / (rate * float64(to-from) / 1e6)
	w.t.Logf("%.2f of the total in use", fraction)
	return fraction
}

// waitUntilOpen waits until leases are granted: a new leader waits until earlier grants have expired.
func (w *budgetWorkload) waitUntilOpen(n *testharness.FrontEnd) {
	w.f.WaitForLeader(3)
	require.Eventually(w.t, func() bool {
		s := n.RawAdminResponse("budgets")
		if s == nil {
			return false
		}
		b, _ := s["budgets"].([]any)
		return len(b) > 0 && b[0].(map[string]any)["open"] == true
	}, testharness.WaitTimeout, 20*time.Millisecond)
}

// A lease that is lost with its holder must not let the fleet exceed the total, nor stay unused. A tenant sends
// three front ends more than its quota. One front end is lost with its disk and comes back. Engines never see more
// than the total, and the total is in use again once the lost lease has expired.
func TestLeaseHolderLostWithItsDisk(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage, withBudgets(1, tenantQuota(60, 12)))
	workload := newBudgetWorkload(t, f)
	workload.waitUntilOpen(f.WaitForLeader(3))
	for i, n := range f.FrontEnds {
		workload.startClients(n, []float64{90, 40, 10}[i], 5)
	}
	time.Sleep(time.Second)
	from, to := workload.wait(3 * time.Second)
	f.FrontEnds[0].Kill(true)
	time.Sleep(2500 * time.Millisecond)
	from2, to2 := workload.wait(2 * time.Second)
	f.FrontEnds[0].Start()
	time.Sleep(2 * time.Second)
	workload.stopClients()
	workload.checkRate(60, 12)
	assert.Greater(t, workload.utilization(60, from, to), 0.85, "before")
	assert.Greater(t, workload.utilization(60, from2, to2), 0.7,
		"after the loss, with a demand of 50 of 60 at the other two")
}

// Leases must follow the demand, and a partition must not let the fleet exceed the total. All traffic comes to one
// of five front ends, and then to another. Then 80% of the traffic comes to two front ends that a partition leaves
// without a majority: they continue with their static allocations, and the others get the rest. After the partition
// the total is in use again.
func TestTrafficMovesAndACut(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 5, withBudgets(1, map[string]any{
		"name": "quota", "tenant": "t", "rate": 100, "burst": 50, "reserve": 0.2}))
	workload := newBudgetWorkload(t, f)
	leader := f.WaitForLeader(3)
	workload.waitUntilOpen(leader)
	// The minority has at most one replica, so that the leader's side keeps a majority of them.
	var minority, majority []*testharness.FrontEnd
	replicas := map[any]bool{}
	for _, c := range leader.RawStatus()["copies"].([]any) {
		replicas[c.(map[string]any)["name"]] = true
	}
	for _, n := range f.FrontEnds {
		if n != leader && len(minority) < 2 && (!replicas[n.Name] || len(minority) == 0) {
			minority = append(minority, n)
		} else {
			majority = append(majority, n)
		}
	}
	stop := workload.startClients(minority[0], 140, 5)
	time.Sleep(time.Second)
	from, to := workload.wait(1500 * time.Millisecond)
	stop()
	stop = workload.startClients(majority[1], 140, 5)
	time.Sleep(time.Second)
	from2, to2 := workload.wait(1500 * time.Millisecond)
	stop()
	for i, n := range append(minority, majority...) {
		workload.startClients(n, []float64{60, 60, 10, 10, 10}[i], 5)
	}
	time.Sleep(time.Second)
	f.SetPartition(true, minority, majority)
	time.Sleep(2500 * time.Millisecond)
	from3, to3 := workload.wait(partitionDuration())
	f.SetPartition(false, minority, majority)
	time.Sleep(2 * time.Second)
	from4, to4 := workload.wait(2 * time.Second)
	workload.stopClients()
	workload.checkRate(100, 50)
	assert.Greater(t, workload.utilization(100, from, to), 0.75,
		"all traffic to one, except for the static allocations of the others")
	assert.Greater(t, workload.utilization(100, from2, to2), 0.75,
		"all traffic to another, a second after it moved")
	assert.Greater(t, workload.utilization(100, from3, to3), 0.3,
		"in the partition: 30 of one side, 8 without a lease of the other")
	assert.Greater(t, workload.utilization(100, from4, to4), 0.85, "after the partition")
}

// partitionDuration is how long a partition lasts: 30 s in long tests.
func partitionDuration() time.Duration {
	if os.Getenv("CHUTECHUTE_LONG") != "" {
		return 30 * time.Second
	}
	return 3 * time.Second
}

// Leases must follow front ends that join and leave. Six front ends join three under load, one every 200 ms. Three
// of them are ended by SIGTERM, after which the total is in use again within a second, and three by SIGKILL, after
// which it is in use again once their leases have expired.
func TestJoinAndLeave(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 9, withBudgets(1, tenantQuota(90, 45)))
	workload := newBudgetWorkload(t, f)
	workload.waitUntilOpen(f.WaitForLeader(3))
	for _, n := range f.FrontEnds[3:] {
		n.Terminate()
	}
	for _, n := range f.FrontEnds[:3] {
		workload.startClients(n, 45, 5)
	}
	time.Sleep(time.Second)
	for _, n := range f.FrontEnds[3:] {
		n.Start()
		workload.startClients(n, 20, 5)
		time.Sleep(200 * time.Millisecond)
	}
	from, to := workload.wait(2 * time.Second)
	var all sync.WaitGroup
	for _, n := range f.FrontEnds[3:6] {
		all.Go(n.Terminate)
	}
	all.Wait()
	time.Sleep(time.Second)
	from2, to2 := workload.wait(1500 * time.Millisecond)
	for _, n := range f.FrontEnds[6:] {
		n.Kill(true)
	}
	time.Sleep(2 * time.Second)
	from3, to3 := workload.wait(1500 * time.Millisecond)
	workload.stopClients()
	workload.checkRate(90, 45)
	assert.Greater(t, workload.utilization(90, from, to), 0.8, "nine front ends")
	assert.Greater(t, workload.utilization(90, from2, to2), 0.8, "after three left")
	assert.Greater(t, workload.utilization(90, from3, to3), 0.8, "after three more were killed")
}

// The total must hold when the leader of the replicated log is lost: it is killed with its disk, then paused for
// 5 s, then partitioned in the outbound direction, while the demand moves between front ends.
func TestAuthorityLost(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage, withBudgets(1, tenantQuota(60, 24)))
	workload := newBudgetWorkload(t, f)
	workload.waitUntilOpen(f.WaitForLeader(3))
	for _, n := range f.FrontEnds {
		workload.startClients(n, 40, 5)
	}
	moving := make(chan struct{})
	workload.generators.Go(func() {
		for i := 0; ; i++ {
			c := make(chan struct{})
			f.FrontEnds[i%3].GenerateLookups(&workload.generators, c, "t", 60, 5)
			select {
			case <-moving:
				close(c)
				return
			case <-time.After(700 * time.Millisecond):
				close(c)
			}
		}
	})
	time.Sleep(time.Second)
	leader := f.WaitForLeader(3)
	leader.Kill(true)
	time.Sleep(2 * time.Second)
	leader.Start()
	leader = f.WaitForLeader(3)
	leader.Pause()
	time.Sleep(5 * time.Second)
	leader.Resume()
	leader = f.WaitForLeader(3)
	f.SetOutboundPartition(leader, true)
	time.Sleep(2 * time.Second)
	f.SetOutboundPartition(leader, false)
	f.WaitForLeader(3)
	time.Sleep(2 * time.Second)
	from, to := workload.wait(2 * time.Second)
	close(moving)
	workload.stopClients()
	workload.checkRate(60, 24)
	assert.Greater(t, workload.utilization(60, from, to), 0.8, "after all faults")
}

// A lease holder must not spend a lease that expired while it was paused. The holder is paused for 10 s while it
// spends, with clients that keep sending.
func TestLeaseHolderPausedWhileSpending(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage, withBudgets(1, tenantQuota(60, 30)))
	workload := newBudgetWorkload(t, f)
	leader := f.WaitForLeader(3)
	workload.waitUntilOpen(leader)
	holder := f.FrontEnds[(leader.Index+1)%3]
	workload.startClients(holder, 100, 5)
	workload.startClients(leader, 50, 5)
	time.Sleep(2 * time.Second)
	holder.Pause()
	time.Sleep(10 * time.Second)
	holder.Resume()
	time.Sleep(2 * time.Second)
	workload.stopClients()
	workload.checkRate(60, 30)
}

// A lowered total must take effect although a front end is partitioned from the others and has the old settings. The
// total is lowered to a tenth under full load. It is in force, and reported to be, once the leases above it have
// expired.
func TestTotalLoweredDuringAPartition(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage, withBudgets(1, tenantQuota(100, 40)))
	workload := newBudgetWorkload(t, f)
	leader := f.WaitForLeader(3)
	workload.waitUntilOpen(leader)
	for _, n := range f.FrontEnds {
		workload.startClients(n, 60, 5)
	}
	time.Sleep(time.Second)
	partitioned := f.FrontEnds[(leader.Index+1)%3]
	connected := []*testharness.FrontEnd{leader, f.FrontEnds[(leader.Index+2)%3]}
	f.SetPartition(true, []*testharness.FrontEnd{partitioned}, connected)
	withBudgets(2, tenantQuota(10, 4))(f)
	for _, n := range connected {
		n.Reload()
	}
	require.Eventually(t, func() bool {
		b := leader.RawAdminResponse("budgets")
		return b != nil && b["version"] == 2.0 && b["budgets"].([]any)[0].(map[string]any)["in_force"] == true
	}, testharness.WaitTimeout, 20*time.Millisecond, "the lower total is in force")
	time.Sleep(time.Second) // queries whose consumption was earlier may still be on their way to engines
	from, _ := workload.wait(4 * time.Second)
	f.SetPartition(false, []*testharness.FrontEnd{partitioned}, connected)
	partitioned.Reload()
	time.Sleep(2 * time.Second)
	workload.stopClients()
	workload.checkRate(100, 40)
	var late []history.Consumption
	for _, consumption := range history.Consumptions(f.History.Events(), maxConsumptionLead, queriesOfTenant) {
		if consumption.Event.At > from {
			late = append(late, consumption)
		}
	}
	assert.Empty(t, history.CheckRate(late, 10, 4))
	assert.NotEmpty(t, late)
}

// A fleet of one, and a fleet that stores its replicated log in memory only, must not grant an amount twice within
// its lease after all their processes were killed and started again.
func TestFleetOfOneAndFullRestart(t *testing.T) {
	t.Parallel()
	fleetOfOne := testharness.NewFleet(t, program, 1, withBudgets(1, tenantQuota(40, 10)))
	fleetOfThree := testharness.NewFleet(t, program, 3, withBudgets(1, tenantQuota(60, 20)))
	one, three := newBudgetWorkload(t, fleetOfOne), newBudgetWorkload(t, fleetOfThree)
	for _, n := range fleetOfThree.FrontEnds {
		three.startClients(n, 40, 5)
	}
	one.startClients(fleetOfOne.FrontEnds[0], 80, 5)
	three.waitUntilOpen(fleetOfThree.WaitForLeader(3))
	time.Sleep(2 * time.Second)
	for _, n := range append(fleetOfThree.FrontEnds, fleetOfOne.FrontEnds...) {
		n.Kill(true)
	}
	for _, n := range append(fleetOfThree.FrontEnds, fleetOfOne.FrontEnds...) {
		n.Start()
	}
	time.Sleep(3 * time.Second)
	from, to := one.wait(2 * time.Second)
	one.stopClients()
	three.stopClients()
	one.checkRate(40, 10)
	three.checkRate(60, 20)
	assert.Greater(t, one.utilization(40, from, to), 0.8, "fleet of one")
	assert.Greater(t, three.utilization(60, from, to), 0.8, "fleet of three")
}

// A concurrency budget must hold although the lease holder that has all of it is killed: the queries that it started
// run on until they have not been polled for 2 s.
func TestConcurrencyBudgetOfALostLeaseHolder(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage, withBudgets(1, map[string]any{
		"name": "places", "tenant": "t", "class": "lookup", "places": 10, "without": "none"}))
	workload := newBudgetWorkload(t, f)
	leader := f.WaitForLeader(3)
	workload.waitUntilOpen(leader)
	holder, other := f.FrontEnds[(leader.Index+1)%3], f.FrontEnds[(leader.Index+2)%3]
	workload.startClients(holder, 20, 1500)
	time.Sleep(2500 * time.Millisecond)
	workload.startClients(other, 20, 1500)
	time.Sleep(time.Second)
	holder.Kill(true)
	time.Sleep(500 * time.Millisecond)
	holder.Start() // a later process of the same name; the lease of the lost one is free 2.35 s later
	time.Sleep(6 * time.Second)
	workload.stopClients()
	violations, most := history.CheckConcurrency(f.History.Events(), 10, queriesOfTenant)
	for _, violation := range violations {
		t.Errorf("%s", violation)
	}
	assert.GreaterOrEqual(t, most, 9.0, "in use at a time, of 10")
}

// The threads of each engine are divided between front ends: no engine may ever run more than its total, although
// one lease holder is paused and another is killed meanwhile.
func TestThreadsOnEachEngine(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage, withBudgets(1, map[string]any{
		"name": "threads", "engine": "*", "class": "lookup", "unit": "threads", "places": 8, "reserve": 0.4}))
	workload := newBudgetWorkload(t, f)
	workload.waitUntilOpen(f.WaitForLeader(3))
	for _, n := range f.FrontEnds {
		workload.startClients(n, 30, 250)
	}
	time.Sleep(2 * time.Second)
	f.FrontEnds[1].Pause()
	time.Sleep(3 * time.Second)
	f.FrontEnds[1].Resume()
	f.FrontEnds[2].Kill(true)
	time.Sleep(500 * time.Millisecond)
	f.FrontEnds[2].Start()
	time.Sleep(3 * time.Second)
	workload.stopClients()
	for _, engine := range f.Engines {
		violations, most := history.CheckConcurrency(f.History.Events(), 8, func(e history.Event) float64 {
			if e.Engine != engine.Name {
				return 0
			}
			return queriesOfTenant(e)
		})
		for _, violation := range violations {
			t.Errorf("%s", violation)
		}
		assert.GreaterOrEqual(t, most, 6.0, "of 8 on %s", engine.Name)
	}
}

// The budget commands must show the allocations, the reason for a rejection, and how the settings divide a budget.
func TestBudgetCommands(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withBudgets(1, tenantQuota(20, 10)))
	workload := newBudgetWorkload(t, f)
	leader := f.WaitForLeader(3)
	workload.waitUntilOpen(leader)
	stop := workload.startClients(leader, 80, 5)
	time.Sleep(1500 * time.Millisecond)
	run := func(args ...string) string {
		cmd := exec.Command(program, append([]string{"budget"}, args...)...)
		cmd.Env = leader.Cmd.Env
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, "%s", out)
		return string(out)
	}
	assert.Regexp(t, `(?s)version +1 in force.*quota +t? *.*in force`, run("show", "--socket", leader.AdminSocket))
	explained := run("explain", "quota", "--socket", leader.AdminSocket)
	assert.Regexp(t,
		`was turned away \d+ ms ago for want of room in "quota", and told to come back after \d+ ms`, explained)
	call, _, _ := strings.Cut(explained, " ")
	assert.Contains(t, run("explain", call, "--socket", leader.AdminSocket), call+" was turned away")
	assert.Contains(t, run("explain", "nothing", "--socket", leader.AdminSocket), "No budget of that name")
	assert.Contains(t, run("show", "--json", "--socket", leader.AdminSocket),
		`"budgets":[{"name":"quota","kind":"rate","whole":20`)
	assert.Regexp(t, `quota +rate +20 +19\.`, run("check", "--installation", leader.Cmd.Args[3]))
	stop()
	workload.stopClients()
}

// When all engines fail at once, a retry budget must limit retries to a share of the first attempts plus a rate for
// the whole fleet, although one front end is lost meanwhile. Without the budget there are as many retries as
// failures.
func TestFailingEnginesCauseNoRetryStorm(t *testing.T) {
	t.Parallel()
	const share, rate, burst = 0.1, 4.0, 8.0
	countRetries := func(list ...map[string]any) (retries, firsts float64, seconds float64) {
		f := testharness.NewFleet(t, program, 3, withBudgets(1, list...))
		workload := newBudgetWorkload(t, f)
		if len(list) > 0 {
			workload.waitUntilOpen(f.WaitForLeader(3))
		}
		for _, engine := range f.Engines {
			engine.FailQueries.Store(true)
		}
		from := f.History.Now()
		for _, n := range f.FrontEnds {
			workload.startClients(n, 25, 5)
		}
		time.Sleep(2 * time.Second)
		f.FrontEnds[0].Kill(true)
		time.Sleep(2 * time.Second)
		workload.stopClients()
		seconds = float64(f.History.Now()-from) / 1e6
		seen := map[string]bool{}
		for _, e := range f.History.Events() {
			if e.Kind == history.ExecutionStarted && seen[e.CallID] {
				retries++
			} else if e.Kind == history.ExecutionStarted {
				firsts++
				seen[e.CallID] = true
			}
		}
		t.Logf("%d budgets: %.0f retries for %.0f first attempts in %.1f s", len(list), retries, firsts, seconds)
		return retries, firsts, seconds
	}
	retries, firsts, seconds := countRetries(map[string]any{
		"name": "further", "further": true, "share": share, "rate": rate, "burst": burst})
	assert.LessOrEqual(t, retries, share*firsts+rate*(seconds+0.5)+burst+3*2, "share, rate, burst, and two per front end")
	assert.Positive(t, retries)
	without, _, _ := countRetries()
	assert.Greater(t, without, 4*retries)
}

// A budget that is added at run time must not reject any request until all earlier grants of it have expired; then
// it is in force.
func TestBudgetAddedAtRunTime(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withBudgets(1, map[string]any{
		"name": "probes", "probes": true, "rate": 10, "burst": 10}))
	workload := newBudgetWorkload(t, f)
	workload.waitUntilOpen(f.WaitForLeader(3))
	for _, n := range f.FrontEnds {
		workload.startClients(n, 20, 5)
	}
	time.Sleep(500 * time.Millisecond)
	withBudgets(2, map[string]any{"name": "probes", "probes": true, "rate": 10, "burst": 10}, tenantQuota(15, 5))(f)
	reloadedAt := f.History.Now()
	for _, n := range f.FrontEnds {
		n.Reload()
	}
	inForce := func() bool {
		b := f.FrontEnds[0].RawAdminResponse("budgets quota")
		list, _ := b["budgets"].([]any)
		return len(list) == 1 && list[0].(map[string]any)["open"] == true
	}
	require.Eventually(t, inForce, testharness.WaitTimeout, 10*time.Millisecond)
	openedAt := f.History.Now()
	time.Sleep(time.Second)
	from, _ := workload.wait(2 * time.Second)
	workload.stopClients()
	var late []history.Consumption
	for _, consumption := range history.Consumptions(f.History.Events(), maxConsumptionLead, queriesOfTenant) {
		if consumption.Event.At > from {
			late = append(late, consumption)
		}
	}
	assert.Empty(t, history.CheckRate(late, 15, 5))
	rejected := 0
	for _, e := range f.History.Events() {
		if e.Kind == history.RequestEnded && e.Outcome == history.Rejected && e.At < openedAt-100_000 {
			rejected++
		}
	}
	assert.Greater(t, openedAt-reloadedAt, int64(1_000_000), "the budget opens after a lease time at the earliest")
	assert.Zero(t, rejected, "rejected before the budget was in force")
}
