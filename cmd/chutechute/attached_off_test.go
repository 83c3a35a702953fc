package main

import (
	"encoding/binary"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/transport"
	"chutechute/internal/fieldcodec"
	"chutechute/internal/testharness"
)

const (
	kindAt = 4  // in a frame: its kind
	bodyAt = 10 // in a frame: where its message begins
)

// census is what passed between front ends: frames by kind, and for the hello and the heartbeat the fields that they had.
type census struct {
	mu     sync.Mutex
	kinds  map[transport.Kind]int
	fields map[transport.Kind]map[int]bool
	broken []string
}

func newCensus() *census {
	fields := map[transport.Kind]map[int]bool{transport.Hello: {}, transport.Welcome: {}, transport.ControlHeartbeat: {}}
	return &census{kinds: map[transport.Kind]int{}, fields: fields}
}

// see takes a frame; of a message in parts the first would not be read, and none of these is so long.
func (c *census) see(frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind, body := transport.Kind(frame[kindAt]), frame[bodyAt:]
	c.kinds[kind]++
	if c.fields[kind] == nil {
		return
	}
	if kind != transport.ControlHeartbeat { // sealed
		size, n := binary.Uvarint(body[1:])
		body = body[1+n : 1+n+int(size)]
	}
	message := fieldcodec.Decode(body)
	for message.Next() {
		c.fields[kind][int(message.Number())] = true
	}
	if err := message.Err(); err != nil {
		c.broken = append(c.broken, fmt.Sprintf("%s: %v", kind, err))
	}
}

// known is the kinds and fields that passed between front ends before any could attach.
var known = struct {
	kinds  []transport.Kind
	fields map[transport.Kind]int // the highest number
}{[]transport.Kind{transport.Challenge, transport.Hello, transport.Welcome, transport.ControlHeartbeat, transport.Replication, transport.Proposal, transport.Response, transport.Notification, transport.Bootstrap,
	transport.Relay},
	map[transport.Kind]int{transport.Hello: 9, transport.Welcome: 9, transport.ControlHeartbeat: 10}}

// Two fleets of three, one without a section on attached front ends and one where it is off; no faults. Load: one keyed load
// through each front end. What must show: a process holds the same descriptors and goroutines in both; what passes has the
// kinds and the fields that it had before front ends could attach, and so has the word to operators.
func TestAttachedOffIsAsToday(t *testing.T) {
	t.Parallel()
	var fleets []*testharness.Fleet
	var seen []*census
	for _, section := range []map[string]any{{}, {"attached": map[string]any{"enabled": false, "most": 100}}} {
		c := newCensus()
		seen = append(seen, c)
		with := func(f *testharness.Fleet) { maps.Copy(f.FleetSettings, section) }
		fleets = append(fleets, testharness.NewFleet(t, program, 3, with, testharness.WithFrameObserver(c.see)))
	}
	for _, f := range fleets {
		f.WaitForLeader(3)
	}
	require.EventuallyWithT(t, func(t *assert.CollectT) {
		without, _ := holds(t, fleets[0].FrontEnds[0].Cmd.Process.Pid)
		with, _ := holds(t, fleets[1].FrontEnds[0].Cmd.Process.Pid)
		assert.Equal(t, without, with)
	}, testharness.WaitTimeout, 50*time.Millisecond)
	for i, f := range fleets {
		for k, n := range f.FrontEnds {
			insist(t, f, n, load(fmt.Sprintf("once-%d", k), "k", 10))
			s := n.RawStatus()
			assert.NotContains(t, s, "attached")
			for _, m := range s["members"].([]any) {
				keys := slices.Collect(maps.Keys(m.(map[string]any)))
				assert.ElementsMatch(t, []string{"name", "zone", "state", "incarnation", "link"}, keys)
			}
		}
		seen[i].check(t)
		f.CheckHistory()
	}
	without, with := goroutines(t, fleets[0].FrontEnds[0]), goroutines(t, fleets[1].FrontEnds[0])
	assert.NotEmpty(t, without)
	assert.Equal(t, without, with)
}

// goroutines ends a front end and gives what its goroutines were begun by, with how many each.
func goroutines(t *testing.T, n *testharness.FrontEnd) map[string]int {
	t.Helper()
	n.QuitWithStacks()
	list := map[string]int{}
	for _, m := range regexp.MustCompile(`(?m)^created by (\S+)`).FindAllStringSubmatch(n.Log.String(), -1) {
		list[m[1]]++
	}
	return list
}

// check compares what was seen with what is known.
func (c *census) check(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Empty(t, c.broken)
	for kind, n := range c.kinds {
		assert.Contains(t, known.kinds, kind, "%d frames %s", n, kind)
	}
	for kind, fields := range c.fields {
		assert.NotEmpty(t, fields, "%s", kind)
		for field := range fields {
			assert.LessOrEqual(t, field, known.fields[kind], "%s", kind)
		}
	}
}
