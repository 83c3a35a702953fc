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
	"chutechute/internal/standin/site"
)

// hollowFleet is control members of one site over one loop.
type hollowFleet struct {
	*Hollow
	t      *testing.T
	config map[string]*config.Peers
	names  []string
	of     map[string]uint64 // incarnations
}

func newHollowFleet(t *testing.T, size int) *hollowFleet {
	h, err := NewHollow()
	require.NoError(t, err)
	t.Cleanup(h.Close)
	f := &hollowFleet{Hollow: h, t: t, config: map[string]*config.Peers{}, of: map[string]uint64{}}
	var members []site.Member
	for i := range size {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		members = append(members, site.Member{Name: fmt.Sprintf("n%d", i+1), Address: listener.Addr().String(), Zone: "a"})
	}
	text, err := json.Marshal(map[string]any{"fleet": map[string]any{"enabled": true, "site": "test", "members": members}})
	require.NoError(t, err)
	file, err := config.ParseInstallation(text)
	require.NoError(t, err)
	parsed, err := settings.Parse([]byte(site.Settings))
	require.NoError(t, err)
	for _, m := range members {
		f.names = append(f.names, m.Name)
		f.config[m.Name], err = file.Fleet.Options(m.Name, parsed, site.MemoryMB)
		require.NoError(t, err)
	}
	return f
}

func (f *hollowFleet) start(name string) {
	f.t.Helper()
	incarnation, err := f.Start(f.config[name], uint64(len(f.of)+1))
	require.NoError(f.t, err)
	f.of[name] = incarnation
}

// until runs the loop until something holds.
func (f *hollowFleet) until(holds func() bool) {
	f.t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		require.NoError(f.t, f.Run(f.CurrentTime()+10*monotime.Millisecond))
	}
	require.Fail(f.t, "it does not come to hold in 30 s")
}

// complete is how many see all.
func (f *hollowFleet) complete() int {
	complete, _ := f.Complete(len(f.names))
	return complete
}

func (f *hollowFleet) total() (t Traffic) {
	for _, name := range f.names {
		one, _ := f.Traffic(name)
		t = t.Plus(one)
	}
	return t
}

// What is counted at the links adds up: each message is a frame, all bytes are payload or the frames' headers, and what one side
// sends another takes.
func TestHollowTrafficAddsUp(t *testing.T) {
	const size = 4
	f := newHollowFleet(t, size)
	for _, name := range f.names {
		f.start(name)
	}
	f.until(func() bool { return f.complete() == size })
	for _, name := range f.names {
		assert.Equal(t, 2*(size-1), f.Connections(name), name)
	}
	before := f.total()
	f.until(func() bool { return f.total().Minus(before).HeartbeatsIn >= 10*size*(size-1) })
	d := f.total().Minus(before)
	assert.Equal(t, d.BytesOut, d.PayloadOut+d.MessagesOut*frameHeader)
	assert.Equal(t, d.BytesIn, d.PayloadIn+d.MessagesIn*frameHeader)
	assert.InDelta(t, d.MessagesOut, d.MessagesIn, 4*size*size, "but for what is on its way")
	assert.Positive(t, d.HeartbeatSize)
	assert.LessOrEqual(t, d.HeartbeatSize, d.PayloadIn)
}

// One that stands still neither takes nor sends, and goes on afterwards; one that is killed leaves no connection, and the rest see
// both its end and its next start.
func TestHollowPauseAndKill(t *testing.T) {
	const size = 4
	f := newHollowFleet(t, size)
	for _, name := range f.names {
		f.start(name)
	}
	f.until(func() bool { return f.complete() == size })
	require.NoError(t, f.Pause("n2", f.CurrentTime()+1000*monotime.Millisecond))
	still, _ := f.Traffic("n2")
	require.NoError(t, f.Run(f.CurrentTime()+900*monotime.Millisecond))
	after, _ := f.Traffic("n2")
	assert.Equal(t, still, after)
	f.until(func() bool { t, _ := f.Traffic("n2"); return t.HeartbeatsIn > after.HeartbeatsIn+2*size })
	f.until(func() bool { return f.complete() == size })

	seen := monotime.Micros(-1)
	require.NoError(t, f.Kill("n4"))
	f.Await(Change{Name: "n4", Incarnation: f.of["n4"], Gone: true}, func(at monotime.Micros) { seen = at })
	assert.EqualValues(t, -1, seen, "an end shows by silence alone")
	for _, name := range f.names[:3] {
		assert.LessOrEqual(t, f.Connections(name), 2*(size-1))
	}
	f.until(func() bool { return seen > 0 })
	for _, name := range f.names[:3] {
		assert.Equal(t, 2*(size-2), f.Connections(name), name)
	}
	assert.Zero(t, f.complete())

	f.start("n4")
	seen = -1
	f.Await(Change{Name: "n4", Incarnation: f.of["n4"]}, func(at monotime.Micros) { seen = at })
	assert.EqualValues(t, -1, seen)
	f.until(func() bool { return seen > 0 })
}

// A change is waited for by who is there and runs, and no longer by who ends or stands still.
func TestHollowAwaitsTheLiving(t *testing.T) {
	f := newHollowFleet(t, 3)
	for _, name := range f.names {
		f.start(name)
	}
	f.until(func() bool { return f.complete() == 3 })
	var ended []monotime.Micros
	never := Change{Name: "n1", Incarnation: 1}
	f.Await(never, func(at monotime.Micros) { ended = append(ended, at) })
	require.NoError(t, f.Pause("n2", f.CurrentTime()+60_000*monotime.Millisecond))
	assert.Empty(t, ended)
	require.NoError(t, f.Kill("n3"))
	assert.Equal(t, []monotime.Micros{0}, ended, "nobody has seen it")
	f.Await(never, func(at monotime.Micros) { ended = append(ended, at) })
	assert.Equal(t, []monotime.Micros{0, 0}, ended, "nobody is left to see it")
	f.Await(Change{Name: "n3", Incarnation: f.of["n3"], Gone: true}, func(at monotime.Micros) { ended = append(ended, at) })
	f.until(func() bool { return len(ended) == 3 })
	assert.Positive(t, ended[2])
	assert.ErrorIs(t, f.Kill("n3"), ErrUnknownHollow)
	assert.ErrorIs(t, f.Pause("n3", 1), ErrUnknownHollow)
	_, err := f.Start(f.config["n1"], 9)
	assert.ErrorIs(t, err, ErrDuplicateHollow)
}
