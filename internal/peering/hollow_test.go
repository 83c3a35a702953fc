package peering

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/config"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/internal/testharness/site"
)

// hollowFleet runs hollow control members of one site on one event loop.
type hollowFleet struct {
	*Hollow
	t            *testing.T
	config       map[string]*config.Peers
	names        []string
	incarnations map[string]uint64 // the latest ones, by name
}

func newHollowFleet(t *testing.T, size int) *hollowFleet {
	h, err := NewHollow()
	require.NoError(t, err)
	t.Cleanup(h.Close)
	f := &hollowFleet{Hollow: h, t: t, config: map[string]*config.Peers{}, incarnations: map[string]uint64{}}
	var members []site.ControlMember
	for i := range size {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		name := fmt.Sprintf("n%d", i+1)
		members = append(members, site.ControlMember{Name: name, Address: listener.Addr().String(), Zone: "a"})
	}
	text, err := json.Marshal(map[string]any{"fleet": map[string]any{"enabled": true, "site": "test", "members": members}})
	require.NoError(t, err)
	file, err := config.ParseInstallation(text)
	require.NoError(t, err)
	parsed, err := settings.Parse([]byte(site.Settings))
	require.NoError(t, err)
	for _, m := range members {
		f.names = append(f.names, m.Name)
		f.config[m.Name], err = file.Fleet.Options(m.Name, parsed, site.MemoryLimitMB)
		require.NoError(t, err)
	}
	return f
}

func (f *hollowFleet) start(name string) {
	f.t.Helper()
	incarnation, err := f.Start(f.config[name], uint64(len(f.incarnations)+1))
	require.NoError(f.t, err)
	f.incarnations[name] = incarnation
}

// runUntil runs the loop until a condition holds, and fails the test after 30 s.
func (f *hollowFleet) runUntil(holds func() bool) {
	f.t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		require.NoError(f.t, f.Run(f.Now()+10*monotime.Millisecond))
	}
	require.Fail(f.t, "the condition does not hold within 30 s of the loop's time")
}

// countComplete returns how many front ends see all front ends as alive.
func (f *hollowFleet) countComplete() int {
	complete, _ := f.CountComplete(len(f.names))
	return complete
}

// totalTraffic returns the sum of all front ends' traffic.
func (f *hollowFleet) totalTraffic() (total Traffic) {
	for _, name := range f.names {
		one, _ := f.Traffic(name)
		total = total.Plus(one)
	}
	return total
}

// The traffic counters are consistent: each message is a frame, all bytes are payload or frame headers, and every sent
// message is received.
func TestHollowTrafficAddsUp(t *testing.T) {
	const size = 4
	f := newHollowFleet(t, size)
	for _, name := range f.names {
		f.start(name)
	}
	f.runUntil(func() bool { return f.countComplete() == size })
	for _, name := range f.names {
		assert.Equal(t, 2*(size-1), f.Connections(name), name)
	}
	before := f.totalTraffic()
	f.runUntil(func() bool { return f.totalTraffic().Minus(before).HeartbeatsIn >= 10*size*(size-1) })
	d := f.totalTraffic().Minus(before)
	assert.Equal(t, d.BytesOut, d.PayloadOut+d.MessagesOut*frameHeaderBytes)
	assert.Equal(t, d.BytesIn, d.PayloadIn+d.MessagesIn*frameHeaderBytes)
	assert.InDelta(t, d.MessagesOut, d.MessagesIn, 4*size*size, "they may differ by the messages in transit")
	assert.Positive(t, d.HeartbeatSize)
	assert.LessOrEqual(t, d.HeartbeatSize, d.PayloadIn)
}

// A paused front end neither receives nor sends, and continues afterwards. A killed one leaves no connections behind,
// and the others see its death and its next start.
func TestHollowPauseAndKill(t *testing.T) {
	const size = 4
	f := newHollowFleet(t, size)
	for _, name := range f.names {
		f.start(name)
	}
	f.runUntil(func() bool { return f.countComplete() == size })
	require.NoError(t, f.Pause("n2", f.Now()+1000*monotime.Millisecond))
	before, _ := f.Traffic("n2")
	require.NoError(t, f.Run(f.Now()+900*monotime.Millisecond))
	after, _ := f.Traffic("n2")
	assert.Equal(t, before, after)
	f.runUntil(func() bool { t, _ := f.Traffic("n2"); return t.HeartbeatsIn > after.HeartbeatsIn+2*size })
	f.runUntil(func() bool { return f.countComplete() == size })

	seen := monotime.Micros(-1)
	require.NoError(t, f.Kill("n4"))
	removal := Change{Name: "n4", Incarnation: f.incarnations["n4"], Removed: true}
	f.AwaitChange(removal, func(at monotime.Micros) { seen = at })
	assert.EqualValues(t, -1, seen, "a death is only detected by missing heartbeats")
	for _, name := range f.names[:3] {
		assert.LessOrEqual(t, f.Connections(name), 2*(size-1))
	}
	f.runUntil(func() bool { return seen > 0 })
	for _, name := range f.names[:3] {
		assert.Equal(t, 2*(size-2), f.Connections(name), name)
	}
	assert.Zero(t, f.countComplete())

	f.start("n4")
	seen = -1
	f.AwaitChange(Change{Name: "n4", Incarnation: f.incarnations["n4"]}, func(at monotime.Micros) { seen = at })
	assert.EqualValues(t, -1, seen)
	f.runUntil(func() bool { return seen > 0 })
}

// AwaitChange waits for running front ends only, and no longer for one that is killed or paused.
func TestHollowAwaitsRunningFrontEndsOnly(t *testing.T) {
	f := newHollowFleet(t, 3)
	for _, name := range f.names {
		f.start(name)
	}
	f.runUntil(func() bool { return f.countComplete() == 3 })
	var seenAt []monotime.Micros
	never := Change{Name: "n1", Incarnation: 1}
	f.AwaitChange(never, func(at monotime.Micros) { seenAt = append(seenAt, at) })
	require.NoError(t, f.Pause("n2", f.Now()+60_000*monotime.Millisecond))
	assert.Empty(t, seenAt)
	require.NoError(t, f.Kill("n3"))
	assert.Equal(t, []monotime.Micros{0}, seenAt, "no front end has seen it")
	f.AwaitChange(never, func(at monotime.Micros) { seenAt = append(seenAt, at) })
	assert.Equal(t, []monotime.Micros{0, 0}, seenAt, "there is no front end to wait for")
	killed := Change{Name: "n3", Incarnation: f.incarnations["n3"], Removed: true}
	f.AwaitChange(killed, func(at monotime.Micros) { seenAt = append(seenAt, at) })
	f.runUntil(func() bool { return len(seenAt) == 3 })
	assert.Positive(t, seenAt[2])
	assert.ErrorIs(t, f.Kill("n3"), ErrUnknownHollow)
	assert.ErrorIs(t, f.Pause("n3", 1), ErrUnknownHollow)
	_, err := f.Start(f.config["n1"], 9)
	assert.ErrorIs(t, err, ErrDuplicateHollow)
}
