package membership

import (
	"fmt"
	"slices"
	"testing"

	"chutechute/internal/monotime"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// controlsInZones is control members in zones: perZone of each.
func controlsInZones(zones, perZone int) (list []ControlMember) {
	for i := range zones {
		for j := range perZone {
			list = append(list, ControlMember{Name: fmt.Sprintf("m%02d-%d", i, j), Zone: fmt.Sprintf("z%02d", i)})
		}
	}
	return list
}

// linkedClients gives clients that have links to their targets, and a view that says that all control members are alive.
func linkedClients(zones, each int, controls []ControlMember) (clients []*Client, now monotime.Micros) {
	for i := range zones * each {
		clients = append(clients, NewClient(Config{Name: fmt.Sprintf("f%04d", i), Zone: fmt.Sprintf("z%02d", i/each),
			Incarnation: uint64(1000 + i), ControlMembers: controls}))
	}
	for now = 0; now < 2*second; now += 50 * ms {
		for _, c := range clients {
			serveClient(c, now)
		}
	}
	return clients, now
}

// serveClient opens the links that a client wants, and answers each heartbeat.
func serveClient(c *Client, now monotime.Micros) {
	for _, name := range c.Targets(now) {
		if o := c.peersByName[name]; !o.linked {
			c.LinkOpened(now, name, 1+rendezvousWeight(name, "", 0)%1000)
		}
	}
	for _, m := range c.Actions() {
		o := c.peersByName[m.To]
		if !o.linked {
			continue
		}
		h, _ := decodeHeartbeat(m.Body)
		answer := viewMessage{epoch: o.incarnation, isAnswer: true, heartbeatSentAt: h.sentAt}
		_ = c.Receive(now, m.To, o.incarnation, ViewUpdate, answer.encode())
	}
}

// At the size of the fleet each control member gets its share: first links only from its zone, second ones from all others.
func TestChoiceSpreads(t *testing.T) {
	controls := controlsInZones(23, 2)
	clients, now := linkedClients(23, 117, controls)
	first, both := map[string]int{}, map[string]int{}
	for _, c := range clients {
		list := c.Targets(now)
		require.Len(t, list, 2)
		assert.Equal(t, c.cfg.Zone, c.peersByName[list[0]].zone)
		assert.NotEqual(t, c.cfg.Zone, c.peersByName[list[1]].zone)
		assert.Equal(t, list[0], c.Home())
		first[list[0]]++
		both[list[0]]++
		both[list[1]]++
	}
	for _, o := range controls {
		assert.InDelta(t, 58.5, first[o.Name], 30, o.Name)
		assert.InDelta(t, 117, both[o.Name], 45, o.Name)
	}
}

// Front ends of a control member that is lost go to all others, spread over time, none to the zone's other one, and those that held
// it not keep their other link; the view is taken from the second slot in the same instant.
func TestLostControlSpreads(t *testing.T) {
	controls := controlsInZones(23, 2)
	clients, now := linkedClients(23, 117, controls)
	const lost = "m05-0"
	var moved []*Client
	kept := map[*Client]string{}
	for _, c := range clients {
		list := c.Targets(now)
		if !slices.Contains(list, lost) {
			continue
		}
		moved = append(moved, c)
		c.LinkClosed(now, lost)
		other := list[0]
		if other == lost {
			other = list[1]
		}
		require.Equal(t, other, c.Home())
		kept[c] = other
	}
	require.Greater(t, len(moved), 80)
	when, where := map[monotime.Micros]int{}, map[string]int{}
	for end := now + 4*second; now < end; now += 50 * ms {
		for _, c := range moved {
			if slices.Contains(c.Targets(now), lost) {
				c.LinkClosed(now, lost) // the dial fails
			}
			before := c.Counters.LostControlMembers
			serveClient(c, now)
			require.Equal(t, before, c.Counters.LostControlMembers)
			if list := c.Targets(now); len(list) == 2 && c.peersByName[list[0]].linked && c.peersByName[list[1]].linked && where[c.cfg.Name] == 0 {
				where[c.cfg.Name] = 1
				when[now/(200*ms)]++
			}
		}
	}
	to := map[string]int{}
	for _, c := range moved {
		list := c.Targets(now)
		require.Len(t, list, 2, c.cfg.Name)
		require.NotContains(t, list, lost)
		for _, name := range list {
			if name != kept[c] {
				to[name]++
			}
			if c.cfg.Zone == "z05" {
				assert.NotEqual(t, "m05-1", name)
			}
		}
	}
	assert.Greater(t, len(to), 30, "over all of the others")
	for name, n := range to {
		assert.Less(t, n, len(moved)/8, name)
	}
	for span, n := range when {
		assert.Less(t, n, len(moved)/3, "at %d", span)
	}
}

// A link that breaks while its control member is there is opened again to the same one.
func TestBrokenLink(t *testing.T) {
	clients, now := linkedClients(3, 1, controlsInZones(3, 2))
	c := clients[0]
	list := c.Targets(now)
	c.LinkClosed(now, list[0])
	require.Equal(t, list[1:], c.Targets(now), "after a pause")
	for end := now + second; now < end; now += 50 * ms {
		serveClient(c, now)
	}
	require.Equal(t, list, c.Targets(now))
}

// A control member whose link is open and that is silent is given up: its view first, and then its slot.
func TestSilentControl(t *testing.T) {
	clients, now := linkedClients(3, 1, controlsInZones(3, 2))
	c := clients[0]
	list := c.Targets(now)
	answer := func(name string) {
		o := c.peersByName[name]
		m := viewMessage{epoch: o.incarnation, isAnswer: true, heartbeatSentAt: now}
		require.NoError(t, c.Receive(now, name, o.incarnation, ViewUpdate, m.encode()))
	}
	answer(list[0])
	began := now
	var left, replaced monotime.Micros
	for ; now < began+10*second && replaced == 0; now += 50 * ms {
		c.Tick(now)
		for _, name := range c.Targets(now) {
			if name != list[0] && c.peersByName[name].linked {
				answer(name)
			}
		}
		if left == 0 && c.Home() == list[1] {
			left = now - began
		}
		if !slices.Contains(c.Targets(now), list[0]) {
			replaced = now - began
		}
	}
	assert.InDelta(t, 2500*ms, left, float64(100*ms))
	assert.InDelta(t, 4*second, replaced, float64(100*ms))
}

// A front end that hears none of its control members any more tries others before its leases with them end, and holds links to
// those from then on.
func TestBothSilent(t *testing.T) {
	clients, now := linkedClients(6, 2, controlsInZones(6, 2))
	for _, c := range clients {
		list := c.Targets(now)
		var dialled, held monotime.Micros
		for at := now; at < now+4*second; at += 50 * ms {
			others := slices.DeleteFunc(c.Targets(at), func(name string) bool { return slices.Contains(list, name) })
			for _, name := range others {
				if dialled == 0 {
					dialled = at - now
				}
				if !c.peersByName[name].linked {
					c.LinkOpened(at+ms, name, 1)
				}
			}
			answerHeartbeatsTo(c, at+2*ms, others)
			if held == 0 && slices.Contains(others, c.Home()) {
				held = at - now
			}
		}
		require.InDelta(t, 2*second, dialled, float64(600*ms), "2.5 s after the last sign")
		require.InDelta(t, 2*second, held, float64(600*ms), "as soon as the home is silent too")
		require.Len(t, c.Targets(now+4*second), 2)
	}
}

// answerHeartbeatsTo answers the heartbeats to some.
func answerHeartbeatsTo(c *Client, now monotime.Micros, names []string) {
	for _, m := range c.Actions() {
		if o := c.peersByName[m.To]; slices.Contains(names, m.To) && o.linked {
			h, _ := decodeHeartbeat(m.Body)
			answer := viewMessage{epoch: o.incarnation, isAnswer: true, heartbeatSentAt: h.sentAt}
			_ = c.Receive(now, m.To, o.incarnation, ViewUpdate, answer.encode())
		}
	}
}

// A silent control member that is heard again keeps its slot; what was tried beside it is let go.
func TestHeardAgain(t *testing.T) {
	clients, now := linkedClients(6, 1, controlsInZones(6, 2))
	for _, c := range clients {
		list := c.Targets(now)
		at := now
		for ; at < now+2600*ms; at += 50 * ms {
			c.Tick(at)
		}
		require.Len(t, c.Targets(at), 4)
		for _, name := range list {
			o := c.peersByName[name]
			answer := viewMessage{epoch: o.incarnation, isAnswer: true, heartbeatSentAt: now}
			require.NoError(t, c.Receive(at, name, o.incarnation, ViewUpdate, answer.encode()))
		}
		require.Equal(t, list, c.Targets(at+50*ms))
	}
}

// A front end that loses its only link dials at once, and one that has another after a longer pause, as many may do so.
func TestNoLiveLink(t *testing.T) {
	clients, now := linkedClients(6, 20, controlsInZones(6, 2))
	var slow int
	for _, c := range clients {
		list := c.Targets(now)
		c.LinkClosed(now, list[0])
		c.LinkClosed(now, list[1])
		c.Tick(now + maxIsolatedDelay)
		require.NotNil(t, c.slots[1].current, c.cfg.Name)
		require.LessOrEqual(t, c.slots[1].fillAt, now+maxIsolatedDelay)
		if c.slots[0].fillAt > now+maxIsolatedDelay {
			slow++
		}
	}
	require.Greater(t, slow, len(clients)*3/4, "the first was lost beside another")
}

// Control members that close each link after its hello, as those do that know of a later process of the name, are dialled rarely; one
// that does so alone is replaced.
func TestClosedAfterHello(t *testing.T) {
	for _, refusing := range []int{1, 6} {
		controls := controlsInZones(3, 2)
		c := NewClient(Config{Name: "f", Zone: "z00", Incarnation: 7, ControlMembers: controls})
		c.Tick(second)
		first := c.slots[0].preferred.name
		hellos := 0
		for now := second; now < 120*second; now += 50 * ms {
			for _, name := range c.Targets(now) {
				if o := c.peersByName[name]; refusing == 6 || name == first {
					hellos++
					c.LinkOpened(now, name, 1)
					c.LinkClosed(now, name)
				} else if !o.linked {
					c.LinkOpened(now, name, 1)
				}
			}
			answerHeartbeatsTo(c, now, c.Targets(now))
		}
		require.Less(t, hellos, 10*refusing)
		require.NotZero(t, hellos)
		if refusing == 1 {
			require.NotEmpty(t, c.Home())
			require.NotContains(t, c.Targets(120*second), first)
			require.Len(t, c.Targets(120*second), 2)
		}
	}
}

// Where nobody can be reached dials become rare, and go on for ever.
func TestNobodyThere(t *testing.T) {
	c := NewClient(Config{Name: "f", Zone: "z00", Incarnation: 7, ControlMembers: controlsInZones(3, 2)})
	dials, late := 0, 0
	for now := monotime.Micros(0); now < 1200*second; now += 50 * ms {
		for _, name := range c.Targets(now) {
			dials++
			if now > 1000*second {
				late++
			}
			c.LinkClosed(now, name)
		}
	}
	assert.Less(t, dials, 250)
	assert.NotZero(t, late)
}

// With one control member, or none outside the zone, what there is is used.
func TestFewControls(t *testing.T) {
	for n := range 3 {
		clients, now := linkedClients(1, 4, controlsInZones(1, n))
		for _, c := range clients {
			require.Len(t, c.Targets(now), n)
			c.Tick(now)
			_ = c.Next()
		}
	}
}

// However control members come and go, the two slots never hold the same one, and all is as preferred in the end.
func TestSlotsDiffer(t *testing.T) {
	for seed := range 20 {
		controls := controlsInZones(2, 2)
		c := NewClient(Config{Name: fmt.Sprint("f", seed), Zone: "z00", Incarnation: 7, ControlMembers: controls})
		for _, o := range controls {
			c.view.apply([]change{{Entry: Entry{Name: o.Name, Zone: o.Zone, Home: o.Name, Incarnation: 1 + rendezvousWeight(o.Name, "", 0)%1000}}}, fromHomeChanges)
		}
		down := splitMix64(seed)
		var preferred []string
		for now := monotime.Micros(0); now < 1000*second; now += 100 * ms {
			mask := uint64(0)
			if now > 5*second && now < 600*second {
				mask = rendezvousWeight("down", fmt.Sprint(now/(20*second)), uint64(down))
			}
			for i, o := range controls {
				if mask>>i&1 == 1 && slices.Contains(c.Targets(now), o.Name) {
					c.LinkClosed(now, o.Name)
				}
			}
			for _, name := range c.Targets(now) {
				i := slices.IndexFunc(controls, func(o ControlMember) bool { return o.Name == name })
				if mask>>i&1 == 0 && !c.peersByName[name].linked {
					c.LinkOpened(now, name, 1+rendezvousWeight(name, "", 0)%1000)
				}
			}
			answerHeartbeatsExcept(c, now, mask, controls)
			a, b := c.slots[0].current, c.slots[1].current
			require.True(t, a == nil || a != b, "at %d ms", now/ms)
			if now == 4*second {
				preferred = c.Targets(now)
			}
		}
		require.Equal(t, preferred, c.Targets(1000*second))
		require.Equal(t, preferred[0], c.Home())
	}
}

// answerHeartbeatsExcept answers the heartbeats to those that are not in mask.
func answerHeartbeatsExcept(c *Client, now monotime.Micros, mask uint64, controls []ControlMember) {
	for _, m := range c.Actions() {
		o := c.peersByName[m.To]
		i := slices.IndexFunc(controls, func(o ControlMember) bool { return o.Name == m.To })
		if mask>>i&1 == 1 || !o.linked {
			continue
		}
		h, _ := decodeHeartbeat(m.Body)
		answer := viewMessage{epoch: o.incarnation, isAnswer: true, heartbeatSentAt: h.sentAt}
		_ = c.Receive(now, m.To, o.incarnation, ViewUpdate, answer.encode())
	}
}
