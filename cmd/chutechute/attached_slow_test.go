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
	stubCount       = 120
	replacedStubs   = 12   // stubs that are replaced; few enough that most parts of the view have none of them
	stubRounds      = 5    // incarnations of each replaced stub; few enough not to be damped as flapping
	maxGrowthMB     = 16   // MB that the home's resident memory may grow by meanwhile
	maxCatchUpBytes = 16e3 // bytes that may be sent to update the view; the whole view and all changes are more
)

// residentMB returns the resident memory of a front end's process in MB.
func residentMB(t *testing.T, n *testharness.FrontEnd) (mb int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Cmd.Process.Pid))
	require.NoError(t, err)
	_, err = fmt.Sscanf(string(status[bytes.Index(status, []byte("VmRSS:")):]), "VmRSS: %d kB", &mb)
	require.NoError(t, err)
	return mb / 1024
}

// seesStubs reports whether a front end sees all stubs alive, the replaced ones with the incarnation of a round.
func seesStubs(n *testharness.FrontEnd, round int) bool {
	status := n.Status()
	if status == nil {
		return false
	}
	for i := range stubCount {
		stubRound := 0
		if i < replacedStubs {
			stubRound = round
		}
		m := status.Member(stubName(i))
		if m.State != "alive" || m.Incarnation != fmt.Sprintf("%016x", stubIncarnation(i, stubRound)) {
			return false
		}
	}
	return true
}

func stubName(i int) string { return fmt.Sprintf("guest-%03d", i) }

func stubIncarnation(i, round int) uint64 { return uint64(1+round)<<32 | uint64(1+i) }

// attachStubs attaches the first count stubs to a control member, each with the incarnation of a round.
func attachStubs(
	f *testharness.Fleet, home *testharness.FrontEnd, count, round int, digest []byte,
) (stubs []*testharness.AttachedStub) {
	f.LogStep("attach %d stubs to %s, round %d", count, home.Name, round)
	for i := range count {
		stubs = append(stubs, f.AttachStub(home, stubName(i), stubIncarnation(i, round), digest))
	}
	return stubs
}

// A reader that does not read its view must not make its home buffer without limit, and must not need a full
// snapshot afterwards. The fleet has three control members, three attached front ends and 120 stubs at one control
// member. One attached front end gets no data on any of its paths, which have small buffers, while what it sends
// still passes. Meanwhile some stubs are replaced again and again, each a change of all views. The other front ends
// see each round, the home's memory grows little, and the slow reader closes its links and keeps its view
// unconfirmed. When its paths resume, it is brought up to date with the differences only.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, testharness.WithAttachedFrontEnds("a", "a", "b"))
	f.WaitForLeader(3)
	f.WaitUntilConverged()
	slow, others := f.AttachedFrontEnds()[0], append(f.ControlMembers(), f.AttachedFrontEnds()[1:]...)
	home := slow.WaitForHome()
	digest := f.CaptureSettingsDigest(f.Proxy(slow, home))
	stubs := attachStubs(f, home, stubCount, 0, digest)
	f.WaitFor("all see the stubs", func() bool {
		for _, n := range f.FrontEnds {
			if !seesStubs(n, 0) {
				return false
			}
		}
		return true
	})
	forEachProxy(f, []*testharness.FrontEnd{slow}, (*testharness.FaultProxy).UseSmallBuffers)
	forEachProxy(f, []*testharness.FrontEnd{slow}, (*testharness.FaultProxy).CloseConnections)
	f.WaitUntilConverged()

	before, memoryBefore := slow.Status().Attached, residentMB(t, home)
	forEachProxy(f, []*testharness.FrontEnd{slow}, func(proxy *testharness.FaultProxy) {
		proxy.ToDialer.SetStalled(true)
	})
	f.LogStep("stall all data to %s", slow.Name)
	for round := 1; round < stubRounds; round++ {
		for _, stub := range stubs[:replacedStubs] {
			stub.Close()
		}
		stubs = attachStubs(f, home, replacedStubs, round, digest)
		f.WaitFor(fmt.Sprintf("the others see round %d", round), func() bool {
			for _, n := range others {
				if !seesStubs(n, round) {
					return false
				}
			}
			return true
		})
	}
	assert.LessOrEqual(t, residentMB(t, home)-memoryBefore, maxGrowthMB,
		"MB more resident memory at the home of the stalled reader")
	assert.False(t, seesStubs(slow, stubRounds-1))
	f.WaitFor("the slow reader has lost its control members", func() bool {
		return slow.Counter("Losses") >= before.Counters["Losses"]+2
	})
	assert.True(t, slow.SeesInState(home.Name, "alive"), "its view is unchanged")

	sentBefore := bytesSentTo(f, slow)
	forEachProxy(f, []*testharness.FrontEnd{slow}, func(proxy *testharness.FaultProxy) {
		proxy.ToDialer.SetStalled(false)
	})
	f.LogStep("resume the data to %s", slow.Name)
	f.WaitFor("the slow reader sees the last round", func() bool { return seesStubs(slow, stubRounds-1) })
	f.WaitUntilConverged()
	after := slow.Status().Attached.Counters
	assert.Equal(t, before.Counters["Snapshots"], after["Snapshots"], "snapshots of the whole view")
	assert.Greater(t, after["DigestRepairs"]+after["CatchUps"],
		before.Counters["DigestRepairs"]+before.Counters["CatchUps"])
	assert.LessOrEqual(t, bytesSentTo(f, slow)-sentBefore, int(maxCatchUpBytes))
}

// bytesSentTo returns how many bytes an attached front end has been sent.
func bytesSentTo(f *testharness.Fleet, n *testharness.FrontEnd) (bytes int) {
	for _, proxy := range f.Proxies(n) {
		_, b, _ := proxy.ToDialer.FrameCounts()
		bytes += b
	}
	return bytes
}
