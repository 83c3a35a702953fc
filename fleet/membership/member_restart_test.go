package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// twoHomes is a front end with links to two control members, m0 and m1. The test sets how each of them sees a third
// one, m2.
type twoHomes struct {
	t        *testing.T
	now      monotime.Micros
	servers  map[string]*Server
	m2SeenBy map[string]ControlMember // m2, by the name of the control member that sees it so
	client   *Client
	link     Link
}

// Two processes of m2. The later one has the smaller incarnation, so that only the times of their challenges give the
// right order.
var (
	earlierProcess = ControlMember{Name: "m2", Zone: "zc", Incarnation: 21, State: Alive, ChallengedAt: 90 * second}
	laterProcess   = ControlMember{Name: "m2", Zone: "zc", Incarnation: 20, State: Alive, ChallengedAt: 101 * second}
)

// newTwoHomes returns a front end whose home is m0; at first m0 and m1 see the given processes of m2.
func newTwoHomes(t *testing.T, atM0, atM1 ControlMember) *twoHomes {
	controls := []ControlMember{{Name: "m0", Zone: "za"}, {Name: "m1", Zone: "zb"}, {Name: "m2", Zone: "zc"}}
	r := &twoHomes{
		t:        t,
		now:      100 * second,
		servers:  map[string]*Server{},
		m2SeenBy: map[string]ControlMember{"m0": atM0, "m1": atM1},
	}
	for i, name := range []string{"m0", "m1"} {
		cfg := Config{Name: name, Zone: controls[i].Zone, Incarnation: uint64(i + 1), ControlMembers: controls}
		r.servers[name] = NewServer(cfg)
	}
	for i := range 100 {
		r.client = NewClient(Config{Name: fmt.Sprintf("f%d", i), Zone: "za", Incarnation: 9, ControlMembers: controls})
		if r.client.Targets(r.now); r.client.slots[1].preferred.name == "m1" {
			break
		}
	}
	r.link = Link{From: r.client.cfg.Name, Zone: "za", Incarnation: 9, ChallengedAt: r.now}
	r.run(second)
	for name, server := range r.servers {
		server.LinkOpened(r.now, r.link)
		r.client.LinkOpened(r.now, name, server.cfg.Incarnation)
	}
	r.run(2 * second)
	require.Equal(t, "m0", r.client.Home())
	return r
}

// run advances the time in ticks of 50 ms; all messages arrive at once.
func (r *twoHomes) run(span monotime.Micros) {
	for end := r.now + span; r.now < end; {
		r.now += 50 * ms
		for name, server := range r.servers {
			server.Tick(r.now, []ControlMember{r.m2SeenBy[name]})
		}
		r.client.Tick(r.now)
		r.deliver()
	}
}

func (r *twoHomes) deliver() {
	for _, m := range r.client.TakeMessages() {
		require.NoError(r.t, r.servers[m.To].Receive(r.now, r.link, m.Kind, m.Body))
	}
	for name, server := range r.servers {
		for _, m := range server.TakeMessages() {
			if m.To == r.client.cfg.Name {
				require.NoError(r.t, r.client.Receive(r.now, name, server.cfg.Incarnation, m.Kind, m.Body))
			}
		}
	}
}

// assertM2 checks how the client's view shows m2.
func (r *twoHomes) assertM2(incarnation uint64, state State) {
	r.t.Helper()
	e, ok := r.client.View().Lookup("m2")
	require.True(r.t, ok)
	assert.Equal(r.t, Entry{Name: "m2", Zone: "zc", Role: Control, Incarnation: incarnation, State: state, Home: "m2"}, e)
}

// A front end that has seen the later process of a control member gets a new home that still reports the earlier one.
// The earlier one is shown as Dead, and the later one as Alive as soon as the new home reports it.
func TestLaggingHomeDoesNotRestoreAnEarlierProcess(t *testing.T) {
	r := newTwoHomes(t, earlierProcess, earlierProcess)
	r.assertM2(earlierProcess.Incarnation, Alive)
	r.m2SeenBy["m0"] = laterProcess
	r.run(second)
	r.assertM2(laterProcess.Incarnation, Alive)

	r.client.LinkClosed(r.now, "m0")
	require.Equal(t, "m1", r.client.Home())
	r.run(second)
	r.assertM2(earlierProcess.Incarnation, Dead)
	assert.False(t, r.client.View().Alive(earlierProcess.Incarnation))

	r.m2SeenBy["m1"] = laterProcess
	r.run(200 * ms)
	r.assertM2(laterProcess.Incarnation, Alive)
	assert.True(t, r.client.View().Alive(laterProcess.Incarnation))
}

// A front end that has only ever seen the later process of a control member still shows the earlier one, which a
// lagging home reports, as Dead.
func TestEarlierProcessNotSeenBeforeIsShownDead(t *testing.T) {
	r := newTwoHomes(t, laterProcess, earlierProcess)
	r.assertM2(laterProcess.Incarnation, Alive)
	r.client.LinkClosed(r.now, "m0")
	r.run(second)
	r.assertM2(earlierProcess.Incarnation, Dead)
	assert.False(t, r.client.View().Alive(earlierProcess.Incarnation))
	assert.False(t, r.client.View().Superseded(laterProcess.Incarnation))
}
