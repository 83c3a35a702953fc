package main

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// Five control members in three zones, two of them in zone a, and four attached front ends there. Faults: the zone's first
// control member is killed, then its second. Load: a look-up and a keyed load through each attached one after each loss. What
// must show: they go on, are seen by all, have links to two others and take their view from one, and nobody who is alive is
// held for dead at any time.
func TestControlMemberLostThenItsZonesSecond(t *testing.T) {
	t.Parallel()
	copies := func(f *testharness.Fleet) { f.FleetSettings["copies"] = 5 }
	f := testharness.NewFleet(t, program, 5, lasting, copies, testharness.WithAttachedFrontEnds("a", "a", "a", "a"))
	f.WaitForLeader(5)
	f.WaitUntilConverged()
	lost := []*testharness.FrontEnd{f.FrontEnds[0], f.FrontEnds[3]}
	for _, c := range lost {
		assert.Equal(t, "a", c.Zone)
	}
	for _, n := range f.AttachedFrontEnds() {
		assert.Equal(t, "a", n.WaitForHome().Zone, "the view comes from the own zone while a control member is there")
	}
	alive := map[*testharness.FrontEnd]bool{}
	for _, n := range f.FrontEnds {
		alive[n] = true
	}
	for _, c := range lost {
		alive[c] = false
		var rest []*testharness.FrontEnd
		for _, n := range f.FrontEnds {
			if alive[n] {
				rest = append(rest, n)
			}
		}
		stop := f.WatchStates(rest, rest, "dead", "left")
		c.Kill(true)
		f.WaitUntilAllSee(rest, c.Name, "dead")
		f.WaitUntilConverged()
		f.WaitFor("each has links to two that run", func() bool {
			return !slices.ContainsFunc(f.AttachedFrontEnds(), func(n *testharness.FrontEnd) bool { return linksTo(n, alive) != 2 })
		})
		for _, n := range f.AttachedFrontEnds() {
			assert.True(t, alive[n.WaitForHome()], "%s follows %s", n.Name, n.WaitForHome().Name)
			assert.Equal(t, history.Succeeded, n.SendLookup())
			insist(t, f, n, load("once-"+c.Name+"-"+n.Name, n.Name, 10))
		}
		assert.Empty(t, stop())
	}
	f.CheckHistory()
}

// linksTo is how many control members that run an attached front end has links to.
func linksTo(n *testharness.FrontEnd, alive map[*testharness.FrontEnd]bool) (links int) {
	s := n.Status()
	if s == nil {
		return 0
	}
	for _, c := range n.Fleet.ControlMembers() {
		if alive[c] && s.Member(c.Name).Connected {
			links++
		}
	}
	return links
}

// Three control members and six attached front ends, all of them and the first control member in zone a. Faults: the ways from
// the attached ones to that control member are cut; then all their other ways stand still for longer than a lease too, and go
// on. No load. What must show: the first control member, which loses all leases at once, doubts itself, and they are seen alive
// by way of the others; then those doubt themselves too, and all are suspect and not dead until they are heard again, the same
// processes.
func TestControlCutOffFromItsAttachedOnly(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, testharness.WithAttachedFrontEnds("a", "a", "a", "a", "a", "a"))
	f.WaitForLeader(3)
	f.WaitUntilConverged()
	home, attached := f.FrontEnds[0], f.AttachedFrontEnds()
	before := map[string]string{}
	for _, n := range attached {
		assert.Equal(t, home, n.WaitForHome())
		before[n.Name] = n.Status().Incarnation
	}
	stop := f.WatchStates(f.FrontEnds, attached, "dead", "left")
	f.SetPartition(true, attached, f.FrontEnds[:1])
	f.WaitFor("they are linked to both others, and follow one", func() bool {
		for _, n := range attached {
			if s := n.Status(); s == nil || s.Attached.Home == "" || s.Attached.Home == home.Name {
				return false
			}
		}
		for _, c := range f.ControlMembers()[1:] {
			if s := c.Status(); s == nil || s.Attached.ConnectedFrontEnds != len(attached) {
				return false
			}
		}
		return true
	})
	f.WaitFor("the doubt of the one that is cut off", func() bool { return home.Counter("Doubts") > 0 })
	f.WaitUntilConverged()

	f.LogStep("all ways of the attached ones stand still")
	ways(f, attached, func(way *testharness.FaultProxy) { way.SetBothStalled(true) })
	f.WaitFor("the doubt of the others", func() bool {
		return !slices.ContainsFunc(f.ControlMembers(), func(n *testharness.FrontEnd) bool { return n.Counter("Doubts") == 0 })
	})
	for _, n := range attached {
		f.WaitUntilAllSee(f.ControlMembers(), n.Name, "suspect")
	}
	f.LogStep("they go on")
	ways(f, attached, func(way *testharness.FaultProxy) { way.SetBothStalled(false) })
	f.WaitUntilConverged()
	for _, n := range attached {
		assert.Equal(t, before[n.Name], n.Status().Incarnation)
	}
	assert.Empty(t, stop())
}

// ways does something to all ways from front ends to the control members.
func ways(f *testharness.Fleet, from []*testharness.FrontEnd, do func(way *testharness.FaultProxy)) {
	for _, n := range from {
		for _, way := range f.Proxies(n) {
			do(way)
		}
	}
}
