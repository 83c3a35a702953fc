package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// controlsInZones returns control members in zones: perZone of each.
func controlsInZones(zones, perZone int) (list []ControlMember) {
	for i := range zones {
		for j := range perZone {
			list = append(list, ControlMember{Name: fmt.Sprintf("m%02d-%d", i, j), Zone: fmt.Sprintf("z%02d", i)})
		}
	}
	return list
}

// linkedClients returns clients that have links to their targets, and a view that shows all control members Alive.
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
		if member := c.peersByName[name]; !member.linked {
			c.LinkOpened(now, name, 1+rendezvousWeight(name, "", 0)%1000)
		}
	}
	for _, m := range c.TakeMessages() {
		member := c.peersByName[m.To]
		if !member.linked {
			continue
		}
		h, _ := decodeHeartbeat(m.Body)
		answer := viewMessage{epoch: member.incarnation, isAnswer: true, heartbeatSentAt: h.sentAt}
		_ = c.Receive(now, m.To, member.incarnation, ViewUpdate, answer.encode())
	}
}

// At the size of the fleet each control member gets its share: first links only from its zone, second ones from all
// others.
func TestPreferredMembersAreSpread(t *testing.T) {
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
	for _, member := range controls {
		assert.InDelta(t, 58.5, first[member.Name], 30, member.Name)
		assert.InDelta(t, 117, both[member.Name], 45, member.Name)
	}
}

// Front ends of a lost control member go to all others, spread over time, and none of its zone to the zone's other
// one; each keeps its other link, and the view is taken from the second slot at once.
func TestFrontEndsOfALostMemberSpreadOverAll(t *testing.T) {
	controls := controlsInZones(23, 2)
	clients, now := linkedClients(23, 117, controls)
	const lost = "m05-0"
	var moved []*Client
	otherLink := map[*Client]string{}
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
		otherLink[c] = other
	}
	require.Greater(t, len(moved), 80)
	when, replaced := map[monotime.Micros]int{}, map[*Client]bool{}
	for end := now + 4*second; now < end; now += 50 * ms {
		for _, c := range moved {
			if slices.Contains(c.Targets(now), lost) {
				c.LinkClosed(now, lost) // the dial fails
			}
			before := c.Counters.LostControlMembers
			serveClient(c, now)
			require.Equal(t, before, c.Counters.LostControlMembers)
			list := c.Targets(now)
			bothLinked := len(list) == 2 && c.peersByName[list[0]].linked && c.peersByName[list[1]].linked
			if bothLinked && !replaced[c] {
				replaced[c] = true
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
			if name != otherLink[c] {
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

// A link that breaks while its control member is up is opened again to the same one.
func TestBrokenLinkIsDialedAgain(t *testing.T) {
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

// A control member whose link is open and that is unresponsive is given up: first as the home, and then its slot.
func TestUnresponsiveMemberIsReplaced(t *testing.T) {
	clients, now := linkedClients(3, 1, controlsInZones(3, 2))
	c := clients[0]
	list := c.Targets(now)
	answer := func(name string) {
		member := c.peersByName[name]
		m := viewMessage{epoch: member.incarnation, isAnswer: true, heartbeatSentAt: now}
		require.NoError(t, c.Receive(now, name, member.incarnation, ViewUpdate, m.encode()))
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

// A front end whose control members are all unresponsive tries others before its leases with them end, and keeps links
// to those from then on.
func TestCandidatesAreTriedBesideUnresponsiveMembers(t *testing.T) {
	clients, now := linkedClients(6, 2, controlsInZones(6, 2))
	for _, c := range clients {
		list := c.Targets(now)
		var dialedAfter, homeAfter monotime.Micros
		for at := now; at < now+4*second; at += 50 * ms {
			others := slices.DeleteFunc(c.Targets(at), func(name string) bool { return slices.Contains(list, name) })
			for _, name := range others {
				if dialedAfter == 0 {
					dialedAfter = at - now
				}
				if !c.peersByName[name].linked {
					c.LinkOpened(at+ms, name, 1)
				}
			}
			answerHeartbeatsTo(c, at+2*ms, others)
			if homeAfter == 0 && slices.Contains(others, c.Home()) {
				homeAfter = at - now
			}
		}
		require.InDelta(t, 2*second, dialedAfter, float64(600*ms), "2.5 s after the last sign")
		require.InDelta(t, 2*second, homeAfter, float64(600*ms), "as soon as the home is unresponsive too")
		require.Len(t, c.Targets(now+4*second), 2)
	}
}

// answerHeartbeatsTo answers the heartbeats to some control members.
func answerHeartbeatsTo(c *Client, now monotime.Micros, names []string) {
	for _, m := range c.TakeMessages() {
		if member := c.peersByName[m.To]; slices.Contains(names, m.To) && member.linked {
			h, _ := decodeHeartbeat(m.Body)
			answer := viewMessage{epoch: member.incarnation, isAnswer: true, heartbeatSentAt: h.sentAt}
			_ = c.Receive(now, m.To, member.incarnation, ViewUpdate, answer.encode())
		}
	}
}

// An unresponsive control member that responds again keeps its slot; the candidate beside it is dropped.
func TestMemberThatRespondsAgainKeepsItsSlot(t *testing.T) {
	clients, now := linkedClients(6, 1, controlsInZones(6, 2))
	for _, c := range clients {
		list := c.Targets(now)
		at := now
		for ; at < now+2600*ms; at += 50 * ms {
			c.Tick(at)
		}
		require.Len(t, c.Targets(at), 4)
		for _, name := range list {
			member := c.peersByName[name]
			answer := viewMessage{epoch: member.incarnation, isAnswer: true, heartbeatSentAt: now}
			require.NoError(t, c.Receive(at, name, member.incarnation, ViewUpdate, answer.encode()))
		}
		require.Equal(t, list, c.Targets(at+50*ms))
	}
}

// A front end that loses its only link dials at once, and one that has another link after a longer delay, as many may
// do so.
func TestIsolatedFrontEndDialsSoon(t *testing.T) {
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

// Control members that close each link after its hello, as those do that know of a later process of the name, are
// dialed rarely; if only one does so it is replaced.
func TestMembersThatCloseAfterTheHelloAreDialedRarely(t *testing.T) {
	for _, refusing := range []int{1, 6} {
		controls := controlsInZones(3, 2)
		c := NewClient(Config{Name: "f", Zone: "z00", Incarnation: 7, ControlMembers: controls})
		c.Tick(second)
		first := c.slots[0].preferred.name
		hellos := 0
		for now := second; now < 120*second; now += 50 * ms {
			for _, name := range c.Targets(now) {
				if member := c.peersByName[name]; refusing == 6 || name == first {
					hellos++
					c.LinkOpened(now, name, 1)
					c.LinkClosed(now, name)
				} else if !member.linked {
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

// If nobody can be reached dials become rare, and continue for ever.
func TestUnreachableMembersAreDialedRarely(t *testing.T) {
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

// With one control member, or none outside the zone, those that there are are used.
func TestFewMembersAreAllUsed(t *testing.T) {
	for n := range 3 {
		clients, now := linkedClients(1, 4, controlsInZones(1, n))
		for _, c := range clients {
			require.Len(t, c.Targets(now), n)
			c.Tick(now)
			_ = c.Next()
		}
	}
}

// However control members come and go, the two slots never have the same one, and all is as preferred in the end.
func TestSlotsNeverShareAMember(t *testing.T) {
	for seed := range 20 {
		controls := controlsInZones(2, 2)
		c := NewClient(Config{Name: fmt.Sprint("f", seed), Zone: "z00", Incarnation: 7, ControlMembers: controls})
		for _, member := range controls {
			incarnation := 1 + rendezvousWeight(member.Name, "", 0)%1000
			e := Entry{Name: member.Name, Zone: member.Zone, Home: member.Name, Incarnation: incarnation}
			c.view.apply([]change{{Entry: e}}, fromHomeChanges)
		}
		down := splitMix64(seed)
		var preferred []string
		for now := monotime.Micros(0); now < 1000*second; now += 100 * ms {
			mask := uint64(0)
			if now > 5*second && now < 600*second {
				mask = rendezvousWeight("down", fmt.Sprint(now/(20*second)), uint64(down))
			}
			for i, member := range controls {
				if mask>>i&1 == 1 && slices.Contains(c.Targets(now), member.Name) {
					c.LinkClosed(now, member.Name)
				}
			}
			for _, name := range c.Targets(now) {
				i := slices.IndexFunc(controls, func(member ControlMember) bool { return member.Name == name })
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

// answerHeartbeatsExcept answers the heartbeats to the control members that are not in mask.
func answerHeartbeatsExcept(c *Client, now monotime.Micros, mask uint64, controls []ControlMember) {
	for _, m := range c.TakeMessages() {
		member := c.peersByName[m.To]
		i := slices.IndexFunc(controls, func(member ControlMember) bool { return member.Name == m.To })
		if mask>>i&1 == 1 || !member.linked {
			continue
		}
		h, _ := decodeHeartbeat(m.Body)
		answer := viewMessage{epoch: member.incarnation, isAnswer: true, heartbeatSentAt: h.sentAt}
		_ = c.Receive(now, m.To, member.incarnation, ViewUpdate, answer.encode())
	}
}
