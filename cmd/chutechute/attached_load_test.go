package main

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/standin"
)

// loadsOnRecord is how many loads the copy of the record at a front end holds; -1 where it does not answer.
func loadsOnRecord(n *standin.Front) float64 {
	if s := n.Status(); s != nil {
		return s["loads"].(float64)
	}
	return -1
}

// told checks that a load's outcome is found through all front ends of a fleet, the same bytes.
func told(t *testing.T, f *standin.Fleet, try standin.Try, body string) {
	t.Helper()
	for _, n := range f.Fronts {
		assert.Equal(t, body, insist(t, f, n, try).Body(), "%s through %s", try.Once, n.Name)
	}
}

// A fleet of three control members and three attached front ends, one of each in each zone; no faults. Keyed loads are taken by
// attached ones, and one is repeated at once through all six. What must show: one run of each, the same bytes through any front
// end, and the same key with another statement is refused.
func TestKeyedLoadThroughAnAttachedFrontEnd(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting, standin.Attached("a", "b", "c"))
	f.Leader(3)
	f.Settled()
	for i, n := range f.AttachedOnes() {
		try := load(fmt.Sprintf("once-%d", i), "k", 30)
		told(t, f, try, insist(t, f, n, try).Body())
	}
	var all sync.WaitGroup
	bodies := make([]string, len(f.Fronts))
	for i, n := range f.Fronts {
		all.Go(func() {
			if p := f.Load(n, load("at-once", "k", 300)); p.What == history.Answer {
				bodies[i] = p.Body()
			}
		})
	}
	all.Wait()
	for _, b := range bodies {
		assert.NotEmpty(t, b)
		assert.Equal(t, bodies[0], b)
	}
	assert.Len(t, history.Runs(f.Record.Events()), 1+len(f.AttachedOnes()))
	n := f.AttachedOnes()[1]
	assert.Equal(t, history.Shed, f.Load(n, load("at-once", "k", 301)).What)
	n.AwaitLog(`reused with another statement.*idempotency_key=at-once`)
	f.Check()
}

// crossing is where what an attached front end asks its home, or is answered, is held up while the home is killed.
type crossing struct {
	name   string
	stall  func(way *standin.Relay, stall bool)
	caught func(f *standin.Fleet, way *standin.Relay, before float64) bool
}

func crossings() []crossing {
	return []crossing{
		{"the question was not heard", func(way *standin.Relay, stall bool) { way.Stall(stall) },
			func(_ *standin.Fleet, way *standin.Relay, _ float64) bool { return way.Waiting() > 0 }},
		{"the answer was not heard", func(way *standin.Relay, stall bool) { way.Back.Stall(stall) },
			func(f *standin.Fleet, way *standin.Relay, before float64) bool {
				return way.Back.Waiting() > 0 && loadsOnRecord(f.Leader(3)) > before
			}},
	}
}

// The same fleet. Faults: the control member that an attached front end asks through is killed while the question for a load is
// on its way there, and again while the answer is on its way back; then the leader is killed while a load of an attached one
// runs. What must show: each load is served and runs once, and its outcome is the same bytes through any front end.
func TestControlMemberLostInMidLoad(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting, standin.Attached("a", "b", "c"))
	for i, c := range crossings() {
		leader := f.Leader(3)
		f.Settled()
		n, home := followerOf(f, leader)
		f.Did("crossing: %s; %s asks through %s", c.name, n.Name, home.Name)
		way, before := f.Way(n, home), loadsOnRecord(leader)
		c.stall(way, true)
		try := load(fmt.Sprintf("crossing-%d", i), "k", 30)
		var first sync.WaitGroup
		first.Go(func() { f.Load(n, try) })
		f.Await(c.name, func() bool { return c.caught(f, way, before) })
		home.Kill(false)
		c.stall(way, false)
		first.Wait()
		home.Start()
		f.Leader(3)
		told(t, f, try, insist(t, f, n, try).Body())
	}
	leader := f.Leader(3)
	f.Settled()
	n, _ := followerOf(f, leader)
	try := load("leader", "k", 1500)
	var first sync.WaitGroup
	first.Go(func() { f.Load(n, try) })
	f.Until(func(e history.Event) bool { return e.What == history.Began && e.Once == try.Once })
	leader.Kill(false)
	first.Wait()
	leader.Start()
	f.Leader(3)
	told(t, f, try, insist(t, f, n, try).Body())
	assert.Len(t, history.Runs(f.Record.Events()), 1+len(crossings()))
	f.Check()
}

// followerOf is an attached front end, whose home is not the leader if there is such a one, and its home.
func followerOf(f *standin.Fleet, leader *standin.Front) (n, home *standin.Front) {
	for _, n = range f.AttachedOnes() {
		if home = n.Home(); home != leader {
			break
		}
	}
	return n, home
}
