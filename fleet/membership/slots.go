package membership

import (
	"slices"

	"chutechute/internal/monotime"
)

const (
	// minRedialDelay and redialHigh are after what pause a control member is dialled again whose link broke.
	minRedialDelay, maxRedialDelay monotime.Micros = 100_000, 500_000
	// minReplaceDelay and replaceHigh are after what pause a lost control member is replaced: all its front ends do so at once.
	minReplaceDelay, maxReplaceDelay monotime.Micros = 200_000, 1_500_000
	// maxIsolatedDelay is after what pause at most a front end without any live link dials: its leases end soon.
	maxIsolatedDelay monotime.Micros = 100_000
	// minBackoff and avoidHigh are for how long one that could not be reached is not dialled, doubled with each time in a row.
	minBackoff, maxBackoff monotime.Micros = 1_000_000, 2_000_000
	// maxBackoffDoublings bounds the doubling: 1 to 2 minutes.
	maxBackoffDoublings = 6
	// failbackDelay is how long a control member has to be back before its front ends return to it, and returnSpan within how much
	// more they do.
	failbackDelay, failbackJitter monotime.Micros = 10_000_000, 30_000_000
)

// controlPeer is a control member as a client sees it.
type controlPeer struct {
	name, zone         string
	linked             bool
	responded          bool // something came over the link
	incarnation        uint64
	dialedAt           monotime.Micros // since when a link to it is wanted
	lastSeen           monotime.Micros // the last sign of life over the link
	stableSince        monotime.Micros // since when it is linked and heard without a gap
	leaving            bool
	nextHeartbeat      monotime.Micros // when the next heartbeat is due
	backoffUntil       monotime.Micros // until when it is not dialled
	dialFailures       int             // in a row
	needsBucketDigests bool            // it can't follow up on what this view is without the sums
	viewBehind         bool            // it told of a later view than was received by then
	lastResume         monotime.Micros
	clock              clockOffset
	lastAnswer         answerState
}

// answerState is what the last answer to a heartbeat said: how far the view was when it was asked.
type answerState struct {
	received        bool
	sequence        uint64
	heartbeatSentAt monotime.Micros
}

// linkSlot is one of the control members to keep a link with.
type linkSlot struct {
	preferred           *controlPeer
	current             *controlPeer    // nil during the pause after a loss
	candidate           *controlPeer    // tried beside the current, which is silent; nil while it isn't
	fillAt              monotime.Micros // when it is to be filled again
	preferredAliveSince monotime.Micros // since when the preferred one is back; 0 while it isn't
	failbackAt          monotime.Micros // when to return to it; 0 while that isn't decided
	failingBack         bool            // a link to the preferred one is wanted beside the current
}

// assignPreferred chooses the slots' control members: of the zone, and of the rest, each by an order of this front end's own.
func (c *Client) assignPreferred() {
	inZone := func(o *controlPeer) bool { return o.zone == c.cfg.Zone }
	outside := func(o *controlPeer) bool { return !inZone(o) }
	any := func(*controlPeer) bool { return true }
	first := c.highestWeight(0, inZone)
	if first == nil {
		first = c.highestWeight(0, any)
	}
	notFirst := func(o *controlPeer) bool { return o != first }
	second := c.highestWeight(0, func(o *controlPeer) bool { return outside(o) && notFirst(o) })
	if second == nil {
		second = c.highestWeight(0, notFirst)
	}
	for i, preferred := range []*controlPeer{first, second} {
		// The first links of a whole fleet that starts are spread.
		c.slots[i] = linkSlot{preferred: preferred, fillAt: c.now + c.random.between(0, maxRedialDelay)}
	}
}

// highestWeight is the fit control member with the greatest weight.
func (c *Client) highestWeight(salt uint64, fit func(*controlPeer) bool) (best *controlPeer) {
	var most uint64
	for _, o := range c.peers {
		if w := rendezvousWeight(c.cfg.Name, o.name, salt); fit(o) && (best == nil || w > most) {
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
	for _, o := range c.targetPeers() {
		list = append(list, o.name)
	}
	return list
}

func (c *Client) targetPeers() (list []*controlPeer) {
	add := func(o *controlPeer) {
		if o != nil && !slices.Contains(list, o) {
			list = append(list, o)
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

// updateSlots fills the empty slots, gives up silent control members, and returns to the preferred ones.
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

// swapCrossedSlots lets each slot have its preferred control member where each holds the other's: neither could return.
func (c *Client) swapCrossedSlots() {
	a, b := &c.slots[0], &c.slots[1]
	if a.current != nil && b.current != nil && a.current == b.preferred && b.current == a.preferred {
		a.current, b.current = b.current, a.current
		a.candidate, b.candidate = nil, nil
		c.chooseHome()
	}
}

// updateCandidate wants a link to another control member once a slot's is silent, before the leases end there. The one that is heard
// first keeps the slot.
func (c *Client) updateCandidate(s *linkSlot) {
	if s.candidate != nil && c.isUnresponsive(s.candidate) {
		c.loseLink(s.candidate, true)
	}
	switch o := s.candidate; {
	case s.current == nil || c.silence(s.current) < c.cfg.SuspectAfter:
		s.candidate = nil
	case o == nil && !s.failingBack:
		if s.candidate = c.replacementFor(s); s.candidate != nil {
			c.requestLink(s.candidate)
		}
	case o != nil && o.linked && o.lastSeen > o.dialedAt:
		c.loseLink(s.current, true)
	}
}

// silence is for how long a control member that is dialled or linked was not heard.
func (c *Client) silence(o *controlPeer) monotime.Micros { return c.now - max(o.lastSeen, o.dialedAt) }

// isUnresponsive says whether such a one is to be given up.
func (c *Client) isUnresponsive(o *controlPeer) bool {
	return o.leaving || c.silence(o) >= c.cfg.DeadAfter
}

// isIsolated says whether no control member of a slot was heard of late.
func (c *Client) isIsolated() bool {
	return !slices.ContainsFunc(c.slots[:], func(s linkSlot) bool { return c.isResponsive(s.current) || c.isResponsive(s.candidate) })
}

// loseLink empties the slots of a control member. One that can't be reached is avoided for a while; one whose link broke is dialled
// once more first.
func (c *Client) loseLink(o *controlPeer, unreachable bool) {
	o.linked, o.stableSince, o.viewBehind, o.needsBucketDigests = false, 0, false, false
	if unreachable {
		o.backoffUntil = c.now + c.random.between(minBackoff, maxBackoff)<<min(o.dialFailures, maxBackoffDoublings)
		o.dialFailures++
	}
	for i := range c.slots {
		s := &c.slots[i]
		if s.failingBack && s.preferred == o {
			s.failingBack, s.preferredAliveSince, s.failbackAt = false, 0, 0
		}
		if s.candidate == o {
			s.candidate = nil
		}
		if s.current != o {
			continue
		}
		c.Counters.LostControlMembers++
		s.current, s.candidate = s.candidate, nil
		s.fillAt = c.now + c.redialDelay(unreachable)
	}
	c.chooseHome()
}

// redialDelay is after what pause a lost control member is replaced, or dialled again.
func (c *Client) redialDelay(unreachable bool) monotime.Micros {
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

// requestLink begins the span in which a control member has to be heard.
func (c *Client) requestLink(o *controlPeer) {
	if !o.linked {
		o.dialedAt, o.leaving = c.now, false
	}
}

// replacementFor is the preferred control member of a slot, where that is not avoided, or one of all that are left, by an order of
// this front end's own; not another of its zone, to which all front ends of the lost one would go. One whose link broke comes first
// in that order, and so is dialled again.
func (c *Client) replacementFor(s *linkSlot) *controlPeer {
	free := func(o *controlPeer) bool {
		for i := range c.slots {
			other := &c.slots[i]
			if other.current == o || other.candidate == o || other != s && (other.current == nil || other.failingBack) && other.preferred == o {
				return false
			}
		}
		return c.now >= o.backoffUntil
	}
	spread := func(o *controlPeer) bool {
		return free(o) && (o == s.preferred || o.zone != c.cfg.Zone)
	}
	if free(s.preferred) {
		return s.preferred
	}
	if next := c.highestWeight(1, spread); next != nil {
		return next
	}
	return c.highestWeight(1, free)
}

// failBack returns to the preferred control member once the view has shown it alive for a while. The current link is kept until
// that one is heard.
func (c *Client) failBack(s *linkSlot) {
	if s.current == s.preferred || s.current == nil {
		s.preferredAliveSince, s.failbackAt, s.failingBack = 0, 0, false
		return
	}
	if s.failingBack {
		if p := s.preferred; p.linked && p.lastSeen > p.dialedAt {
			s.current, s.failingBack = p, false
			c.chooseHome()
		} else if c.isUnresponsive(p) {
			c.loseLink(p, true)
		}
		return
	}
	e, ok := c.view.Lookup(s.preferred.name)
	taken := slices.ContainsFunc(c.slots[:], func(other linkSlot) bool { return other.current == s.preferred || other.candidate == s.preferred })
	switch {
	case !ok || e.State != Alive || c.now < s.preferred.backoffUntil || taken:
		s.preferredAliveSince, s.failbackAt = 0, 0
	case s.preferredAliveSince == 0:
		s.preferredAliveSince = c.now
		s.failbackAt = c.now + failbackDelay + c.random.between(0, failbackJitter)
	case c.now >= s.failbackAt:
		s.failingBack = true
		c.requestLink(s.preferred)
	}
}
