package testharness

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// WatchStates polls how some front ends see the watched ones until stop is called. Stop returns a text for each
// time that a watched one was seen in one of the states, which are those that it should not be seen in.
func (f *Fleet) WatchStates(observers, watched []*FrontEnd, states ...string) (stop func() (seen []string)) {
	stopped := make(chan struct{})
	var poller sync.WaitGroup
	var violations []string
	poller.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(statusPollInterval):
			}
			violations = append(violations, stateViolations(observers, watched, states)...)
		}
	})
	return func() []string {
		close(stopped)
		poller.Wait()
		return violations
	}
}

// stateViolations returns a text for each watched front end that another sees in one of the states now.
func stateViolations(observers, watched []*FrontEnd, states []string) (violations []string) {
	for _, observer := range observers {
		status := observer.Status()
		if status == nil {
			continue
		}
		for _, frontEnd := range watched {
			state := status.Member(frontEnd.Name).State
			if frontEnd != observer && slices.Contains(states, state) {
				violations = append(violations, fmt.Sprintf("%s saw %s as %s", observer.Name, frontEnd.Name, state))
			}
		}
	}
	return violations
}
