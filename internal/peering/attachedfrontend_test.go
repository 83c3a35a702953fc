package peering

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/membership"
	"chutechute/internal/counters"
)

// Attached front ends see all front ends and are seen by all. They have no listener, no write-ahead log and at most
// three links.
func TestAttachedFrontEndsSeeAndAreSeen(t *testing.T) {
	f := newTestFleet(t)
	x := f.start("x1")
	f.start("x2")
	f.awaitAllSee(5)
	assert.Nil(t, x.listener)
	assert.Nil(t, x.store)
	_, err := os.Stat(x.cfg.Folder)
	assert.True(t, os.IsNotExist(err))
	assert.LessOrEqual(t, len(x.outbound), 3)
	assert.Empty(t, x.inbound)
	f.runUntil("both links", func() bool { return len(x.outbound) == 2 && x.Descriptors() == 2 })

	f.runUntil("all front ends to know its home", func() bool {
		for _, p := range f.frontEnds {
			e, _ := p.fleetNode.View().Lookup("x1")
			if x.attachedNode.Home() == "" || e.Home != x.attachedNode.Home() {
				return false
			}
		}
		return true
	})
	s := x.status()
	assert.Equal(t, "attached", s.Role)
	assert.Len(t, s.Members, 4, "all except itself")
	memberNames := []string{s.Members[0].Name, s.Members[1].Name, s.Members[2].Name, s.Members[3].Name}
	assert.Equal(t, []string{"n1", "n2", "n3", "x2"}, memberNames)
	require.NotNil(t, s.Attached)
	assert.Equal(t, 5, s.Attached.ViewLen)
	assert.Equal(t, x.attachedNode.Home(), s.Attached.Home)
	home := f.frontEnds[s.Attached.Home].status()
	assert.Positive(t, home.Attached.Links)
	assert.Zero(t, home.Attached.ViewAgeMS)
	assert.Contains(t, home.Members, MemberStatus{
		Name:        "x1",
		State:       "alive",
		Incarnation: s.Incarnation,
		Linked:      true,
		Role:        "attached",
		Home:        home.Name,
	})
	f.runUntil("equal views", func() bool {
		return x.status().Attached.ViewDigest == f.frontEnds[home.Name].status().Attached.ViewDigest
	})
	assert.False(t, x.budgetPage("").Enabled)
	var attachedCounters, homeCounters counters.Set
	x.ReportCounters(&attachedCounters)
	f.frontEnds[home.Name].ReportCounters(&homeCounters)
	assert.Positive(t, attachedCounters.ViewHeartbeats)
	assert.Positive(t, homeCounters.ViewHeartbeats)
	assert.Positive(t, homeCounters.ViewSnapshots)
}

// An attached front end whose home is killed chooses another home, and the others still see it as alive.
func TestAttachedFrontEndReplacesItsDeadHome(t *testing.T) {
	f := newTestFleet(t)
	x := f.start("x1")
	f.awaitAllSee(4)
	home := f.frontEnds[x.attachedNode.Home()]
	f.kill(home)
	f.awaitAllSee(3)
	assert.NotEqual(t, home.cfg.Name, x.attachedNode.Home())
	_, linked := x.outbound[home.cfg.Name]
	assert.False(t, linked && x.outbound[home.cfg.Name].established())
	f.start(home.cfg.Name)
	f.awaitAllSee(4)
}

// viewChangeLog reports each change of the view once, and with attachedOnly only the changes of attached front ends.
func TestViewChangeLogReportsEachChangeOnce(t *testing.T) {
	f := newTestFleet(t)
	f.start("x1")
	f.awaitAllSee(4)
	var log viewChangeLog
	view := f.frontEnds["n1"].fleetNode.View()
	assert.Len(t, log.changes(view, false), 4)
	assert.Empty(t, log.changes(view, false))
	log = viewChangeLog{}
	changes := log.changes(view, true)
	require.Len(t, changes, 1)
	assert.Equal(t, "x1", changes[0].Name)
	f.kill(f.frontEnds["x1"])
	f.runUntil("x1 to be dead", func() bool { e, _ := view.Lookup("x1"); return e.State == membership.Dead })
	changes = log.changes(view, true)
	require.Len(t, changes, 1)
	assert.Equal(t, membership.Dead, changes[0].State)
}

// A link to a control member that is not a target of an attached front end's node is closed on both sides.
func TestUnwantedLinksAreClosed(t *testing.T) {
	f := newTestFleet(t)
	x := f.start("x1")
	f.runUntil("both links", func() bool { return seesAlive(x, 4) && len(x.outbound) == 2 })
	for name, addr := range x.cfg.Members {
		if x.outbound[name] == nil {
			x.outbound[name] = newOutboundLink(x, name, addr)
			x.outbound[name].dial()
		}
	}
	require.Len(t, x.outbound, 3)
	f.runUntil("the third link to be closed", func() bool {
		linked := 0
		for _, p := range f.frontEnds {
			linked += p.attachedLinks.count
			for l := range p.inbound {
				l.lastReceived = f.host.TurnTime // prevents closing as idle
			}
		}
		return len(x.outbound) == 2 && linked == 2
	})
}
