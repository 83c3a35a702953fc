package main

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// Attached front ends must stay members when the control members of their zone are lost one after the other. The
// fleet has five control members in three zones, two of them in zone a, and four attached front ends in zone a. The
// two control members of zone a are killed, the second after the fleet has converged again. After each loss a
// lookup and a keyed load are sent through each attached front end. The attached front ends serve them, are seen
// alive by all, have links to two running control members and follow one of them, and no running front end is seen
// as dead at any time.
func TestBothControlMembersOfAZoneLost(t *testing.T) {
	t.Parallel()
	fiveReplicas := func(f *testharness.Fleet) { f.FleetSettings["copies"] = 5 }
	f := testharness.NewFleet(t, program, 5, withDurableStorage, fiveReplicas,
		testharness.WithAttachedFrontEnds("a", "a", "a", "a"))
	f.WaitForLeader(5)
	f.WaitUntilConverged()
	lost := []*testharness.FrontEnd{f.FrontEnds[0], f.FrontEnds[3]}
	for _, controlMember := range lost {
		assert.Equal(t, "a", controlMember.Zone)
	}
	for _, n := range f.AttachedFrontEnds() {
		assert.Equal(t, "a", n.WaitForHome().Zone, "the home is in the own zone while a control member runs there")
	}
	alive := map[*testharness.FrontEnd]bool{}
	for _, n := range f.FrontEnds {
		alive[n] = true
	}
	for _, controlMember := range lost {
		alive[controlMember] = false
		var remaining []*testharness.FrontEnd
		for _, n := range f.FrontEnds {
			if alive[n] {
				remaining = append(remaining, n)
			}
		}
		stopWatching := f.WatchStates(remaining, remaining, "dead", "left")
		controlMember.Kill(true)
		f.WaitUntilAllSee(remaining, controlMember.Name, "dead")
		f.WaitUntilConverged()
		f.WaitFor("each attached front end has links to two running control members", func() bool {
			return !slices.ContainsFunc(f.AttachedFrontEnds(), func(n *testharness.FrontEnd) bool {
				return connectedControlMembers(n, alive) != 2
			})
		})
		for _, n := range f.AttachedFrontEnds() {
			assert.True(t, alive[n.WaitForHome()], "home of %s: %s", n.Name, n.WaitForHome().Name)
			assert.Equal(t, history.Succeeded, n.SendLookup())
			sendUntilServed(t, f, n, newLoad("once-"+controlMember.Name+"-"+n.Name, n.Name, 10))
		}
		assert.Empty(t, stopWatching())
	}
	f.CheckHistory()
}

// connectedControlMembers returns the number of running control members to which an attached front end
// has links.
func connectedControlMembers(n *testharness.FrontEnd, alive map[*testharness.FrontEnd]bool) (count int) {
	status := n.Status()
	if status == nil {
		return 0
	}
	for _, controlMember := range n.Fleet.ControlMembers() {
		if alive[controlMember] && status.Member(controlMember.Name).Connected {
			count++
		}
	}
	return count
}

// A control member that is partitioned only from its attached front ends must not declare them dead. All six attached
// front ends and the first of three control members are in zone a. The attached front ends are partitioned from that
// control member; later their paths to the others are stalled for longer than a lease. No requests are sent. The first
// control member, which loses all its leases at once, suspects itself, and the attached front ends are seen alive
// through the other control members. Once these suspect themselves too, all attached front ends are suspect but not
// dead until the control members receive heartbeats of the same incarnations again.
func TestHomeCutOffFromItsAttachedFrontEndsOnly(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, testharness.WithAttachedFrontEnds("a", "a", "a", "a", "a", "a"))
	f.WaitForLeader(3)
	f.WaitUntilConverged()
	home, attached := f.FrontEnds[0], f.AttachedFrontEnds()
	incarnations := map[string]string{}
	for _, n := range attached {
		assert.Equal(t, home, n.WaitForHome())
		incarnations[n.Name] = n.Status().Incarnation
	}
	stopWatching := f.WatchStates(f.FrontEnds, attached, "dead", "left")
	f.SetPartition(true, attached, f.FrontEnds[:1])
	f.WaitFor("the attached front ends have links to both other control members and follow one of them", func() bool {
		for _, n := range attached {
			if status := n.Status(); status == nil || status.Attached.Home == "" || status.Attached.Home == home.Name {
				return false
			}
		}
		for _, controlMember := range f.ControlMembers()[1:] {
			if status := controlMember.Status(); status == nil || status.Attached.ConnectedFrontEnds != len(attached) {
				return false
			}
		}
		return true
	})
	f.WaitFor("self-suspicion of the partitioned control member", func() bool { return home.Counter("Doubts") > 0 })
	f.WaitUntilConverged()

	f.LogStep("stall all paths of the attached front ends")
	forEachProxy(f, attached, func(proxy *testharness.FaultProxy) { proxy.SetBothStalled(true) })
	f.WaitFor("self-suspicion of all control members", func() bool {
		return !slices.ContainsFunc(f.ControlMembers(), func(n *testharness.FrontEnd) bool {
			return n.Counter("Doubts") == 0
		})
	})
	for _, n := range attached {
		f.WaitUntilAllSee(f.ControlMembers(), n.Name, "suspect")
	}
	f.LogStep("resume the paths of the attached front ends")
	forEachProxy(f, attached, func(proxy *testharness.FaultProxy) { proxy.SetBothStalled(false) })
	f.WaitUntilConverged()
	for _, n := range attached {
		assert.Equal(t, incarnations[n.Name], n.Status().Incarnation)
	}
	assert.Empty(t, stopWatching())
}

// forEachProxy calls do with each proxy on the paths from the given front ends to the control members.
func forEachProxy(f *testharness.Fleet, from []*testharness.FrontEnd, do func(proxy *testharness.FaultProxy)) {
	for _, n := range from {
		for _, proxy := range f.Proxies(n) {
			do(proxy)
		}
	}
}
