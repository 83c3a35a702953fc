package membership

import (
	"slices"

	"chutechute/internal/monotime"
)

const (
	// redialLow and redialHigh are after what pause a control member is dialled again whose link broke.
	redialLow, redialHigh monotime.Micros = 100_000, 500_000
	// replaceLow and replaceHigh are after what pause a lost control member is replaced: all its front ends do so at once.
	replaceLow, replaceHigh monotime.Micros = 200_000, 1_500_000
	// rescueHigh is after what pause at most a front end without any live link dials: its leases end soon.
	rescueHigh monotime.Micros = 100_000
	// avoidLow and avoidHigh are for how long one that could not be reached is not dialled, doubled with each time in a row.
	avoidLow, avoidHigh monotime.Micros = 1_000_000, 2_000_000
	// mostDoubled bounds the doubling: 1 to 2 minutes.
	mostDoubled = 6
	// settleSpan is how long a control member has to be back before its front ends return to it, and returnSpan within how much
	// more they do.
	settleSpan, returnSpan monotime.Micros = 10_000_000, 30_000_000
)

// control is a control member as a client sees it.
type control struct {
	name, zone   string
	linked       bool
	served       bool // something came over the link
	incarnation  uint64
	asked        monotime.Micros // since when a link to it is wanted
	heard        monotime.Micros // the last sign of life over the link
	steady       monotime.Micros // since when it is linked and heard without a gap
	leaving      bool
	beat         monotime.Micros // when the next heartbeat is due
	avoidedUntil monotime.Micros // until when it is not dialled
	failures     int             // in a row
	wantsSums    bool            // it can't follow up on what this view is without the sums
	behind       bool            // it told of a later view than was received by then
	lastResume   monotime.Micros
	clock        offset
	lastAnswer   lastAnswer
}

// lastAnswer is what the last answer to a heartbeat said: how far the view was when it was asked.
type lastAnswer struct {
	answered bool
	sequence uint64
	asked    monotime.Micros
}

// slot is one of the control members to keep a link with.
type slot struct {
	preferred *control
	current   *control        // nil during the pause after a loss
	beside    *control        // tried beside the current, which is silent; nil while it isn't
	due       monotime.Micros // when it is to be filled again
	settled   monotime.Micros // since when the preferred one is back; 0 while it isn't
	back      monotime.Micros // when to return to it; 0 while that isn't decided
	returning bool            // a link to the preferred one is wanted beside the current
}

// prefer chooses the slots' control members: of the zone, and of the rest, each by an order of this front end's own.
func (c *Client) prefer() {
	inZone := func(o *control) bool { return o.zone == c.cfg.Zone }
	outside := func(o *control) bool { return !inZone(o) }
	any := func(*control) bool { return true }
	first := c.best(0, inZone)
	if first == nil {
		first = c.best(0, any)
	}
	notFirst := func(o *control) bool { return o != first }
	second := c.best(0, func(o *control) bool { return outside(o) && notFirst(o) })
	if second == nil {
		second = c.best(0, notFirst)
	}
	for i, preferred := range []*control{first, second} {
		// The first links of a whole fleet that starts are spread.
		c.slots[i] = slot{preferred: preferred, due: c.now + c.random.span(0, redialHigh)}
	}
}

// best is the fit control member with the greatest weight.
func (c *Client) best(salt uint64, fit func(*control) bool) (best *control) {
	var most uint64
	for _, o := range c.controls {
		if w := weight(c.cfg.Name, o.name, salt); fit(o) && (best == nil || w > most) {
			best, most = o, w
		}
	}
	return best
}

// Targets is the control members to keep links with now; links to others are to be closed. They are two, for a while more
// where this front end returns to its zone's or tries another beside a silent one, and fewer where there are no more or during the
// pause after a loss.
func (c *Client) Targets(now monotime.Micros) []string {
	c.Tick(now)
	var list []string
	for _, o := range c.wanted() {
		list = append(list, o.name)
	}
	return list
}

func (c *Client) wanted() (list []*control) {
	add := func(o *control) {
		if o != nil && !slices.Contains(list, o) {
			list = append(list, o)
		}
	}
	for i := range c.slots {
		add(c.slots[i].current)
	}
	for i := range c.slots {
		add(c.slots[i].beside)
	}
	for i := range c.slots {
		if c.slots[i].returning {
			add(c.slots[i].preferred)
		}
	}
	return list
}

// moveSlots fills the empty slots, gives up silent control members, and returns to the preferred ones.
func (c *Client) moveSlots() {
	for i := range c.slots {
		s := &c.slots[i]
		if s.current != nil && c.silent(s.current) {
			c.lose(s.current, true)
		}
		if s.current == nil && s.preferred != nil && c.now >= s.due {
			c.fill(s)
		}
		c.tryBeside(s)
		c.comeBack(s)
	}
	c.swapCrossed()
}

// swapCrossed lets each slot have its preferred control member where each holds the other's: neither could return.
func (c *Client) swapCrossed() {
	a, b := &c.slots[0], &c.slots[1]
	if a.current != nil && b.current != nil && a.current == b.preferred && b.current == a.preferred {
		a.current, b.current = b.current, a.current
		a.beside, b.beside = nil, nil
		c.chooseHome()
	}
}

// tryBeside wants a link to another control member once a slot's is silent, before the leases end there. The one that is heard
// first keeps the slot.
func (c *Client) tryBeside(s *slot) {
	if s.beside != nil && c.silent(s.beside) {
		c.lose(s.beside, true)
	}
	switch o := s.beside; {
	case s.current == nil || c.silence(s.current) < c.cfg.SuspectAfter:
		s.beside = nil
	case o == nil && !s.returning:
		if s.beside = c.replacement(s); s.beside != nil {
			c.want(s.beside)
		}
	case o != nil && o.linked && o.heard > o.asked:
		c.lose(s.current, true)
	}
}

// silence is for how long a control member that is dialled or linked was not heard.
func (c *Client) silence(o *control) monotime.Micros { return c.now - max(o.heard, o.asked) }

// silent says whether such a one is to be given up.
func (c *Client) silent(o *control) bool { return o.leaving || c.silence(o) >= c.cfg.DeadAfter }

// alone says whether no control member of a slot was heard of late.
func (c *Client) alone() bool {
	return !slices.ContainsFunc(c.slots[:], func(s slot) bool { return c.fresh(s.current) || c.fresh(s.beside) })
}

// lose empties the slots of a control member. One that can't be reached is avoided for a while; one whose link broke is dialled
// once more first.
func (c *Client) lose(o *control, unreachable bool) {
	o.linked, o.steady, o.behind, o.wantsSums = false, 0, false, false
	if unreachable {
		o.avoidedUntil = c.now + c.random.span(avoidLow, avoidHigh)<<min(o.failures, mostDoubled)
		o.failures++
	}
	for i := range c.slots {
		s := &c.slots[i]
		if s.returning && s.preferred == o {
			s.returning, s.settled, s.back = false, 0, 0
		}
		if s.beside == o {
			s.beside = nil
		}
		if s.current != o {
			continue
		}
		c.Counters.LostControlMembers++
		s.current, s.beside = s.beside, nil
		s.due = c.now + c.pause(unreachable)
	}
	c.chooseHome()
}

// pause is after what pause a lost control member is replaced, or dialled again.
func (c *Client) pause(unreachable bool) monotime.Micros {
	switch {
	case c.alone():
		return c.random.span(0, rescueHigh)
	case unreachable:
		return c.random.span(replaceLow, replaceHigh)
	}
	return c.random.span(redialLow, redialHigh)
}

// fill gives an empty slot a control member.
func (c *Client) fill(s *slot) {
	next := c.replacement(s)
	if next == nil {
		s.due = c.now + c.random.span(replaceLow, replaceHigh)
		return
	}
	s.current = next
	c.want(next)
}

// want begins the span in which a control member has to be heard.
func (c *Client) want(o *control) {
	if !o.linked {
		o.asked, o.leaving = c.now, false
	}
}

// replacement is the preferred control member of a slot, where that is not avoided, or one of all that are left, by an order of
// this front end's own; not another of its zone, to which all front ends of the lost one would go. One whose link broke comes first
// in that order, and so is dialled again.
func (c *Client) replacement(s *slot) *control {
	free := func(o *control) bool {
		for i := range c.slots {
			other := &c.slots[i]
			if other.current == o || other.beside == o || other != s && (other.current == nil || other.returning) && other.preferred == o {
				return false
			}
		}
		return c.now >= o.avoidedUntil
	}
	spread := func(o *control) bool {
		return free(o) && (o == s.preferred || o.zone != c.cfg.Zone)
	}
	if free(s.preferred) {
		return s.preferred
	}
	if next := c.best(1, spread); next != nil {
		return next
	}
	return c.best(1, free)
}

// comeBack returns to the preferred control member once the view has shown it alive for a while. The current link is kept until
// that one is heard.
func (c *Client) comeBack(s *slot) {
	if s.current == s.preferred || s.current == nil {
		s.settled, s.back, s.returning = 0, 0, false
		return
	}
	if s.returning {
		if p := s.preferred; p.linked && p.heard > p.asked {
			s.current, s.returning = p, false
			c.chooseHome()
		} else if c.silent(p) {
			c.lose(p, true)
		}
		return
	}
	e, ok := c.view.Lookup(s.preferred.name)
	taken := slices.ContainsFunc(c.slots[:], func(other slot) bool { return other.current == s.preferred || other.beside == s.preferred })
	switch {
	case !ok || e.State != Alive || c.now < s.preferred.avoidedUntil || taken:
		s.settled, s.back = 0, 0
	case s.settled == 0:
		s.settled = c.now
		s.back = c.now + settleSpan + c.random.span(0, returnSpan)
	case c.now >= s.back:
		s.returning = true
		c.want(s.preferred)
	}
}
