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

// budgets sets a fleet's.
func budgets(version int, list ...map[string]any) func(*testharness.Fleet) {
	return func(f *testharness.Fleet) {
		f.FleetSettings["budgets"] = map[string]any{"version": version, "lease_ms": 1000, "list": list}
	}
}

func quota(rate, burst float64) map[string]any {
	return map[string]any{"name": "quota", "tenant": "t", "rate": rate, "burst": burst}
}

// within is how long before an engine sees a query the front end may have spent for it: the quarter second for which that is
// good, and as much again for a loop and an engine that share a core with all others.
const within = 500_000

func ofTenant(e history.Event) float64 {
	if strings.Contains(e.Body, "tenant=t") {
		return 1
	}
	return 0
}

// pressure is the load under which a budget is tested: clients that ask without end, and what engines saw of it.
type pressure struct {
	t    *testing.T
	f    *testharness.Fleet
	all  sync.WaitGroup
	stop []chan struct{}
}

func press(t *testing.T, f *testharness.Fleet) *pressure { return &pressure{t: t, f: f} }

// offer has clients ask a front end for so many a second; the caller may end it.
func (p *pressure) offer(n *testharness.FrontEnd, perSecond float64, ms int) (stop func()) {
	c := make(chan struct{})
	n.GenerateLookups(&p.all, c, "t", perSecond, ms)
	p.stop = append(p.stop, c)
	i := len(p.stop) - 1
	return func() { close(c); p.stop[i] = nil }
}

func (p *pressure) end() {
	for _, c := range p.stop {
		if c != nil {
			close(c)
		}
	}
	p.all.Wait()
}

// during lets a span pass and gives its bounds.
func (p *pressure) during(span time.Duration) (from, to int64) {
	from = p.f.History.Now()
	time.Sleep(span)
	return from, p.f.History.Now()
}

// check fails the test where engines saw more than a rate allows.
func (p *pressure) check(rate, burst float64) {
	p.t.Helper()
	events := p.f.History.Events()
	for _, b := range history.CheckRate(history.Consumptions(events, within, ofTenant), rate, burst) {
		p.t.Errorf("%s", b)
		for _, e := range history.RelatedEvents(events, b, 20) {
			p.t.Logf("  %s", e)
		}
	}
}

// share is the part of a rate that engines saw in a span.
func (p *pressure) share(rate float64, from, to int64) float64 {
	n := 0.0
	for _, s := range history.Consumptions(p.f.History.Events(), within, ofTenant) {
		if s.Event.At >= from && s.Event.At < to {
			n++
		}
	}
	share := n / (rate * float64(to-from) / 1e6)
	p.t.Logf("%.2f of the whole in use", share)
	return share
}

// open waits until the whole is given out: a new record holds it back for a while.
func (p *pressure) open(n *testharness.FrontEnd) {
	p.f.WaitForLeader(3)
	require.Eventually(p.t, func() bool {
		s := n.RawAdminResponse("budgets")
		if s == nil {
			return false
		}
		b, _ := s["budgets"].([]any)
		return len(b) > 0 && b[0].(map[string]any)["open"] == true
	}, testharness.WaitTimeout, 20*time.Millisecond)
}

// A tenant asks three front ends for more than the fleet gives it. One machine is lost with its disk, and comes back: engines
// never see more than the whole, and the whole is in use again once the lost lease is over.
func TestHolderLostWithItsDisk(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting, budgets(1, quota(60, 12)))
	p := press(t, f)
	p.open(f.WaitForLeader(3))
	for i, n := range f.FrontEnds {
		p.offer(n, []float64{90, 40, 10}[i], 5)
	}
	time.Sleep(time.Second)
	from, to := p.during(3 * time.Second)
	f.FrontEnds[0].Kill(true)
	time.Sleep(2500 * time.Millisecond)
	from2, to2 := p.during(2 * time.Second)
	f.FrontEnds[0].Start()
	time.Sleep(2 * time.Second)
	p.end()
	p.check(60, 12)
	assert.Greater(t, p.share(60, from, to), 0.85, "before")
	assert.Greater(t, p.share(60, from2, to2), 0.7, "after the loss, of which two ask for 50 of 60")
}

// All traffic comes to one of five, and then to another. 80 of 100 come to two that a cut leaves without a majority: they go on
// with what they have without a lease, and the others have the rest. Nothing is stuck once the cut is healed.
func TestTrafficMovesAndACut(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 5, budgets(1, map[string]any{"name": "quota", "tenant": "t", "rate": 100, "burst": 50, "reserve": 0.2}))
	p := press(t, f)
	leader := f.WaitForLeader(3)
	p.open(leader)
	var minority, majority []*testharness.FrontEnd // two without the leader, which has a copy with it on its side or is the side
	copies := map[any]bool{}
	for _, c := range leader.RawStatus()["copies"].([]any) {
		copies[c.(map[string]any)["name"]] = true
	}
	for _, n := range f.FrontEnds {
		if n != leader && len(minority) < 2 && (!copies[n.Name] || len(minority) == 0) {
			minority = append(minority, n)
		} else {
			majority = append(majority, n)
		}
	}
	stop := p.offer(minority[0], 140, 5)
	time.Sleep(time.Second)
	from, to := p.during(1500 * time.Millisecond)
	stop()
	stop = p.offer(majority[1], 140, 5)
	time.Sleep(time.Second)
	from2, to2 := p.during(1500 * time.Millisecond)
	stop()
	for i, n := range append(minority, majority...) {
		p.offer(n, []float64{60, 60, 10, 10, 10}[i], 5)
	}
	time.Sleep(time.Second)
	f.SetPartition(true, minority, majority)
	time.Sleep(2500 * time.Millisecond)
	from3, to3 := p.during(cutFor())
	f.SetPartition(false, minority, majority)
	time.Sleep(2 * time.Second)
	from4, to4 := p.during(2 * time.Second)
	p.end()
	p.check(100, 50)
	assert.Greater(t, p.share(100, from, to), 0.75, "all to one, but for the others' static parts")
	assert.Greater(t, p.share(100, from2, to2), 0.75, "all to another, a second after they moved")
	assert.Greater(t, p.share(100, from3, to3), 0.3, "in the cut: 30 of one side, 8 without a lease of the other")
	assert.Greater(t, p.share(100, from4, to4), 0.85, "healed")
}

// cutFor is how long a cut lasts: 30 s where long tests are asked for.
func cutFor() time.Duration {
	if os.Getenv("CHUTECHUTE_LONG") != "" {
		return 30 * time.Second
	}
	return 3 * time.Second
}

// From three front ends to nine, one each 200 ms under load, and back: by SIGTERM the whole is in use again within a second, by
// SIGKILL once the lost leases are over.
func TestJoinAndLeave(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 9, budgets(1, quota(90, 45)))
	p := press(t, f)
	p.open(f.WaitForLeader(3))
	for _, n := range f.FrontEnds[3:] {
		n.Terminate()
	}
	for _, n := range f.FrontEnds[:3] {
		p.offer(n, 45, 5)
	}
	time.Sleep(time.Second)
	for _, n := range f.FrontEnds[3:] {
		n.Start()
		p.offer(n, 20, 5)
		time.Sleep(200 * time.Millisecond)
	}
	from, to := p.during(2 * time.Second)
	var all sync.WaitGroup
	for _, n := range f.FrontEnds[3:6] {
		all.Go(n.Terminate)
	}
	all.Wait()
	time.Sleep(time.Second)
	from2, to2 := p.during(1500 * time.Millisecond)
	for _, n := range f.FrontEnds[6:] {
		n.Kill(true)
	}
	time.Sleep(2 * time.Second)
	from3, to3 := p.during(1500 * time.Millisecond)
	p.end()
	p.check(90, 45)
	assert.Greater(t, p.share(90, from, to), 0.8, "nine")
	assert.Greater(t, p.share(90, from2, to2), 0.8, "three have left")
	assert.Greater(t, p.share(90, from3, to3), 0.8, "three more were killed")
}

// Who leads the record is killed with its disk, stopped for 5 s, and cut off one way, while demand moves about.
func TestAuthorityLost(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting, budgets(1, quota(60, 24)))
	p := press(t, f)
	p.open(f.WaitForLeader(3))
	for _, n := range f.FrontEnds {
		p.offer(n, 40, 5)
	}
	moving := make(chan struct{})
	p.all.Go(func() {
		for i := 0; ; i++ {
			c := make(chan struct{})
			f.FrontEnds[i%3].GenerateLookups(&p.all, c, "t", 60, 5)
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
	from, to := p.during(2 * time.Second)
	close(moving)
	p.end()
	p.check(60, 24)
	assert.Greater(t, p.share(60, from, to), 0.8, "in the end")
}

// A holder stands still for 10 s in the middle of spending, with clients that go on asking, and goes on: nothing of its old lease
// is spent any more.
func TestHolderStoppedWhileSpending(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting, budgets(1, quota(60, 30)))
	p := press(t, f)
	leader := f.WaitForLeader(3)
	p.open(leader)
	holder := f.FrontEnds[(leader.Index+1)%3]
	p.offer(holder, 100, 5)
	p.offer(leader, 50, 5)
	time.Sleep(2 * time.Second)
	holder.Pause()
	time.Sleep(10 * time.Second)
	holder.Resume()
	time.Sleep(2 * time.Second)
	p.end()
	p.check(60, 30)
}

// The whole is lowered to a tenth under full load, while one front end is cut off and has the old settings. It is in force once
// the leases above it are over, and the front ends say so.
func TestLoweredDuringACut(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting, budgets(1, quota(100, 40)))
	p := press(t, f)
	leader := f.WaitForLeader(3)
	p.open(leader)
	for _, n := range f.FrontEnds {
		p.offer(n, 60, 5)
	}
	time.Sleep(time.Second)
	other := f.FrontEnds[(leader.Index+1)%3]
	rest := []*testharness.FrontEnd{leader, f.FrontEnds[(leader.Index+2)%3]}
	f.SetPartition(true, []*testharness.FrontEnd{other}, rest)
	budgets(2, quota(10, 4))(f)
	for _, n := range rest {
		n.Reload()
	}
	require.Eventually(t, func() bool {
		b := leader.RawAdminResponse("budgets")
		return b != nil && b["version"] == 2.0 && b["budgets"].([]any)[0].(map[string]any)["in_force"] == true
	}, testharness.WaitTimeout, 20*time.Millisecond, "the lower whole is in force")
	time.Sleep(time.Second) // what was spent before is on its way
	from, _ := p.during(4 * time.Second)
	f.SetPartition(false, []*testharness.FrontEnd{other}, rest)
	other.Reload()
	time.Sleep(2 * time.Second)
	p.end()
	p.check(100, 40)
	var late []history.Consumption
	for _, s := range history.Consumptions(f.History.Events(), within, ofTenant) {
		if s.Event.At > from {
			late = append(late, s)
		}
	}
	assert.Empty(t, history.CheckRate(late, 10, 4))
	assert.NotEmpty(t, late)
}

// A fleet of one; and one whose copies are in memory only, restarted whole: nothing is given twice within its lease.
func TestFleetOfOneAndRestartedWhole(t *testing.T) {
	t.Parallel()
	one := testharness.NewFleet(t, program, 1, budgets(1, quota(40, 10)))
	three := testharness.NewFleet(t, program, 3, budgets(1, quota(60, 20)))
	p, q := press(t, one), press(t, three)
	for _, n := range three.FrontEnds {
		q.offer(n, 40, 5)
	}
	p.offer(one.FrontEnds[0], 80, 5)
	q.open(three.WaitForLeader(3))
	time.Sleep(2 * time.Second)
	for _, n := range append(three.FrontEnds, one.FrontEnds...) {
		n.Kill(true)
	}
	for _, n := range append(three.FrontEnds, one.FrontEnds...) {
		n.Start()
	}
	time.Sleep(3 * time.Second)
	from, to := p.during(2 * time.Second)
	p.end()
	q.end()
	p.check(40, 10)
	q.check(60, 20)
	assert.Greater(t, p.share(40, from, to), 0.8, "one")
	assert.Greater(t, q.share(60, from, to), 0.8, "three")
}

// Places: never more run at engines at a time, though the one who holds them all is killed and what it had begun runs on until
// nobody has asked for 2 s.
func TestPlacesOfALostHolder(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting, budgets(1, map[string]any{"name": "places", "tenant": "t", "class": "lookup", "places": 10,
		"without": "none"}))
	p := press(t, f)
	leader := f.WaitForLeader(3)
	p.open(leader)
	holder, other := f.FrontEnds[(leader.Index+1)%3], f.FrontEnds[(leader.Index+2)%3]
	p.offer(holder, 20, 1500)
	time.Sleep(2500 * time.Millisecond)
	p.offer(other, 20, 1500)
	time.Sleep(time.Second)
	holder.Kill(true)
	time.Sleep(500 * time.Millisecond)
	holder.Start() // its name with another process: what the lost one had is free 2.35 s later
	time.Sleep(6 * time.Second)
	p.end()
	breaches, most := history.CheckConcurrency(f.History.Events(), 10, ofTenant)
	for _, b := range breaches {
		t.Errorf("%s", b)
	}
	assert.GreaterOrEqual(t, most, 9.0, "of 10 were in use at a time")
}

// Threads on each engine are divided: no engine ever runs more than its whole, whoever sends, though a holder is stopped and another
// killed meanwhile.
func TestThreadsOnEachEngine(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, lasting, budgets(1, map[string]any{"name": "threads", "engine": "*", "class": "lookup", "unit": "threads",
		"places": 8, "reserve": 0.4}))
	p := press(t, f)
	p.open(f.WaitForLeader(3))
	for _, n := range f.FrontEnds {
		p.offer(n, 30, 250)
	}
	time.Sleep(2 * time.Second)
	f.FrontEnds[1].Pause()
	time.Sleep(3 * time.Second)
	f.FrontEnds[1].Resume()
	f.FrontEnds[2].Kill(true)
	time.Sleep(500 * time.Millisecond)
	f.FrontEnds[2].Start()
	time.Sleep(3 * time.Second)
	p.end()
	for _, w := range f.Engines {
		breaches, most := history.CheckConcurrency(f.History.Events(), 8, func(e history.Event) float64 {
			if e.Engine != w.Name {
				return 0
			}
			return ofTenant(e)
		})
		for _, b := range breaches {
			t.Errorf("%s", b)
		}
		assert.GreaterOrEqual(t, most, 6.0, "of 8 on %s", w.Name)
	}
}

// Operators see who holds what and why a call was turned away; and what their settings come to.
func TestBudgetCommands(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, budgets(1, quota(20, 10)))
	p := press(t, f)
	leader := f.WaitForLeader(3)
	p.open(leader)
	stop := p.offer(leader, 80, 5)
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
	assert.Regexp(t, `was turned away \d+ ms ago for want of room in "quota", and told to come back after \d+ ms`, explained)
	call, _, _ := strings.Cut(explained, " ")
	assert.Contains(t, run("explain", call, "--socket", leader.AdminSocket), call+" was turned away")
	assert.Contains(t, run("explain", "nothing", "--socket", leader.AdminSocket), "No budget of that name")
	assert.Contains(t, run("show", "--json", "--socket", leader.AdminSocket), `"budgets":[{"name":"quota","kind":"rate","whole":20`)
	assert.Regexp(t, `quota +rate +20 +19\.`, run("check", "--installation", leader.Cmd.Args[3]))
	stop()
	p.end()
}

// All engines break at once. With a budget what is tried again stays a share of the first tries and a rate for the whole fleet, though one
// front end is lost meanwhile; without one it is as much as there are failures.
func TestBrokenEnginesMakeNoStorm(t *testing.T) {
	t.Parallel()
	const share, rate, burst = 0.1, 4.0, 8.0
	further := func(list ...map[string]any) (n, firsts float64, seconds float64) {
		f := testharness.NewFleet(t, program, 3, budgets(1, list...))
		p := press(t, f)
		if len(list) > 0 {
			p.open(f.WaitForLeader(3))
		}
		for _, w := range f.Engines {
			w.FailQueries.Store(true)
		}
		from := f.History.Now()
		for _, n := range f.FrontEnds {
			p.offer(n, 25, 5)
		}
		time.Sleep(2 * time.Second)
		f.FrontEnds[0].Kill(true)
		time.Sleep(2 * time.Second)
		p.end()
		seconds = float64(f.History.Now()-from) / 1e6
		seen := map[string]bool{}
		for _, e := range f.History.Events() {
			if e.Kind == history.ExecutionStarted && seen[e.CallID] {
				n++
			} else if e.Kind == history.ExecutionStarted {
				firsts++
				seen[e.CallID] = true
			}
		}
		t.Logf("%d budgets: %.0f further attempts for %.0f first ones in %.1f s", len(list), n, firsts, seconds)
		return n, firsts, seconds
	}
	n, firsts, seconds := further(map[string]any{"name": "further", "further": true, "share": share, "rate": rate, "burst": burst})
	assert.LessOrEqual(t, n, share*firsts+rate*(seconds+0.5)+burst+3*2, "share, rate, burst, and two of each front end")
	assert.Positive(t, n)
	without, _, _ := further()
	assert.Greater(t, without, 4*n)
}

// A budget that is added in service refuses nobody until all that anybody may have been granted of it is over, and is in force then.
func TestBudgetAddedInService(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, budgets(1, map[string]any{"name": "probes", "probes": true, "rate": 10, "burst": 10}))
	p := press(t, f)
	p.open(f.WaitForLeader(3))
	for _, n := range f.FrontEnds {
		p.offer(n, 20, 5)
	}
	time.Sleep(500 * time.Millisecond)
	budgets(2, map[string]any{"name": "probes", "probes": true, "rate": 10, "burst": 10}, quota(15, 5))(f)
	asked := f.History.Now()
	for _, n := range f.FrontEnds {
		n.Reload()
	}
	inForce := func() bool {
		b := f.FrontEnds[0].RawAdminResponse("budgets quota")
		list, _ := b["budgets"].([]any)
		return len(list) == 1 && list[0].(map[string]any)["open"] == true
	}
	require.Eventually(t, inForce, testharness.WaitTimeout, 10*time.Millisecond)
	opened := f.History.Now()
	time.Sleep(time.Second)
	from, _ := p.during(2 * time.Second)
	p.end()
	var late []history.Consumption
	for _, s := range history.Consumptions(f.History.Events(), within, ofTenant) {
		if s.Event.At > from {
			late = append(late, s)
		}
	}
	assert.Empty(t, history.CheckRate(late, 15, 5))
	shed := 0
	for _, e := range f.History.Events() {
		if e.Kind == history.RequestEnded && e.Outcome == history.Rejected && e.At < opened-100_000 {
			shed++
		}
	}
	assert.Greater(t, opened-asked, int64(1_000_000), "it waits for a lease")
	assert.Zero(t, shed, "turned away before it was in force")
}
