package standin

import (
	"fmt"
	"sync"
	"time"
)

// Watch looks at how some front ends see others, again and again, until it is stopped. It gives what was not as it should be:
// each time one of the watched was seen in one of the states.
func (f *Fleet) Watch(by []*Front, watched []*Front, states ...string) (stop func() (seen []string)) {
	until := make(chan struct{})
	var all sync.WaitGroup
	var seen []string
	all.Go(func() {
		for {
			select {
			case <-until:
				return
			case <-time.After(pollEvery):
			}
			seen = append(seen, faults(by, watched, states)...)
		}
	})
	return func() []string {
		close(until)
		all.Wait()
		return seen
	}
}

// faults is each of the watched that one of the others sees in one of the states now.
func faults(by, watched []*Front, states []string) (seen []string) {
	for _, n := range by {
		s := n.Standing()
		if s == nil {
			continue
		}
		for _, o := range watched {
			for _, state := range states {
				if o != n && s.Of(o.Name).State == state {
					seen = append(seen, fmt.Sprintf("%s saw %s as %s", n.Name, o.Name, state))
				}
			}
		}
	}
	return seen
}
