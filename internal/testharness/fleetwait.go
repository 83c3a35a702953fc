package testharness

import (
	"fmt"
	"slices"

	"github.com/stretchr/testify/require"

	"chutechute/internal/history"
)

// WaitFor polls a condition of the fleet until it holds, and adds that to the script. The test fails, with a
// description of the condition, where it doesn't hold in time.
func (f *Fleet) WaitFor(description string, condition func() bool) {
	f.T.Helper()
	require.Eventually(f.T, condition, WaitTimeout, statusPollInterval, "%s", description)
	f.LogStep("seen: %s", description)
}

// WaitUntilAllSee waits until each of the front ends sees the one of a name in one of the states. The test fails
// where they don't in time.
func (f *Fleet) WaitUntilAllSee(observers []*FrontEnd, name string, states ...string) {
	f.T.Helper()
	differs := func(observer *FrontEnd) bool { return observer.Name != name && !observer.SeesInState(name, states...) }
	f.WaitFor(fmt.Sprintf("%s is seen as %v by all", name, states), func() bool {
		return !slices.ContainsFunc(observers, differs)
	})
}

// WaitUntilConverged waits until the fleet has converged: each front end that runs sees all others that run as
// alive, each attached one has a home and a confirmed view, and all views are equal. The script tells what was
// missing meanwhile. The test fails where the fleet doesn't converge in time.
func (f *Fleet) WaitUntilConverged() {
	f.T.Helper()
	last := ""
	f.WaitFor("all see all", func() bool {
		obstacle := f.convergenceObstacle()
		if obstacle != last {
			last = obstacle
			f.LogStep("not yet: %s", obstacle)
		}
		return obstacle == ""
	})
}

// convergenceObstacle returns why a fleet has not converged; empty where it has.
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

// convergenceObstacle returns why a front end with a status (nil: none) has not converged with the others; empty
// where it has.
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

// WaitForHome waits until an attached front end has its view from a control member, and returns that. The test
// fails where it has none in time.
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

// WaitForLeader waits until a front end leads a replica group with so many voters, all of which are the replicas of
// processes that run now, and returns it. The test fails where none does in time.
func (f *Fleet) WaitForLeader(voterCount int) *FrontEnd {
	f.T.Helper()
	var leader *FrontEnd
	require.Eventually(f.T, func() bool {
		leader = f.leader(voterCount)
		return leader != nil
	}, WaitTimeout, statusPollInterval)
	return leader
}

// leader returns the front end that leads with so many voters, as of now; nil where there is none.
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

// WaitForEvent waits until the history has an event that matches, and returns the first. The test fails where it
// has none in time.
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
