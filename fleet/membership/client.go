package membership

import (
	"cmp"
	"math"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// firstLinkTimeout is how long a client that starts waits for the link of the first slot before it chooses the
	// second slot's control member as its home.
	firstLinkTimeout = 2 * monotime.Second
	// homeFailbackDelay is how long the first slot's control member must have responded without a gap before it becomes
	// the home again.
	homeFailbackDelay = 3 * monotime.Second
)

// Client implements membership for an attached front end. It chooses the control members to keep links with, renews its
// leases there, and follows the view of one of them, its home. It is not safe for concurrent use.
type Client struct {
	// Counters may be read at any time.
	Counters Counters

	cfg          Config
	now          monotime.Micros
	tickDeadline monotime.Micros // when the next call is due; a much later one shows a pause
	started      bool
	startedAt    monotime.Micros
	random       splitMix64
	leaving      bool

	peers       []*controlPeer // sorted by name
	peersByName map[string]*controlPeer
	slots       [2]linkSlot

	home           *controlPeer // nil if there is none
	view           *View
	epoch          uint64          // incarnation of the control member that sent the view; 0 if none did yet
	sequence       uint64          // of the view at that control member
	digestFailures int             // consecutive updates of the home whose digest did not match
	needsSnapshot  bool            // a repair by buckets failed; only a snapshot can help
	conflictSince  monotime.Micros // since when the home shows a superseded process; 0 if it shows none
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

// advanceClock sets the time. A call that is much later than due shows that this process was paused. The pause does not
// count as time without messages from the control members, but it does count towards the age of the view.
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

// updateTickDeadline records when the next call is due.
func (c *Client) updateTickDeadline() { c.tickDeadline = c.Next() }

// Tick advances the time. It must be called no later than the time that Next returns, and may be called more often.
func (c *Client) Tick(now monotime.Micros) {
	c.advanceClock(now)
	defer c.updateTickDeadline()
	c.updateSlots()
	c.chooseHome()
	c.sendDueHeartbeats()
}

// Next returns when Tick must be called next.
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

// nextTimeout returns when a peer's next heartbeat or timeout is due, or math.MaxInt64 if none is.
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

// LinkOpened records that a link to a process of a control member is open.
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
	// Front ends that start together spread their next heartbeats over half of the interval.
	halfInterval := c.cfg.HeartbeatInterval / 2
	p.nextHeartbeat = c.now + halfInterval + c.random.between(0, halfInterval)
}

// LinkClosed records that the link to a control member was closed or could not be opened. A control member
// that closes the link before it has sent a message does not admit this front end; it is treated as unreachable.
func (c *Client) LinkClosed(now monotime.Micros, control string) {
	c.advanceClock(now)
	defer c.updateTickDeadline()
	p := c.peersByName[control]
	if p == nil {
		return
	}
	if slices.Contains(c.targetPeers(), p) {
		c.dropPeer(p, !p.linked || !p.responded)
	}
	p.linked = false
	c.chooseHome()
	c.sendDueHeartbeats()
}

// chooseHome makes the first slot's control member the home, or the second slot's as soon as the first one is lost.
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

// shouldFailBack reports whether the first slot's control member should become the home again in place of a responsive
// one. A replacement of the preferred one should not, which saves publishing one change of home to the whole fleet.
func (c *Client) shouldFailBack(first *controlPeer) bool {
	return first == c.slots[0].preferred && c.now-first.stableSince >= homeFailbackDelay
}

// awaitsFirstLink reports whether the client is starting and the first slot may still get its first link.
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

// Home returns the control member that serves this front end's view and forwards its proposals, or "" if there is none.
func (c *Client) Home() string {
	if c.home == nil {
		return ""
	}
	return c.home.name
}

// View returns the view as last received. Calls to other methods of the client may change it.
func (c *Client) View() *View { return c.view }

// Leave announces the planned shutdown of this front end.
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

// describeView adds to a heartbeat which version of the view this client has, and what it needs to follow the home.
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

// TakeMessages returns the messages to send and removes them from the client.
func (c *Client) TakeMessages() []Message {
	messages := c.outgoing
	c.outgoing = nil
	return messages
}
