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
	frameKindOffset = 4  // offset of the kind in a frame
	frameBodyOffset = 10 // offset of the message in a frame
)

// frameRecorder records the frames that pass between front ends: the number of each kind, and for the handshake
// messages and the heartbeat which fields they had.
type frameRecorder struct {
	mu           sync.Mutex
	frames       map[transport.Kind]int
	fields       map[transport.Kind]map[int]bool
	decodeErrors []string
}

func newFrameRecorder() *frameRecorder {
	fields := map[transport.Kind]map[int]bool{transport.Hello: {}, transport.Welcome: {}, transport.ControlHeartbeat: {}}
	return &frameRecorder{frames: map[transport.Kind]int{}, fields: fields}
}

// observe records a frame. It does not reassemble messages that are split into several frames: none of the decoded
// kinds is long enough for that.
func (r *frameRecorder) observe(frame []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind, body := transport.Kind(frame[frameKindOffset]), frame[frameBodyOffset:]
	r.frames[kind]++
	if r.fields[kind] == nil {
		return
	}
	if kind != transport.ControlHeartbeat { // hello and welcome: authenticated, with the message behind its length
		size, n := binary.Uvarint(body[1:])
		body = body[1+n : 1+n+int(size)]
	}
	message := fieldcodec.Decode(body)
	for message.Next() {
		r.fields[kind][int(message.Number())] = true
	}
	if err := message.Err(); err != nil {
		r.decodeErrors = append(r.decodeErrors, fmt.Sprintf("%s: %v", kind, err))
	}
}

// knownProtocol has the kinds of frames and the fields of messages from before attached front ends were introduced.
var knownProtocol = struct {
	kinds  []transport.Kind
	fields map[transport.Kind]int // the highest field number
}{[]transport.Kind{transport.Challenge, transport.Hello, transport.Welcome, transport.ControlHeartbeat,
	transport.Replication, transport.Proposal, transport.Response, transport.Notification, transport.Bootstrap,
	transport.Relay},
	map[transport.Kind]int{transport.Hello: 9, transport.Welcome: 9, transport.ControlHeartbeat: 10}}

// While front ends may not attach, the fleet must behave as before attached front ends were introduced. One fleet of
// three has no section on attached front ends, the other has one that is disabled. There are no faults; one keyed
// load goes through each front end. Both have the same descriptors and goroutines, only the earlier kinds of frames
// and fields are sent, and the status shows nothing about attached front ends.
func TestDisabledAttachmentChangesNothing(t *testing.T) {
	t.Parallel()
	var fleets []*testharness.Fleet
	var recorders []*frameRecorder
	for _, section := range []map[string]any{{}, {"attached": map[string]any{"enabled": false, "most": 100}}} {
		recorder := newFrameRecorder()
		recorders = append(recorders, recorder)
		with := func(f *testharness.Fleet) { maps.Copy(f.FleetSettings, section) }
		fleets = append(fleets, testharness.NewFleet(t, program, 3, with, testharness.WithFrameObserver(recorder.observe)))
	}
	for _, f := range fleets {
		f.WaitForLeader(3)
	}
	require.EventuallyWithT(t, func(t *assert.CollectT) {
		without, _ := processResources(t, fleets[0].FrontEnds[0].Cmd.Process.Pid)
		with, _ := processResources(t, fleets[1].FrontEnds[0].Cmd.Process.Pid)
		assert.Equal(t, without, with)
	}, testharness.WaitTimeout, 50*time.Millisecond)
	for i, f := range fleets {
		for k, n := range f.FrontEnds {
			sendUntilServed(t, f, n, newLoad(fmt.Sprintf("once-%d", k), "k", 10))
			status := n.RawStatus()
			assert.NotContains(t, status, "attached")
			for _, m := range status["members"].([]any) {
				keys := slices.Collect(maps.Keys(m.(map[string]any)))
				assert.ElementsMatch(t, []string{"name", "zone", "state", "incarnation", "link"}, keys)
			}
		}
		recorders[i].check(t)
		f.CheckHistory()
	}
	without, with := goroutinesByCreator(t, fleets[0].FrontEnds[0]), goroutinesByCreator(t, fleets[1].FrontEnds[0])
	assert.NotEmpty(t, without)
	assert.Equal(t, without, with)
}

// goroutinesByCreator ends a front end and counts its goroutines by the function that started them.
func goroutinesByCreator(t *testing.T, n *testharness.FrontEnd) map[string]int {
	t.Helper()
	n.QuitWithStacks()
	counts := map[string]int{}
	for _, m := range regexp.MustCompile(`(?m)^created by (\S+)`).FindAllStringSubmatch(n.Log.String(), -1) {
		counts[m[1]]++
	}
	return counts
}

// check reports kinds and fields that knownProtocol does not have.
func (r *frameRecorder) check(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Empty(t, r.decodeErrors)
	for kind, n := range r.frames {
		assert.Contains(t, knownProtocol.kinds, kind, "%d frames %s", n, kind)
	}
	for kind, fields := range r.fields {
		assert.NotEmpty(t, fields, "%s", kind)
		for field := range fields {
			assert.LessOrEqual(t, field, knownProtocol.fields[kind], "%s", kind)
		}
	}
}
