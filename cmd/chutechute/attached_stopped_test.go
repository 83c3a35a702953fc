package main

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// pauseDuration is how long a process is paused: longer than the leases, the self-suspicion and the timeout of idle
// links.
const pauseDuration = 10 * time.Second

// An attached front end that resumes after a long pause must know that its view is old, and must not run loads that
// were taken over meanwhile. One of three attached front ends is paused for 10 s while one of its loads runs and a
// second one waits behind it; its paths are stalled when it resumes. Both loads are repeated through other front
// ends during the pause, and through itself afterwards. The others see it as dead during the pause. After it, the
// age of its view is at least the length of the pause until a control member has confirmed the view; then all see
// the same process alive again. The check of the history covers the loads.
func TestAttachedFrontEndPausedAndResumed(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage, testharness.WithAttachedFrontEnds("a", "b", "c"))
	f.WaitForLeader(3)
	f.WaitUntilConverged()
	n, others := f.AttachedFrontEnds()[0], append(f.ControlMembers(), f.AttachedFrontEnds()[1:]...)
	before := n.Status()
	running, waiting := newLoad("running", "k", 4000), newLoad("waiting", "k", 20)
	var clients sync.WaitGroup
	clients.Go(func() { f.SendLoad(n, running) })
	f.WaitForEvent(func(e history.Event) bool {
		return e.Kind == history.ExecutionStarted && e.IdempotencyKey == running.IdempotencyKey
	})
	clients.Go(func() { f.SendLoad(n, waiting) })
	f.WaitFor("both loads are in progress", func() bool { return n.RawStatus()["held"] == 2.0 })
	pausedAt := time.Now()
	n.Pause()
	f.WaitUntilAllSee(others, n.Name, "dead")
	clients.Go(func() { f.SendLoad(others[0], running) })
	clients.Go(func() { f.SendLoad(others[4], waiting) })
	time.Sleep(time.Until(pausedAt.Add(pauseDuration)))
	forEachProxy(f, []*testharness.FrontEnd{n}, func(proxy *testharness.FaultProxy) { proxy.SetBothStalled(true) })
	n.Resume()
	f.WaitFor("the front end answers again", func() bool { return n.Status() != nil })
	age := n.Status().Attached.ViewAgeMS
	assert.GreaterOrEqual(t, age, float64(pauseDuration.Milliseconds()), "no control member has confirmed its view yet")
	forEachProxy(f, []*testharness.FrontEnd{n}, func(proxy *testharness.FaultProxy) { proxy.SetBothStalled(false) })
	f.LogStep("resume the paths of %s", n.Name)
	f.WaitFor("a control member has confirmed its view", func() bool {
		s := n.Status()
		return s != nil && s.Attached.ViewAgeMS < float64(pauseDuration.Milliseconds())
	})
	f.WaitUntilConverged()
	assert.Equal(t, before.Incarnation, n.Status().Incarnation)
	for _, observer := range others {
		assert.Equal(t, before.Incarnation, observer.Status().Member(n.Name).Incarnation)
	}
	clients.Wait()
	f.SendLoad(n, running)
	sendUntilServed(t, f, n, waiting)
	sendUntilServed(t, f, n, newLoad("after", "k", 20))
	f.CheckHistory()
}

// maxLateHelloRounds bounds the attempts to produce a late hello: a hello that arrives more than a second after its
// challenge is not read at all.
const maxLateHelloRounds = 5

// A hello that arrives late must not bring back a process that has been superseded. An attached front end connects
// to its home anew and is killed while its hello is held back. The hello is released after a later process of the
// same name has attached itself. The same is repeated with an earlier process that no control member has seen
// before. There is no load. The later process stays in all views, and the hello of the earlier one is counted as
// late.
func TestRestartUnderTheSameNameWithLateMessages(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, testharness.WithAttachedFrontEnds("a", "b"))
	f.WaitForLeader(3)
	f.WaitUntilConverged()
	n := f.AttachedFrontEnds()[0]
	others := append(f.ControlMembers(), f.AttachedFrontEnds()[1])
	for _, known := range []bool{true, false} {
		late := false
		for round := 0; round < maxLateHelloRounds && !late; round++ {
			home, old := n.WaitForHome(), n
			if !known {
				n.Kill(false)
				old = f.AddDuplicate(n)
				forEachProxy(f, []*testharness.FrontEnd{old}, func(proxy *testharness.FaultProxy) {
					proxy.SetStalled(proxy != f.Proxy(old, home))
				})
			}
			n, late = replaceWithLateHello(f, old, home, others)
		}
		assert.True(t, late, "a late hello was read; earlier process known: %v", known)
	}
	proxy := f.Proxy(n, n.WaitForHome())
	framesBefore, _, _ := proxy.FrameCounts()
	f.WaitFor("heartbeats of the later process", func() bool {
		frames, _, _ := proxy.FrameCounts()
		return frames >= framesBefore+2
	})
	assert.True(t, seenByAll(n, others), "the later process stays in all views")
}

// replaceWithLateHello starts a later process under the name of old and releases a hello of old after the later
// process has attached itself. It returns the later process, and whether the home counted the hello as late. If old
// was not started yet, it is started once its data to the home is held back.
func replaceWithLateHello(
	f *testharness.Fleet, old, home *testharness.FrontEnd, others []*testharness.FrontEnd,
) (later *testharness.FrontEnd, late bool) {
	before := home.Counter("LateOfReplaced")
	later = f.AddDuplicate(old)
	forEachProxy(f, []*testharness.FrontEnd{later}, func(proxy *testharness.FaultProxy) { proxy.SetStalled(true) })
	later.Start()
	attemptsBefore := f.Proxy(later, home).ConnectionAttempts()
	f.WaitFor("the later process connects to its home", func() bool {
		return f.Proxy(later, home).ConnectionAttempts() > attemptsBefore
	})
	release := f.Proxy(old, home).HoldNewConnections()
	defer release()
	f.LogStep("hold back data from %s to %s on new links", old.Name, home.Name)
	if old.StartCount == 0 {
		old.Start()
	}
	f.WaitFor("the hello of the earlier process is held back", func() bool {
		return f.Proxy(old, home).PendingFrames() > 0
	})
	old.Kill(false)
	f.Proxy(later, home).SetStalled(false)
	f.WaitFor("the home sees the later process", func() bool { return seenByAll(later, []*testharness.FrontEnd{home}) })
	release()
	f.LogStep("release the hello of the earlier process")
	f.WaitFor("the hello was forwarded", func() bool { return f.Proxy(old, home).PendingFrames() == 0 })
	forEachProxy(f, []*testharness.FrontEnd{later}, func(proxy *testharness.FaultProxy) { proxy.SetStalled(false) })
	f.WaitFor("all see the later process", func() bool { return seenByAll(later, others) })
	return later, home.Counter("LateOfReplaced") > before
}

// seenByAll reports whether an attached process has a view, and all observers see it alive with its incarnation.
func seenByAll(n *testharness.FrontEnd, observers []*testharness.FrontEnd) bool {
	ownStatus := n.Status()
	if ownStatus == nil || ownStatus.Attached.ViewAgeMS < 0 {
		return false
	}
	return !slices.ContainsFunc(observers, func(observer *testharness.FrontEnd) bool {
		status := observer.Status()
		m := status.Member(n.Name)
		return m.State != "alive" || m.Incarnation != ownStatus.Incarnation
	})
}
