package testharness

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// WatchStates checks that no observer sees a watched front end in one of the given states. It polls the observers until
// stop is called; stop returns a description of each violation seen.
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

// stateViolations returns a description for each observer that currently sees a watched front end in one of the states.
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
