package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// The failure: loads that wait in the registry while their front end is cut off from the others run in another order
// than that in which it received them, because the registry has removed their records meanwhile.
func TestLoadsKeepTheirOrderAcrossACut(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		orphanS   int // 0: the default
		cutLength time.Duration
		cutLeader bool
	}{
		"shorter than the orphan timeout":     {cutLength: 2500 * time.Millisecond},
		"longer than the orphan timeout":      {cutLength: 6 * time.Second, orphanS: 2},
		"longer than the default":             {cutLength: 8 * time.Second},
		"of the leader, longer than default":  {cutLength: 8 * time.Second, cutLeader: true},
		"of the leader, shorter than default": {cutLength: 2500 * time.Millisecond, cutLeader: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := testharness.NewFleet(t, program, 3, func(f *testharness.Fleet) {
				if test.orphanS > 0 {
					f.FleetSettings["orphan_s"] = test.orphanS
				}
			})
			cut, rest := chooseCut(f, test.cutLeader)
			sendLoadsAcrossACut(t, f, cut, rest, test.cutLength)
			f.CheckHistory()
		})
	}
}

// chooseCut returns the front end to be cut off, which leads the replicated log or doesn't, and the others.
func chooseCut(f *testharness.Fleet, cutLeader bool) (cut *testharness.FrontEnd, rest []*testharness.FrontEnd) {
	leader := f.WaitForLeader(3)
	for _, n := range f.FrontEnds {
		if cut == nil && (n == leader) == cutLeader {
			cut = n
		} else {
			rest = append(rest, n)
		}
	}
	return cut, rest
}

// sendLoadsAcrossACut sends loads of several keys to a front end, two of each key before it is cut off and two during
// the cut, while a load of each key runs through another front end. All of them must be served.
func sendLoadsAcrossACut(
	t *testing.T, f *testharness.Fleet, cut *testharness.FrontEnd, rest []*testharness.FrontEnd, length time.Duration,
) {
	const keys = 4
	var clients sync.WaitGroup
	send := func(n *testharness.FrontEnd, name string, runTimeMS int) {
		for key := range keys {
			load := newLoad(fmt.Sprintf("%s-%d", name, key), fmt.Sprintf("key-%d", key), runTimeMS)
			load.ClientTimeout = 24 * time.Second
			clients.Go(func() {
				assert.Equal(t, history.Succeeded, f.SendLoad(n, load).Kind, "%s through %s", load.IdempotencyKey, n.Name)
			})
		}
		time.Sleep(300 * time.Millisecond)
	}
	send(rest[0], "before", int((length + 3*time.Second).Milliseconds()))
	send(cut, "first", 200)
	send(cut, "second", 200)
	f.SetPartition(true, []*testharness.FrontEnd{cut}, rest)
	healed := time.After(length)
	send(cut, "third", 200)
	time.Sleep(length / 2)
	send(cut, "fourth", 200)
	<-healed
	f.SetPartition(false, []*testharness.FrontEnd{cut}, rest)
	clients.Wait()
}
