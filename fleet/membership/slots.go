package membership

import (
	"slices"

	"chutechute/internal/monotime"
)

const (
	// minRedialDelay and maxRedialDelay are the range of the delay before a control member whose link broke is dialed
	// again.
	minRedialDelay = 100 * monotime.Millisecond
	maxRedialDelay = 500 * monotime.Millisecond
	// minReplaceDelay and maxReplaceDelay are the range of the delay before an unreachable control member is replaced.
	// It is random because all front ends of that control member replace it at the same time.
	minReplaceDelay = 200 * monotime.Millisecond
	maxReplaceDelay = 1_500 * monotime.Millisecond
	// maxIsolatedDelay limits the delay of a front end without any responsive control member. It is short because the
	// leases of that front end end soon.
	maxIsolatedDelay = 100 * monotime.Millisecond
	// minBackoff and maxBackoff are the range of the time for which an unreachable control member is not dialed. It
	// doubles with each consecutive failure.
	minBackoff = monotime.Second
	maxBackoff = 2 * monotime.Second
	// maxBackoffDoublings limits the doubling, so that the backoff is at most 1 to 2 minutes.
	maxBackoffDoublings = 6
	// failbackDelay is how long a control member must be back before its front ends return to it. failbackJitter is the
	// time over which their returns are then spread.
	failbackDelay  = 10 * monotime.Second
	failbackJitter = 30 * monotime.Second
)

// Salts of the two orders in which a front end ranks the control members.
const (
	preferredSalt   uint64 = 0
	replacementSalt uint64 = 1
)

// linkSlot is one of the two slots of a client, each of which has a control member to keep a link with.
type linkSlot struct {
	preferred           *controlPeer    // nil if there are too few control members
	current             *controlPeer    // nil during the delay after a loss
	candidate           *controlPeer    // replacement dialed in addition to an unresponsive current one, else nil
	fillAt              monotime.Micros // when to fill an empty slot
	preferredAliveSince monotime.Micros // since when the preferred one is back; 0 if it is not
	failbackAt          monotime.Micros // when to return to the preferred one; 0 if that is not scheduled
	failingBack         bool            // a link to the preferred one is requested in addition to the current one
}

// uses reports whether the slot's current control member or candidate is p.
func (s *linkSlot) uses(p *controlPeer) bool { return s.current == p || s.candidate == p }

// reserves reports whether p is the slot's preferred control member and the slot is empty or returning to it.
func (s *linkSlot) reserves(p *controlPeer) bool {
	return s.preferred == p && (s.current == nil || s.failingBack)
}

// cancelFailback cancels a scheduled or started return to the preferred control member.
func (s *linkSlot) cancelFailback() { s.preferredAliveSince, s.failbackAt, s.failingBack = 0, 0, false }

// assignPreferred chooses the preferred control members: one in this front end's zone for the first slot and one in
// another zone for the second, as far as there are any. Each front end ranks the control members in its own order.
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
		// The delay spreads the first dials of a fleet that starts all at once.
		c.slots[i] = linkSlot{preferred: preferred, fillAt: c.now + c.random.between(0, maxRedialDelay)}
	}
}

// highestWeight returns the control member with the highest rendezvous weight of those that satisfy a condition, or nil
// if none does.
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

// Targets returns the names of the control members to keep links with now; links to others must be closed. There are
// normally two. There are more for a while when this front end returns to a preferred control member or tries another
// in addition to an unresponsive one, and fewer during the delay after a loss or if there are not enough.
func (c *Client) Targets(now monotime.Micros) []string {
	c.Tick(now)
	var names []string
	for _, p := range c.targetPeers() {
		names = append(names, p.name)
	}
	return names
}

// targetPeers returns the control members to keep links with: the current ones of the slots, then the candidates, then
// the preferred ones that slots are returning to.
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

// updateSlots drops unresponsive control members, fills empty slots, and returns to the preferred control members.
func (c *Client) updateSlots() {
	for i := range c.slots {
		s := &c.slots[i]
		if s.current != nil && c.isUnresponsive(s.current) {
			c.dropPeer(s.current, true)
		}
		if s.current == nil && s.preferred != nil && c.now >= s.fillAt {
			c.fillSlot(s)
		}
		c.updateCandidate(s)
		c.failBack(s)
	}
	c.swapCrossedSlots()
}

// swapCrossedSlots swaps the slots' control members if each slot has the preferred one of the other. Otherwise neither
// slot could return to its own, since a control member in use by a slot is not available to the other.
func (c *Client) swapCrossedSlots() {
	a, b := &c.slots[0], &c.slots[1]
	if a.current != nil && b.current != nil && a.current == b.preferred && b.current == a.preferred {
		a.current, b.current = b.current, a.current
		a.candidate, b.candidate = nil, nil
		c.chooseHome()
	}
}

// updateCandidate requests a link to a candidate once a slot's current control member was not seen for SuspectAfter,
// which is before the lease there ends. Whichever of the two responds first keeps the slot.
func (c *Client) updateCandidate(s *linkSlot) {
	if s.candidate != nil && c.isUnresponsive(s.candidate) {
		c.dropPeer(s.candidate, true)
	}
	switch candidate := s.candidate; {
	case s.current == nil || c.sinceLastSeen(s.current) < c.cfg.SuspectAfter:
		s.candidate = nil
	case candidate == nil && !s.failingBack:
		if s.candidate = c.replacementFor(s); s.candidate != nil {
			c.requestLink(s.candidate)
		}
	case candidate != nil && candidate.respondedSinceDial():
		c.dropPeer(s.current, true)
	}
}

// isIsolated reports whether no current control member or candidate of a slot is responsive.
func (c *Client) isIsolated() bool {
	return !slices.ContainsFunc(c.slots[:], func(s linkSlot) bool {
		return c.isResponsive(s.current) || c.isResponsive(s.candidate)
	})
}

// dropPeer removes a control member from the slots. An unreachable one is not dialed during its backoff; one whose link
// broke has no backoff and is dialed again after a short delay.
func (c *Client) dropPeer(p *controlPeer, unreachable bool) {
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

// refillDelay returns the delay after which a slot that has lost its control member is filled again.
func (c *Client) refillDelay(unreachable bool) monotime.Micros {
	switch {
	case c.isIsolated():
		return c.random.between(0, maxIsolatedDelay)
	case unreachable:
		return c.random.between(minReplaceDelay, maxReplaceDelay)
	}
	return c.random.between(minRedialDelay, maxRedialDelay)
}

// fillSlot assigns a control member to an empty slot and requests a link to it. If none is available, it tries later.
func (c *Client) fillSlot(s *linkSlot) {
	next := c.replacementFor(s)
	if next == nil {
		s.fillAt = c.now + c.random.between(minReplaceDelay, maxReplaceDelay)
		return
	}
	s.current = next
	c.requestLink(next)
}

// replacementFor returns a control member for an empty slot or as a candidate, or nil if none is available: the
// preferred one if available, else one outside this front end's zone, else any. Each front end ranks the control
// members in its own order. Those of its own zone come last, since otherwise all front ends of a lost control member
// would move to the few in their zone. A replacement whose link broke is still first in the order, so it is dialed
// again.
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

// isAvailable reports whether a control member is not in use, not reserved by the other slot, and not in backoff.
func (c *Client) isAvailable(p *controlPeer, s *linkSlot) bool {
	for i := range c.slots {
		other := &c.slots[i]
		if other.uses(p) || other != s && other.reserves(p) {
			return false
		}
	}
	return c.now >= p.backoffUntil
}

// failBack returns to the preferred control member once the view has shown it as Alive for a while. The current link is
// kept until the preferred one responds.
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

// completeFailback makes the preferred control member the current one once it responds, or drops it if it does not.
func (c *Client) completeFailback(s *linkSlot) {
	switch preferred := s.preferred; {
	case preferred.respondedSinceDial():
		s.current, s.failingBack = preferred, false
		c.chooseHome()
	case c.isUnresponsive(preferred):
		c.dropPeer(preferred, true)
	}
}

// scheduleFailback requests a link to the preferred control member once it has been back for long enough.
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
