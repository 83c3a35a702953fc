package membership

import (
	"cmp"
	"math"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// firstLinkTimeout is how long a client at its start waits for a link to the first slot's control member before it
	// takes the view from the second.
	firstLinkTimeout = 2 * monotime.Second
	// homeFailbackDelay is how long the first slot's control member has to respond before the view is taken from it
	// again.
	homeFailbackDelay = 3 * monotime.Second
)

// Client is the part of an attached front end: it chooses the control members to keep links with, renews its leases
// with them, and follows the view of one of them, its home. It is not safe for concurrent use.
type Client struct {
	// Counters may be read at any time.
	Counters Counters

	cfg          Config
	now          monotime.Micros
	tickDeadline monotime.Micros // when a call was due at the latest
	started      bool
	startedAt    monotime.Micros
	random       splitMix64
	leaving      bool

	peers       []*controlPeer // by name
	peersByName map[string]*controlPeer
	slots       [2]linkSlot

	home           *controlPeer // nil without one
	view           *View
	epoch          uint64 // the control member's process whose version the view has; 0 for none
	sequence       uint64
	digestFailures int             // updates of the home in a row whose digest did not agree
	needsSnapshot  bool            // only a snapshot can repair the view
	conflictSince  monotime.Micros // since when the home shows a superseded process; 0 if it does not
	decompressor   decompressor

	outgoing []Message
}

// NewClient returns a client without links and with an empty view.
func NewClient(cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg, view: newView(), peersByName: map[string]*controlPeer{}}
	seed := fnvOffset.addString(cfg.Name).addUint64(cfg.Seed).addUint64(cfg.Incarnation)
	c.random = splitMix64(seed.finalize())
	for _, m := range cfg.ControlMembers {
		if c.peersByName[m.Name] == nil && m.Name != cfg.Name {
			p := &controlPeer{name: m.Name, zone: m.Zone}
			c.peers = append(c.peers, p)
			c.peersByName[m.Name] = p
		}
	}
	slices.SortFunc(c.peers, func(a, b *controlPeer) int { return cmp.Compare(a.name, b.name) })
	return c
}

// advanceClock sets the time. A call that is much later than due shows that this process was stopped: what was not
// received in that time proves nothing about the control members, and the view is as old as the gap until it is
// confirmed.
func (c *Client) advanceClock(now monotime.Micros) {
	if !c.started {
		c.started, c.startedAt, c.now = true, now, now
		c.assignPreferred()
	}
	if gap := now - c.tickDeadline; c.tickDeadline != 0 && gap > c.cfg.PauseThreshold {
		c.Counters.Pauses++
		for _, p := range c.peers {
			p.lastSeen, p.dialedAt = p.lastSeen+gap, p.dialedAt+gap
		}
	}
	c.now = max(c.now, now)
}

// updateTickDeadline notes when the next call is due.
func (c *Client) updateTickDeadline() { c.tickDeadline = c.Next() }

// Tick advances the time. It is to be called no later than Next returns, and may be called more often.
func (c *Client) Tick(now monotime.Micros) {
	c.advanceClock(now)
	defer c.updateTickDeadline()
	c.updateSlots()
	c.chooseHome()
	c.sendDueHeartbeats()
}

// Next returns when Tick has something to do.
func (c *Client) Next() monotime.Micros {
	next := c.now + c.cfg.HeartbeatInterval
	for i := range c.slots {
		s := &c.slots[i]
		if s.current == nil && s.preferred != nil {
			next = min(next, s.fillAt)
		}
		if s.failbackAt > c.now {
			next = min(next, s.failbackAt)
		}
	}
	for _, p := range c.targetPeers() {
		next = min(next, c.nextTimeout(p))
	}
	return max(next, c.now)
}

// nextTimeout returns when a peer's next heartbeat or timeout is due; math.MaxInt64 if none is.
func (c *Client) nextTimeout(p *controlPeer) monotime.Micros {
	next := monotime.Micros(math.MaxInt64)
	if p.linked {
		next = p.nextHeartbeat
	}
	for _, timeout := range []monotime.Micros{c.cfg.SuspectAfter, c.cfg.DeadAfter} {
		if at := max(p.lastSeen, p.dialedAt) + timeout; at > c.now {
			next = min(next, at)
		}
	}
	return next
}

// LinkOpened reports that a link to that process of a control member is open.
func (c *Client) LinkOpened(now monotime.Micros, control string, incarnation uint64) {
	c.advanceClock(now)
	defer c.updateTickDeadline()
	p := c.peersByName[control]
	if p == nil {
		return
	}
	p.open(c.now, incarnation)
	c.chooseHome()
	c.sendDueHeartbeats()
	// The next heartbeats of front ends that started together are spread over the interval.
	halfInterval := c.cfg.HeartbeatInterval / 2
	p.nextHeartbeat = c.now + halfInterval + c.random.between(0, halfInterval)
}

// LinkClosed reports that the link to a control member is closed, or could not be opened. A control member that closes
// the link before it has sent anything does not admit this front end, and counts as unreachable.
func (c *Client) LinkClosed(now monotime.Micros, control string) {
	c.advanceClock(now)
	defer c.updateTickDeadline()
	p := c.peersByName[control]
	if p == nil {
		return
	}
	if slices.Contains(c.targetPeers(), p) {
		c.loseLink(p, !p.linked || !p.responded)
	}
	p.linked = false
	c.chooseHome()
	c.sendDueHeartbeats()
}

// chooseHome takes the view from the first slot's control member, and at once from the second's if the first is lost.
func (c *Client) chooseHome() {
	first, second := c.slots[0].current, c.slots[1].current
	usable := c.home != nil && c.home.linked && (c.home == first || c.home == second)
	needsHome := !usable || !c.isResponsive(c.home)
	switch {
	case c.isResponsive(first) && (c.home == first || needsHome || c.shouldFailBack(first)):
		c.setHome(first)
	case usable && c.isResponsive(c.home):
	case !usable && c.awaitsFirstLink():
		c.setHome(nil)
	case c.isResponsive(second):
		c.setHome(second)
	case !usable:
		c.setHome(nil)
	}
}

// shouldFailBack reports whether the view is to be taken from the first slot's control member again. A replacement does
// not get it back: that is one change of home less to be published to the whole fleet.
func (c *Client) shouldFailBack(first *controlPeer) bool {
	return first == c.slots[0].preferred && c.now-first.stableSince >= homeFailbackDelay
}

// awaitsFirstLink reports whether the first slot may yet get its first link.
func (c *Client) awaitsFirstLink() bool {
	preferred := c.slots[0].preferred
	starting := c.now-c.startedAt < firstLinkTimeout && c.epoch == 0
	return starting && preferred != nil && preferred.dialFailures == 0
}

func (c *Client) setHome(p *controlPeer) {
	if c.home == p {
		return
	}
	if c.home != nil {
		c.home.nextHeartbeat = c.now
	}
	c.home = p
	c.digestFailures, c.needsSnapshot, c.conflictSince = 0, false, 0
	c.Counters.HomeChanges++
	if p != nil {
		p.nextHeartbeat = c.now
	}
}

// Home returns the control member that serves this front end's view and forwards its requests; empty without one.
func (c *Client) Home() string {
	if c.home == nil {
		return ""
	}
	return c.home.name
}

// View returns the view as last received. It changes with the calls of the client's other methods.
func (c *Client) View() *View { return c.view }

// Leave announces that this front end ends as planned.
func (c *Client) Leave() {
	if c.leaving {
		return
	}
	c.leaving = true
	for _, p := range c.targetPeers() {
		if p.linked {
			c.sendHeartbeat(p)
		}
	}
}

// sendDueHeartbeats sends the heartbeats that are due.
func (c *Client) sendDueHeartbeats() {
	for _, p := range c.targetPeers() {
		if p.linked && c.now >= p.nextHeartbeat {
			c.sendHeartbeat(p)
			p.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
		}
	}
}

func (c *Client) sendHeartbeat(p *controlPeer) {
	h := heartbeat{name: c.cfg.Name, sentAt: c.now, leaving: c.leaving, subscribe: p == c.home}
	if h.subscribe {
		c.describeView(p, &h)
	}
	c.Counters.Heartbeats++
	if len(c.outgoing) < maxQueuedMessages {
		c.outgoing = append(c.outgoing, Message{To: p.name, Kind: Heartbeat, Body: h.encode()})
	}
}

// describeView sets how far the view is, and what is needed to follow the home.
func (c *Client) describeView(p *controlPeer, h *heartbeat) {
	h.resume = p.viewBehind || p.needsBucketDigests || c.epoch != p.incarnation
	switch {
	case c.needsSnapshot:
		h.resume = true
	case c.epoch == p.incarnation && !p.needsBucketDigests:
		h.epoch, h.sequence, h.digest = c.epoch, c.sequence, c.view.Digest()
	case c.view.Len() > 0:
		h.digest = c.view.Digest()
		h.bucketDigests = make([]uint32, bucketCount)
		for i := range h.bucketDigests {
			h.bucketDigests[i] = uint32(c.view.bucketDigests[i])
		}
	}
}

// TakeMessages returns the messages that are to be sent, and removes them from the client.
func (c *Client) TakeMessages() []Message {
	messages := c.outgoing
	c.outgoing = nil
	return messages
}
