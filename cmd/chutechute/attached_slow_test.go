package main

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

const (
	guests      = 120
	restless    = 12   // guests that come again: few enough that the parts of the view without them are most
	rounds      = 5    // times that those come with another process; below the damping of changes of one name
	mostGrowth  = 16   // MB that a control member may grow by meanwhile
	mostCatchUp = 16e3 // bytes that a reader may be sent to come up to date: less than the whole view and all changes
)

// residentMB is the memory that a front end's process holds.
func residentMB(t *testing.T, n *testharness.FrontEnd) (mb int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Cmd.Process.Pid))
	require.NoError(t, err)
	_, err = fmt.Sscanf(string(status[bytes.Index(status, []byte("VmRSS:")):]), "VmRSS: %d kB", &mb)
	require.NoError(t, err)
	return mb / 1024
}

// seesGuests says whether a front end sees all guests, the restless ones with the process of a round.
func seesGuests(n *testharness.FrontEnd, round int) bool {
	s := n.Status()
	if s == nil {
		return false
	}
	for i := range guests {
		of := 0
		if i < restless {
			of = round
		}
		m := s.Member(guestName(i))
		if m.State != "alive" || m.Incarnation != fmt.Sprintf("%016x", guestIncarnation(i, of)) {
			return false
		}
	}
	return true
}

func guestName(i int) string { return fmt.Sprintf("guest-%03d", i) }

func guestIncarnation(i, round int) uint64 { return uint64(1+round)<<32 | uint64(1+i) }

// come has a number of guests come to a control member, each with the process of a round.
func come(f *testharness.Fleet, home *testharness.FrontEnd, many, round int, digest []byte) (list []*testharness.AttachedStub) {
	f.LogStep("%d guests come to %s, round %d", many, home.Name, round)
	for i := range many {
		list = append(list, f.AttachStub(home, guestName(i), guestIncarnation(i, round), digest))
	}
	return list
}

// Three control members, three attached front ends and many guests at one control member. Faults: one attached front end is
// sent nothing over any of its ways, with small buffers, while what it sends passes; later its ways go on. Load: some guests
// come again and again with other processes, each a change of all views. What must show: the others see each round, and its
// home grows little; it gives its links up, and its view is not confirmed; when the ways go on it comes up to date with what
// differs, not with the whole view.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, testharness.WithAttachedFrontEnds("a", "a", "b"))
	f.WaitForLeader(3)
	f.WaitUntilConverged()
	slow, sound := f.AttachedFrontEnds()[0], append(f.ControlMembers(), f.AttachedFrontEnds()[1:]...)
	home := slow.WaitForHome()
	digest := f.CaptureSettingsDigest(f.Proxy(slow, home))
	list := come(f, home, guests, 0, digest)
	f.WaitFor("all see the guests", func() bool {
		for _, n := range f.FrontEnds {
			if !seesGuests(n, 0) {
				return false
			}
		}
		return true
	})
	ways(f, []*testharness.FrontEnd{slow}, (*testharness.FaultProxy).UseSmallBuffers)
	ways(f, []*testharness.FrontEnd{slow}, (*testharness.FaultProxy).CloseConnections)
	f.WaitUntilConverged()

	before, memory := slow.Status().Attached, residentMB(t, home)
	ways(f, []*testharness.FrontEnd{slow}, func(way *testharness.FaultProxy) { way.ToDialer.SetStalled(true) })
	f.LogStep("%s is sent nothing", slow.Name)
	for round := 1; round < rounds; round++ {
		for _, g := range list[:restless] {
			g.Close()
		}
		list = come(f, home, restless, round, digest)
		f.WaitFor(fmt.Sprintf("the others see round %d", round), func() bool {
			for _, n := range sound {
				if !seesGuests(n, round) {
					return false
				}
			}
			return true
		})
	}
	assert.LessOrEqual(t, residentMB(t, home)-memory, mostGrowth, "MB more at the home of a reader that stands still")
	assert.False(t, seesGuests(slow, rounds-1))
	f.WaitFor("it has given up its links", func() bool { return slow.Counter("Losses") >= before.Counters["Losses"]+2 })
	assert.True(t, slow.SeesInState(home.Name, "alive"), "its view goes on as it was")

	sent := bytesBack(f, slow)
	ways(f, []*testharness.FrontEnd{slow}, func(way *testharness.FaultProxy) { way.ToDialer.SetStalled(false) })
	f.LogStep("%s is sent what there is", slow.Name)
	f.WaitFor("it sees the last round", func() bool { return seesGuests(slow, rounds-1) })
	f.WaitUntilConverged()
	after := slow.Status().Attached.Counters
	assert.Equal(t, before.Counters["Snapshots"], after["Snapshots"], "of the whole view")
	assert.Greater(t, after["DigestRepairs"]+after["CatchUps"], before.Counters["DigestRepairs"]+before.Counters["CatchUps"])
	assert.LessOrEqual(t, bytesBack(f, slow)-sent, int(mostCatchUp))
}

// bytesBack is how many bytes an attached front end has been sent.
func bytesBack(f *testharness.Fleet, n *testharness.FrontEnd) (bytes int) {
	for _, way := range f.Proxies(n) {
		_, b, _ := way.ToDialer.FrameCounts()
		bytes += b
	}
	return bytes
}
