package main

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/standin"
)

// Five control members in three zones, two of them in zone a, and four attached front ends there. Faults: the zone's first control member is
// killed, then its second. Load: a look-up and a keyed load through each attached one after each loss. What must show: they go on, are
// seen by all and take their view from others, and nobody who is alive is held for dead at any time.
func TestControlMemberLostThenItsZonesSecond(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 5, lasting, standin.Attached("a", "a", "a", "a"), func(f *standin.Fleet) { f.Section["copies"] = 5 })
	f.Leader(5)
	f.Settled()
	lost := []*standin.Front{f.Fronts[0], f.Fronts[3]}
	for _, c := range lost {
		assert.Equal(t, "a", c.Zone)
	}
	for _, n := range f.AttachedOnes() {
		assert.Equal(t, "a", n.Home().Zone, "the view comes from the own zone while a control member is there")
	}
	alive := map[*standin.Front]bool{}
	for _, n := range f.Fronts {
		alive[n] = true
	}
	for _, c := range lost {
		alive[c] = false
		var rest []*standin.Front
		for _, n := range f.Fronts {
			if alive[n] {
				rest = append(rest, n)
			}
		}
		stop := f.Watch(rest, rest, "dead", "left")
		c.Kill(true)
		f.AllSee(rest, c.Name, "dead")
		f.Settled()
		for _, n := range f.AttachedOnes() {
			assert.True(t, alive[n.Home()], "%s follows %s", n.Name, n.Home().Name)
			assert.Equal(t, history.Answer, n.Lookup())
			insist(t, f, n, load("once-"+c.Name+"-"+n.Name, n.Name, 10))
		}
		assert.Empty(t, stop())
	}
	f.Check()
}

// Three control members and six attached front ends, all of them and the first control member in zone a. Faults: the ways from the attached ones to
// that control member are cut, and healed; then the ways from them to all control members stand still for longer than a lease. No load. What must show: after the first they are seen alive by way of the others; after the second the control member that holds
// them all doubts itself, and they are suspect and not dead until they are heard again, the same processes.
func TestControlCutOffFromItsAttachedOnly(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, standin.Attached("a", "a", "a", "a", "a", "a"))
	f.Leader(3)
	f.Settled()
	home, attached := f.Fronts[0], f.AttachedOnes()
	before := map[string]string{}
	for _, n := range attached {
		assert.Equal(t, home, n.Home())
		before[n.Name] = n.Standing().Incarnation
	}
	stop := f.Watch(f.Fronts, attached, "dead", "left")
	f.Part(true, attached, f.Fronts[:1])
	f.Await("their homes are others", func() bool {
		for _, n := range attached {
			if s := n.Standing(); s == nil || s.Attached.Home == "" || s.Attached.Home == home.Name {
				return false
			}
		}
		return true
	})
	f.Await("the leases there are over", func() bool { return home.Counter("Doubts") > 0 })
	f.Settled()
	f.Part(false, attached, f.Fronts[:1])
	f.Await("they are linked there again", func() bool { return home.Standing().Attached.Links == len(attached) })
	f.Settled()

	doubts := home.Counter("Doubts")
	ways(f, attached, func(way *standin.Relay) { way.StallBoth(true) })
	f.Did("all ways of the attached ones stand still")
	f.Await("its doubt of itself", func() bool { return home.Counter("Doubts") > doubts })
	for _, n := range attached {
		f.AllSee(f.Controls(), n.Name, "suspect")
	}
	ways(f, attached, func(way *standin.Relay) { way.StallBoth(false) })
	f.Did("they go on")
	f.Settled()
	for _, n := range attached {
		assert.Equal(t, before[n.Name], n.Standing().Incarnation)
	}
	assert.Empty(t, stop())
}

// ways does something to all ways from front ends to the control members.
func ways(f *standin.Fleet, from []*standin.Front, do func(way *standin.Relay)) {
	for _, n := range from {
		for _, way := range f.Ways(n) {
			do(way)
		}
	}
}
