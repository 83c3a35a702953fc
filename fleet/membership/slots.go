package membership

import (
	"slices"

	"chutechute/internal/monotime"
)

const (
	// minRedialDelay and maxRedialDelay are the delay after which a control member is dialed again whose link broke.
	minRedialDelay = 100 * monotime.Millisecond
	maxRedialDelay = 500 * monotime.Millisecond
	// minReplaceDelay and maxReplaceDelay are the delay after which a lost control member is replaced: all its front
	// ends do so at once.
	minReplaceDelay = 200 * monotime.Millisecond
	maxReplaceDelay = 1_500 * monotime.Millisecond
	// maxIsolatedDelay is the greatest delay after which a front end without any responsive control member dials: its
	// leases end soon.
	maxIsolatedDelay = 100 * monotime.Millisecond
	// minBackoff and maxBackoff are for how long an unreachable control member is not dialed, doubled with each failure
	// in a row.
	minBackoff = monotime.Second
	maxBackoff = 2 * monotime.Second
	// maxBackoffDoublings bounds the doubling: 1 to 2 minutes.
	maxBackoffDoublings = 6
	// failbackDelay is how long a control member has to be back before its front ends return to it, and failbackJitter
	// is within how much more time they do.
	failbackDelay  = 10 * monotime.Second
	failbackJitter = 30 * monotime.Second
)

// The salts of the orders of control members that a front end has.
const (
	preferredSalt   uint64 = 0
	replacementSalt uint64 = 1
)

// linkSlot is one of the control members to keep a link with.
type linkSlot struct {
	preferred           *controlPeer
	current             *controlPeer    // nil during the delay after a loss
	candidate           *controlPeer    // dialed beside the current one, which is unresponsive; nil while it is not
	fillAt              monotime.Micros // when an empty slot is to be filled
	preferredAliveSince monotime.Micros // since when the preferred one is back; 0 while it is not
	failbackAt          monotime.Micros // when to return to the preferred one; 0 while that is not decided
	failingBack         bool            // a link to the preferred one is requested beside the current one
}

// uses reports whether the slot's current control member or candidate is p.
func (s *linkSlot) uses(p *controlPeer) bool { return s.current == p || s.candidate == p }

// reserves reports whether the slot is about to return to its preferred control member p.
func (s *linkSlot) reserves(p *controlPeer) bool {
	return s.preferred == p && (s.current == nil || s.failingBack)
}

// cancelFailback ends what leads to a return to the preferred control member.
func (s *linkSlot) cancelFailback() { s.preferredAliveSince, s.failbackAt, s.failingBack = 0, 0, false }

// assignPreferred chooses the slots' control members: one of the zone, and one of the rest, each by an order of this
// front end's own.
func (c *Client) assignPreferred() {
	inZone := func(p *controlPeer) bool { return p.zone == c.cfg.Zone }
	anyPeer := func(*controlPeer) bool { return true }
	first := c.highestWeight(preferredSalt, inZone)
	if first == nil {
		first = c.highestWeight(preferredSalt, anyPeer)
	}
	notFirst := func(p *controlPeer) bool { return p != first }
	second := c.highestWeight(preferredSalt, func(p *controlPeer) bool { return !inZone(p) && notFirst(p) })
	if second == nil {
		second = c.highestWeight(preferredSalt, notFirst)
	}
	for i, preferred := range []*controlPeer{first, second} {
		// The first links of a whole fleet that starts are spread.
		c.slots[i] = linkSlot{preferred: preferred, fillAt: c.now + c.random.between(0, maxRedialDelay)}
	}
}

// highestWeight returns the control member with the greatest weight of those that satisfy a condition; nil if none
// does.
func (c *Client) highestWeight(salt uint64, condition func(*controlPeer) bool) (best *controlPeer) {
	var bestWeight uint64
	for _, p := range c.peers {
		weight := rendezvousWeight(c.cfg.Name, p.name, salt)
		if condition(p) && (best == nil || weight > bestWeight) {
			best, bestWeight = p, weight
		}
	}
	return best
}

// Targets returns the names of the control members to keep links with now; links to others are to be closed. They are
// two, for a while more if this front end returns to its preferred one or tries another beside an unresponsive one, and
// fewer if there are no more or during the delay after a loss.
func (c *Client) Targets(now monotime.Micros) []string {
	c.Tick(now)
	var names []string
	for _, p := range c.targetPeers() {
		names = append(names, p.name)
	}
	return names
}

// targetPeers returns the control members to keep links with: those that the slots have, then the candidates, then
// those that slots return to.
func (c *Client) targetPeers() (list []*controlPeer) {
	add := func(p *controlPeer) {
		if p != nil && !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	for i := range c.slots {
		add(c.slots[i].current)
	}
	for i := range c.slots {
		add(c.slots[i].candidate)
	}
	for i := range c.slots {
		if c.slots[i].failingBack {
			add(c.slots[i].preferred)
		}
	}
	return list
}

// updateSlots fills the empty slots, gives up unresponsive control members, and returns to the preferred ones.
func (c *Client) updateSlots() {
	for i := range c.slots {
		s := &c.slots[i]
		if s.current != nil && c.isUnresponsive(s.current) {
			c.loseLink(s.current, true)
		}
		if s.current == nil && s.preferred != nil && c.now >= s.fillAt {
			c.fillSlot(s)
		}
		c.updateCandidate(s)
		c.failBack(s)
	}
	c.swapCrossedSlots()
}

// swapCrossedSlots gives each slot its preferred control member if each has the other's: neither could return.
func (c *Client) swapCrossedSlots() {
	a, b := &c.slots[0], &c.slots[1]
	if a.current != nil && b.current != nil && a.current == b.preferred && b.current == a.preferred {
		a.current, b.current = b.current, a.current
		a.candidate, b.candidate = nil, nil
		c.chooseHome()
	}
}

// updateCandidate requests a link to another control member once a slot's is unresponsive, before the leases end there.
// The one that responds first keeps the slot.
func (c *Client) updateCandidate(s *linkSlot) {
	if s.candidate != nil && c.isUnresponsive(s.candidate) {
		c.loseLink(s.candidate, true)
	}
	switch candidate := s.candidate; {
	case s.current == nil || c.silence(s.current) < c.cfg.SuspectAfter:
		s.candidate = nil
	case candidate == nil && !s.failingBack:
		if s.candidate = c.replacementFor(s); s.candidate != nil {
			c.requestLink(s.candidate)
		}
	case candidate != nil && candidate.respondedSinceDial():
		c.loseLink(s.current, true)
	}
}

// isIsolated reports whether no control member of a slot was seen recently.
func (c *Client) isIsolated() bool {
	return !slices.ContainsFunc(c.slots[:], func(s linkSlot) bool {
		return c.isResponsive(s.current) || c.isResponsive(s.candidate)
	})
}

// loseLink empties the slots of a control member. An unreachable one is not dialed for a while; one whose link broke is
// dialed once more first.
func (c *Client) loseLink(p *controlPeer, unreachable bool) {
	p.linked, p.stableSince, p.viewBehind, p.needsBucketDigests = false, 0, false, false
	if unreachable {
		p.backoffUntil = c.now + c.random.between(minBackoff, maxBackoff)<<min(p.dialFailures, maxBackoffDoublings)
		p.dialFailures++
	}
	for i := range c.slots {
		s := &c.slots[i]
		if s.failingBack && s.preferred == p {
			s.cancelFailback()
		}
		if s.candidate == p {
			s.candidate = nil
		}
		if s.current != p {
			continue
		}
		c.Counters.LostControlMembers++
		s.current, s.candidate = s.candidate, nil
		s.fillAt = c.now + c.refillDelay(unreachable)
	}
	c.chooseHome()
}

// refillDelay returns the delay after which a lost control member is replaced, or dialed again.
func (c *Client) refillDelay(unreachable bool) monotime.Micros {
	switch {
	case c.isIsolated():
		return c.random.between(0, maxIsolatedDelay)
	case unreachable:
		return c.random.between(minReplaceDelay, maxReplaceDelay)
	}
	return c.random.between(minRedialDelay, maxRedialDelay)
}

// fillSlot gives an empty slot a control member.
func (c *Client) fillSlot(s *linkSlot) {
	next := c.replacementFor(s)
	if next == nil {
		s.fillAt = c.now + c.random.between(minReplaceDelay, maxReplaceDelay)
		return
	}
	s.current = next
	c.requestLink(next)
}

// replacementFor returns the preferred control member of a slot, if that is available, or one of all that are left,
// by an order of this front end's own; not another of its zone, to which all front ends of the lost one would go.
// One whose link broke comes first in that order, and so is dialed again.
func (c *Client) replacementFor(s *linkSlot) *controlPeer {
	available := func(p *controlPeer) bool { return c.isAvailable(p, s) }
	if available(s.preferred) {
		return s.preferred
	}
	outsideZone := func(p *controlPeer) bool {
		return available(p) && (p == s.preferred || p.zone != c.cfg.Zone)
	}
	if next := c.highestWeight(replacementSalt, outsideZone); next != nil {
		return next
	}
	return c.highestWeight(replacementSalt, available)
}

// isAvailable reports whether a slot may get a control member.
func (c *Client) isAvailable(p *controlPeer, s *linkSlot) bool {
	for i := range c.slots {
		other := &c.slots[i]
		if other.uses(p) || other != s && other.reserves(p) {
			return false
		}
	}
	return c.now >= p.backoffUntil
}

// failBack returns to the preferred control member once the view has shown it alive for a while. The current link is
// kept until that one responds.
func (c *Client) failBack(s *linkSlot) {
	switch {
	case s.current == s.preferred || s.current == nil:
		s.cancelFailback()
	case s.failingBack:
		c.completeFailback(s)
	default:
		c.scheduleFailback(s)
	}
}

// completeFailback gives the slot its preferred control member once that responds.
func (c *Client) completeFailback(s *linkSlot) {
	switch preferred := s.preferred; {
	case preferred.respondedSinceDial():
		s.current, s.failingBack = preferred, false
		c.chooseHome()
	case c.isUnresponsive(preferred):
		c.loseLink(preferred, true)
	}
}

// scheduleFailback requests a link to the preferred control member once it is back for long enough.
func (c *Client) scheduleFailback(s *linkSlot) {
	e, ok := c.view.Lookup(s.preferred.name)
	alive := ok && e.State == Alive
	inUse := slices.ContainsFunc(c.slots[:], func(other linkSlot) bool { return other.uses(s.preferred) })
	switch {
	case !alive || c.now < s.preferred.backoffUntil || inUse:
		s.preferredAliveSince, s.failbackAt = 0, 0
	case s.preferredAliveSince == 0:
		s.preferredAliveSince = c.now
		s.failbackAt = c.now + failbackDelay + c.random.between(0, failbackJitter)
	case c.now >= s.failbackAt:
		s.failingBack = true
		c.requestLink(s.preferred)
	}
}
