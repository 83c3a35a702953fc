package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Random faults are injected: lost, delayed and duplicated messages, full queues, partitions, pauses and restarts.
// After they have ended, all views are the same and right. At no time does a view show an incarnation again that a
// later process of its name has superseded.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		servers, clients := rapid.IntRange(3, 5).Draw(t, "servers"), rapid.IntRange(5, 30).Draw(t, "clients")
		runWithFaults(t, seed, servers, clients, func(i int) int {
			return rapid.IntRange(int(changeLoss), int(fillQueues)).Draw(t, fmt.Sprint("fault", i))
		})
	})
}

// rapidTB is a testing.TB that reports to a rapid.T. It has only the methods that a testFleet uses.
type rapidTB struct {
	testing.TB
	rapid *rapid.T
}

func (t rapidTB) Errorf(format string, args ...any) { t.rapid.Errorf(format, args...) }
func (t rapidTB) FailNow()                          { t.rapid.FailNow() }
func (t rapidTB) Name() string                      { return "history" }
func (t rapidTB) Helper()                           { t.rapid.Helper() }

// faultCount is the number of faults in one run.
const faultCount = 12

// runWithFaults injects faults of the kinds that drawFault returns, and checks the views meanwhile and in the end.
func runWithFaults(t *rapid.T, seed uint64, servers, clients int, drawFault func(int) int) {
	zones := []string{"za", "zb", "za", "zc", "zb"}
	f := newTestFleet(rapidTB{rapid: t}, seed, zones[:servers]...)
	for i := range clients {
		f.attach(fmt.Sprintf("f%02d", i), zones[i%servers])
	}
	observedViews := map[any]*observedView{}
	f.check = func() { f.checkSupersededStayHidden(t, observedViews) }
	for i := range faultCount {
		f.injectFault(faultKind(drawFault(i)))
		f.run(f.random.between(100*ms, 6*second))
	}
	f.endFaults()
	f.run(120 * second)
	f.requireAgreement()
}

// observedView is what one view has shown so far.
type observedView struct {
	digest           uint64
	lastIncarnations map[string]uint64 // the last incarnation of each name
	superseded       map[uint64]bool
}

// checkSupersededStayHidden checks that no view shows a superseded incarnation again. A client may show one as Dead: a
// home on the other side of a partition may not know of the later process, and its front ends then show the earlier one
// as Dead.
func (f *testFleet) checkSupersededStayHidden(t *rapid.T, observedViews map[any]*observedView) {
	observe := func(owner string, key any, v *View, strict bool) {
		o := observedViews[key]
		if o == nil {
			o = &observedView{lastIncarnations: map[string]uint64{}, superseded: map[uint64]bool{}}
			observedViews[key] = o
		}
		if o.digest == v.Digest() {
			return
		}
		o.digest = v.Digest()
		for _, e := range v.Entries() {
			before := o.lastIncarnations[e.Name]
			if before == e.Incarnation || !strict && v.PresumedDead(e.Incarnation) {
				continue
			}
			o.superseded[before] = true
			o.lastIncarnations[e.Name] = e.Incarnation
			if o.superseded[e.Incarnation] {
				t.Fatalf("%s shows incarnation %d of %s again after %d, at %d ms", owner, e.Incarnation, e.Name, before, f.now/ms)
			}
		}
	}
	for _, s := range f.servers {
		if s.up {
			observe(s.cfg.Name, s.Server, s.View(), true)
		}
	}
	for _, c := range f.clients {
		if c.up {
			observe(c.cfg.Name, c.Client, c.View(), false)
		}
	}
}

// faultKind is a kind of fault to inject.
type faultKind int

// The kinds of faults.
const (
	changeLoss faultKind = iota
	changeDelays
	restartClient
	restartManyClients
	restartServer
	stopOrStartServer
	partition
	partitionOneWay
	pauseOrResumeClient
	pauseOrResumeServer
	fillQueues
)

// injectFault injects a fault of a kind. The seed determines at which server or client.
func (f *testFleet) injectFault(kind faultKind) {
	s := f.servers[f.random.next()%uint64(len(f.servers))]
	c := f.clients[f.random.next()%uint64(len(f.clients))]
	randomBits := f.random.next()
	switch kind {
	case changeLoss:
		f.lostPerThousand = int(f.random.next() % 300)
	case changeDelays:
		f.duplicatedPerThousand, f.maxDelay = int(f.random.next()%300), f.random.between(5*ms, second)
	case restartClient:
		f.restartClient(c)
	case restartManyClients:
		for i := range f.clients {
			if (randomBits>>(i%64))&3 == 0 {
				f.restartClient(f.clients[i])
			}
		}
	case restartServer:
		if s.up && !s.paused {
			f.stopServer(s)
			f.startServer(s)
		}
	case stopOrStartServer:
		if s.up && !s.paused && f.runningServers() > 1 {
			f.stopServer(s)
		} else if !s.up {
			f.startServer(s)
		}
	case partition:
		f.partitioned = func(from, to string) bool { return partitionSide(randomBits, from) != partitionSide(randomBits, to) }
	case partitionOneWay:
		f.partitioned = func(from, to string) bool { return from == s.cfg.Name && partitionSide(randomBits, to) == 0 }
	case pauseOrResumeClient:
		if c.paused {
			f.resumeClient(c)
		} else {
			c.paused = true
		}
	case pauseOrResumeServer:
		if s.paused {
			f.resumeServer(s)
		} else if s.up && f.runningServers() > 1 {
			s.paused = true
		}
	case fillQueues:
		f.queueFull = func(c *testClient) bool { // slow readers
			return partitionSide(randomBits, c.cfg.Name) == 0 && f.random.next()%3 == 0
		}
	}
}

// partitionSide returns on which of the two sides of a partition a name is.
func partitionSide(seed uint64, name string) uint64 { return rendezvousWeight(name, "", seed) % 2 }

// runningServers returns the number of servers that are up and not paused.
func (f *testFleet) runningServers() (n int) {
	for _, s := range f.servers {
		if s.up && !s.paused {
			n++
		}
	}
	return n
}

// endFaults ends all faults: the network delivers everything again, stopped servers start, and paused processes resume.
func (f *testFleet) endFaults() {
	f.lostPerThousand, f.duplicatedPerThousand, f.maxDelay = 0, 0, 5*ms
	f.partitioned = func(_, _ string) bool { return false }
	f.queueFull = func(*testClient) bool { return false }
	for _, s := range f.servers {
		switch {
		case !s.up:
			f.startServer(s)
		case s.paused:
			f.resumeServer(s)
		}
	}
	for _, c := range f.clients {
		if c.paused {
			f.resumeClient(c)
		}
	}
}

// Runs with the same seed end with the same counters, byte counts and views.
func TestSameSeedSameRun(t *testing.T) {
	run := func() string {
		f := newThreeZoneFleet(t, 11, 20)
		for i := range 10 {
			f.injectFault(faultKind(i))
			f.run(3 * second)
		}
		summary := ""
		for _, s := range f.servers {
			summary += fmt.Sprintf("%+v %d %d\n", s.Counters, s.bytesOut, s.View().Digest())
		}
		for _, c := range f.clients {
			summary += fmt.Sprintf("%+v %d %d %d\n", c.Counters, c.bytesIn, c.bytesOut, c.View().Digest())
		}
		return summary
	}
	first := run()
	for range 3 {
		require.Equal(t, first, run())
	}
}
