package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// controlsInZones returns perZone control members in each of several zones.
func controlsInZones(zones, perZone int) (list []ControlMember) {
	for i := range zones {
		for j := range perZone {
			list = append(list, ControlMember{Name: fmt.Sprintf("m%02d-%d", i, j), Zone: fmt.Sprintf("z%02d", i)})
		}
	}
	return list
}

// linkedClients returns perZone clients in each of several zones, which have links to their targets, and the time.
func linkedClients(zones, perZone int, controls []ControlMember) (clients []*Client, now monotime.Micros) {
	for i := range zones * perZone {
		clients = append(clients, NewClient(Config{Name: fmt.Sprintf("f%04d", i), Zone: fmt.Sprintf("z%02d", i/perZone),
			Incarnation: uint64(1000 + i), ControlMembers: controls}))
	}
	for now = 0; now < 2*second; now += 50 * ms {
		for _, c := range clients {
			serveClient(c, now)
		}
	}
	return clients, now
}

// serveClient opens links to the targets of a client, and answers each of its heartbeats.
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

// In a full-size fleet each control member gets its share of the links: first links only from its own zone, second
// links only from other zones.
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

// The front ends of a lost control member find replacements among all others, spread over time; none of its zone moves
// to the zone's other control member. Each keeps its other link, and takes the view from that at once.
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
	replacedInWindow, replaced := map[monotime.Micros]int{}, map[*Client]bool{}
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
				replacedInWindow[now/(200*ms)]++
			}
		}
	}
	targetCounts := map[string]int{}
	for _, c := range moved {
		list := c.Targets(now)
		require.Len(t, list, 2, c.cfg.Name)
		require.NotContains(t, list, lost)
		for _, name := range list {
			if name != otherLink[c] {
				targetCounts[name]++
			}
			if c.cfg.Zone == "z05" {
				assert.NotEqual(t, "m05-1", name)
			}
		}
	}
	assert.Greater(t, len(targetCounts), 30, "spread over the other control members")
	for name, n := range targetCounts {
		assert.Less(t, n, len(moved)/8, name)
	}
	for window, n := range replacedInWindow {
		assert.Less(t, n, len(moved)/3, "in window %d", window)
	}
}

// When a link breaks while its control member is up, the same control member is dialed again.
func TestBrokenLinkIsDialedAgain(t *testing.T) {
	clients, now := linkedClients(3, 1, controlsInZones(3, 2))
	c := clients[0]
	list := c.Targets(now)
	c.LinkClosed(now, list[0])
	require.Equal(t, list[1:], c.Targets(now), "it is dialed again after a delay")
	for end := now + second; now < end; now += 50 * ms {
		serveClient(c, now)
	}
	require.Equal(t, list, c.Targets(now))
}

// A control member that is unresponsive over an open link is replaced: as the home after SuspectAfter, and in its slot
// after DeadAfter.
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
	start := now
	var homeLeftAfter, replacedAfter monotime.Micros
	for ; now < start+10*second && replacedAfter == 0; now += 50 * ms {
		c.Tick(now)
		for _, name := range c.Targets(now) {
			if name != list[0] && c.peersByName[name].linked {
				answer(name)
			}
		}
		if homeLeftAfter == 0 && c.Home() == list[1] {
			homeLeftAfter = now - start
		}
		if !slices.Contains(c.Targets(now), list[0]) {
			replacedAfter = now - start
		}
	}
	assert.InDelta(t, 2500*ms, homeLeftAfter, float64(100*ms))
	assert.InDelta(t, 4*second, replacedAfter, float64(100*ms))
}

// A front end whose control members are all unresponsive dials others before its leases end, and keeps links to those
// that respond.
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
		require.InDelta(t, 2*second, dialedAfter, float64(600*ms), "2.5 s after the last sign of life")
		require.InDelta(t, 2*second, homeAfter, float64(600*ms), "as soon as the home is unresponsive too")
		require.Len(t, c.Targets(now+4*second), 2)
	}
}

// answerHeartbeatsTo answers a client's heartbeats to the named control members.
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

// A front end that loses its only link dials within maxIsolatedDelay. One that still has another link waits longer, as
// many front ends may have lost the same control member.
func TestIsolatedFrontEndDialsSoon(t *testing.T) {
	clients, now := linkedClients(6, 20, controlsInZones(6, 2))
	var waitLonger int
	for _, c := range clients {
		list := c.Targets(now)
		c.LinkClosed(now, list[0])
		c.LinkClosed(now, list[1])
		c.Tick(now + maxIsolatedDelay)
		require.NotNil(t, c.slots[1].current, c.cfg.Name)
		require.LessOrEqual(t, c.slots[1].fillAt, now+maxIsolatedDelay)
		if c.slots[0].fillAt > now+maxIsolatedDelay {
			waitLonger++
		}
	}
	require.Greater(t, waitLonger, len(clients)*3/4, "when the first link was lost there was another")
}

// Control members that close each link after the hello, as those do that know of a later process of the name, are
// dialed rarely. If only one does so, it is replaced.
func TestMembersThatCloseAfterTheHelloAreDialedRarely(t *testing.T) {
	for _, closingMembers := range []int{1, 6} {
		controls := controlsInZones(3, 2)
		c := NewClient(Config{Name: "f", Zone: "z00", Incarnation: 7, ControlMembers: controls})
		c.Tick(second)
		first := c.slots[0].preferred.name
		hellos := 0
		for now := second; now < 120*second; now += 50 * ms {
			for _, name := range c.Targets(now) {
				if member := c.peersByName[name]; closingMembers == 6 || name == first {
					hellos++
					c.LinkOpened(now, name, 1)
					c.LinkClosed(now, name)
				} else if !member.linked {
					c.LinkOpened(now, name, 1)
				}
			}
			answerHeartbeatsTo(c, now, c.Targets(now))
		}
		require.Less(t, hellos, 10*closingMembers)
		require.NotZero(t, hellos)
		if closingMembers == 1 {
			require.NotEmpty(t, c.Home())
			require.NotContains(t, c.Targets(120*second), first)
			require.Len(t, c.Targets(120*second), 2)
		}
	}
}

// If no control member is reachable, dials become rare but never stop.
func TestUnreachableMembersAreDialedRarely(t *testing.T) {
	c := NewClient(Config{Name: "f", Zone: "z00", Incarnation: 7, ControlMembers: controlsInZones(3, 2)})
	dials, lateDials := 0, 0
	for now := monotime.Micros(0); now < 1200*second; now += 50 * ms {
		for _, name := range c.Targets(now) {
			dials++
			if now > 1000*second {
				lateDials++
			}
			c.LinkClosed(now, name)
		}
	}
	assert.Less(t, dials, 250)
	assert.NotZero(t, lateDials)
}

// With at most two control members, all in the clients' zone, clients have links to all of them.
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

// While control members go down and come back at random, the two slots never have the same one. In the end each slot
// has its preferred one again.
func TestSlotsNeverShareAMember(t *testing.T) {
	for seed := range 20 {
		controls := controlsInZones(2, 2)
		c := NewClient(Config{Name: fmt.Sprint("f", seed), Zone: "z00", Incarnation: 7, ControlMembers: controls})
		for _, member := range controls {
			incarnation := 1 + rendezvousWeight(member.Name, "", 0)%1000
			e := Entry{Name: member.Name, Zone: member.Zone, Home: member.Name, Incarnation: incarnation}
			c.view.apply([]change{{Entry: e}}, fromHomeChanges)
		}
		downSeed := splitMix64(seed)
		var preferred []string
		for now := monotime.Micros(0); now < 1000*second; now += 100 * ms {
			downMask := uint64(0)
			if now > 5*second && now < 600*second {
				downMask = rendezvousWeight("down", fmt.Sprint(now/(20*second)), uint64(downSeed))
			}
			for i, member := range controls {
				if downMask>>i&1 == 1 && slices.Contains(c.Targets(now), member.Name) {
					c.LinkClosed(now, member.Name)
				}
			}
			for _, name := range c.Targets(now) {
				i := slices.IndexFunc(controls, func(member ControlMember) bool { return member.Name == name })
				if downMask>>i&1 == 0 && !c.peersByName[name].linked {
					c.LinkOpened(now, name, 1+rendezvousWeight(name, "", 0)%1000)
				}
			}
			answerHeartbeatsExcept(c, now, downMask, controls)
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

// answerHeartbeatsExcept answers a client's heartbeats to the control members whose bit is not set in downMask.
func answerHeartbeatsExcept(c *Client, now monotime.Micros, downMask uint64, controls []ControlMember) {
	for _, m := range c.TakeMessages() {
		member := c.peersByName[m.To]
		i := slices.IndexFunc(controls, func(member ControlMember) bool { return member.Name == m.To })
		if downMask>>i&1 == 1 || !member.linked {
			continue
		}
		h, _ := decodeHeartbeat(m.Body)
		answer := viewMessage{epoch: member.incarnation, isAnswer: true, heartbeatSentAt: h.sentAt}
		_ = c.Receive(now, m.To, member.incarnation, ViewUpdate, answer.encode())
	}
}
