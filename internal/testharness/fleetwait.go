package testharness

import (
	"fmt"
	"slices"

	"github.com/stretchr/testify/require"

	"chutechute/internal/history"
)

// WaitFor polls a condition until it is met, and then adds a step with its description. The test fails, and prints the
// description, if the condition isn't met in time.
func (f *Fleet) WaitFor(description string, condition func() bool) {
	f.T.Helper()
	require.Eventually(f.T, condition, WaitTimeout, statusPollInterval, "%s", description)
	f.LogStep("reached: %s", description)
}

// WaitUntilAllSee waits until each of the observers sees the front end with the given name in one of the states. The
// test fails if they don't in time.
func (f *Fleet) WaitUntilAllSee(observers []*FrontEnd, name string, states ...string) {
	f.T.Helper()
	disagrees := func(observer *FrontEnd) bool { return observer.Name != name && !observer.SeesInState(name, states...) }
	f.WaitFor(fmt.Sprintf("%s is seen as %v by all", name, states), func() bool {
		return !slices.ContainsFunc(observers, disagrees)
	})
}

// WaitUntilConverged waits until the fleet has converged: each running front end sees all other running ones as alive,
// each attached one has a home and a confirmed view, and all views are equal. Meanwhile, each new obstacle is added as
// a step. The test fails if the fleet doesn't converge in time.
func (f *Fleet) WaitUntilConverged() {
	f.T.Helper()
	last := ""
	f.WaitFor("the fleet has converged", func() bool {
		obstacle := f.convergenceObstacle()
		if obstacle != last {
			last = obstacle
			f.LogStep("not converged: %s", obstacle)
		}
		return obstacle == ""
	})
}

// convergenceObstacle returns the first reason why the fleet has not converged; empty if it has.
func (f *Fleet) convergenceObstacle() string {
	digest, previous := "", ""
	for _, frontEnd := range f.FrontEnds {
		if !frontEnd.running {
			continue
		}
		status := frontEnd.Status()
		if obstacle := frontEnd.convergenceObstacle(status); obstacle != "" {
			return obstacle
		}
		if previous != "" && status.Attached.ViewDigest != digest {
			return fmt.Sprintf("%s and %s have different views", previous, frontEnd.Name)
		}
		digest, previous = status.Attached.ViewDigest, frontEnd.Name
	}
	return ""
}

// convergenceObstacle returns the first reason why the front end has not converged with the others; empty if it has.
// The status is the front end's own; nil if it didn't respond.
func (n *FrontEnd) convergenceObstacle(status *FrontEndStatus) string {
	switch {
	case status == nil:
		return n.Name + " does not answer"
	case n.Attached && status.Attached.Home == "":
		return n.Name + " has no home"
	case n.Attached && status.Attached.ViewAgeMS < 0:
		return n.Name + " has no view"
	}
	for _, other := range n.Fleet.FrontEnds {
		state := status.Member(other.Name).State
		if other.running && other.Name != n.Name && state != aliveState {
			return fmt.Sprintf("%s sees %s as %q", n.Name, other.Name, state)
		}
	}
	return ""
}

// WaitForHome waits until an attached front end has a home, and returns the home. The test fails if it has none in
// time.
func (n *FrontEnd) WaitForHome() *FrontEnd {
	n.Fleet.T.Helper()
	var home *FrontEnd
	n.Fleet.WaitFor(n.Name+" has a home", func() bool {
		s := n.Status()
		if s == nil {
			return false
		}
		home = n.Fleet.FrontEndByName(s.Attached.Home)
		return home != nil
	})
	return home
}

// WaitForLeader waits until a front end leads a replica group with the given number of voters, all of which are
// replicas of running processes, and returns it. The test fails if there is none in time.
func (f *Fleet) WaitForLeader(voterCount int) *FrontEnd {
	f.T.Helper()
	var leader *FrontEnd
	require.Eventually(f.T, func() bool {
		leader = f.leader(voterCount)
		return leader != nil
	}, WaitTimeout, statusPollInterval)
	return leader
}

// leader returns the front end that currently leads a group as WaitForLeader describes; nil if there is none.
func (f *Fleet) leader(voterCount int) (leader *FrontEnd) {
	runningReplicas := map[string]bool{}
	var voters []string
	for _, frontEnd := range f.FrontEnds {
		var status replicationStatus
		if !frontEnd.running || !frontEnd.adminRequest(statusRequest, &status) {
			continue
		}
		runningReplicas[status.Replica] = true
		if status.Role == leaderRole {
			leader, voters = frontEnd, status.voters()
		}
	}
	stopped := func(voter string) bool { return !runningReplicas[voter] }
	if len(voters) != voterCount || slices.ContainsFunc(voters, stopped) {
		return nil
	}
	return leader
}

// WaitForEvent waits until the history has an event for which match returns true, and returns the first such event. The
// test fails if there is none in time.
func (f *Fleet) WaitForEvent(match func(history.Event) bool) (found history.Event) {
	f.T.Helper()
	require.Eventually(f.T, func() bool {
		events := f.History.Events()
		i := slices.IndexFunc(events, match)
		if i < 0 {
			return false
		}
		found = events[i]
		return true
	}, WaitTimeout, fastPollInterval)
	return found
}
