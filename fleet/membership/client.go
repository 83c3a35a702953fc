package membership

import (
	"cmp"
	"fmt"
	"slices"

	"chutechute/internal/monotime"
)

const (
	// firstLinkTimeout is how long a client at its start waits for the first slot before it takes the view from the second.
	firstLinkTimeout monotime.Micros = 2_000_000
	// homeFailbackDelay is how long the first slot has to be heard before the view is taken from it again.
	homeFailbackDelay monotime.Micros = 3_000_000
	// minResumeInterval is between two requests of what is missing, beside the heartbeats.
	minResumeInterval monotime.Micros = 300_000
	// conflictTimeout is for how long a home has to show a process alive before that counts more than what was seen of it elsewhere.
	// It is longer than the evidence of any home that is not there.
	conflictTimeout monotime.Micros = 30_000_000
	// maxDigestFailures is how many times in a row what a control member sends may not agree before its link is closed.
	maxDigestFailures = 6
)

// Client is an attached front end's part.
type Client struct {
	// Counters may be read at any time.
	Counters Counters

	cfg          Config
	now          monotime.Micros
	tickDeadline monotime.Micros // when a call was due at the latest
	started      bool
	startedAt    monotime.Micros // the time of the start
	random       splitMix64
	leaving      bool

	peers       []*controlPeer // by name
	peersByName map[string]*controlPeer
	slots       [2]linkSlot

	home           *controlPeer
	view           *View
	epoch          uint64 // the process of a control member whose version the view is; 0 for none
	sequence       uint64
	digestFailures int             // in a row, in which what the home sent did not agree
	needsSnapshot  bool            // only the whole view helps
	conflictSince  monotime.Micros // since when the home shows a process that was replaced; 0 where it doesn't
	decompressor   decompressor

	actions []Message
}

// NewClient begins without links and with an empty view.
func NewClient(cfg Config) *Client {
	cfg = cfg.withDefaults()
	c := &Client{cfg: cfg, view: newView(), peersByName: map[string]*controlPeer{}}
	c.random = splitMix64(fnvOffset.addString(cfg.Name).addUint64(cfg.Seed).addUint64(cfg.Incarnation).finalize())
	for _, o := range cfg.ControlMembers {
		if c.peersByName[o.Name] == nil && o.Name != cfg.Name {
			kept := &controlPeer{name: o.Name, zone: o.Zone}
			c.peers = append(c.peers, kept)
			c.peersByName[o.Name] = kept
		}
	}
	slices.SortFunc(c.peers, func(a, b *controlPeer) int { return cmp.Compare(a.name, b.name) })
	return c
}

// advanceClock lets time pass. A call that comes much later than due says that this process was stopped: what was not heard meanwhile
// says nothing of the control members, and the view is as old as the gap says until it is confirmed.
func (c *Client) advanceClock(now monotime.Micros) {
	if !c.started {
		c.started, c.startedAt, c.now = true, now, now
		c.assignPreferred()
	}
	if gap := now - c.tickDeadline; c.tickDeadline != 0 && gap > c.cfg.PauseThreshold {
		c.Counters.Pauses++
		for _, o := range c.peers {
			o.lastSeen, o.dialedAt = o.lastSeen+gap, o.dialedAt+gap
		}
	}
	c.now = max(c.now, now)
}

// updateTickDeadline notes when the next call is due.
func (c *Client) updateTickDeadline() { c.tickDeadline = c.Next() }

// Tick lets time pass. It is to be called no later than Next says, and may be called more often.
func (c *Client) Tick(now monotime.Micros) {
	c.advanceClock(now)
	defer c.updateTickDeadline()
	c.updateSlots()
	c.chooseHome()
	c.sendDueHeartbeats()
}

// sendDueHeartbeats sends the heartbeats that are due.
func (c *Client) sendDueHeartbeats() {
	for _, o := range c.targetPeers() {
		if o.linked && c.now >= o.nextHeartbeat {
			c.sendHeartbeat(o)
			o.nextHeartbeat = c.now + c.cfg.HeartbeatInterval
		}
	}
}

// Next is when Tick has something to do.
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
	for _, o := range c.targetPeers() {
		if o.linked {
			next = min(next, o.nextHeartbeat)
		}
		for _, span := range []monotime.Micros{c.cfg.SuspectAfter, c.cfg.DeadAfter} {
			if at := max(o.lastSeen, o.dialedAt) + span; at > c.now {
				next = min(next, at)
			}
		}
	}
	return max(next, c.now)
}

// LinkOpened says that a link to that process of a control member is open.
func (c *Client) LinkOpened(now monotime.Micros, control string, incarnation uint64) {
	c.advanceClock(now)
	defer c.updateTickDeadline()
	o := c.peersByName[control]
	if o == nil {
		return
	}
	if o.incarnation != incarnation {
		o.clock, o.lastAnswer = clockOffset{}, answerState{}
	}
	o.linked, o.responded, o.incarnation, o.leaving, o.viewBehind = true, false, incarnation, false, false
	o.lastSeen, o.stableSince, o.nextHeartbeat = c.now, c.now, c.now
	c.chooseHome()
	c.sendDueHeartbeats()
	// The next ones of front ends that started together are spread over the span.
	o.nextHeartbeat = c.now + c.cfg.HeartbeatInterval/2 + c.random.between(0, c.cfg.HeartbeatInterval/2)
}

// LinkClosed says that the link to a control member is closed, or could not be opened. One that closes the link before it has sent
// anything doesn't take this front end, and is as good as not reached.
func (c *Client) LinkClosed(now monotime.Micros, control string) {
	c.advanceClock(now)
	defer c.updateTickDeadline()
	o := c.peersByName[control]
	if o == nil {
		return
	}
	if slices.Contains(c.targetPeers(), o) {
		c.loseLink(o, !o.linked || !o.responded)
	}
	o.linked = false
	c.chooseHome()
	c.sendDueHeartbeats()
}

// isResponsive says whether a control member was heard of late.
func (c *Client) isResponsive(o *controlPeer) bool {
	return o != nil && o.linked && !o.leaving && c.now-o.lastSeen < c.cfg.SuspectAfter
}

// chooseHome takes the view from the first slot, and from the second at once where the first is lost.
func (c *Client) chooseHome() {
	first, second := c.slots[0].current, c.slots[1].current
	held := c.home != nil && c.home.linked && (c.home == first || c.home == second)
	switch {
	case c.isResponsive(first) && (c.home == first || !held || !c.isResponsive(c.home) || c.shouldFailBack(first)):
		c.setHome(first)
	case held && c.isResponsive(c.home):
	case !held && c.awaitsFirstLink():
		c.setHome(nil)
	case c.isResponsive(second):
		c.setHome(second)
	case !held:
		c.setHome(nil)
	}
}

// shouldFailBack says whether the view is to be taken from the first slot again. A replacement does not get it back: one change of home
// less is told to the whole fleet.
func (c *Client) shouldFailBack(first *controlPeer) bool {
	return first == c.slots[0].preferred && c.now-first.stableSince >= homeFailbackDelay
}

// awaitsFirstLink says whether the first slot may yet get its first link.
func (c *Client) awaitsFirstLink() bool {
	preferred := c.slots[0].preferred
	return c.now-c.startedAt < firstLinkTimeout && preferred != nil && preferred.dialFailures == 0 && c.epoch == 0
}

func (c *Client) setHome(o *controlPeer) {
	if c.home == o {
		return
	}
	if c.home != nil {
		c.home.nextHeartbeat = c.now
	}
	c.home = o
	c.digestFailures, c.needsSnapshot, c.conflictSince = 0, false, 0
	c.Counters.HomeChanges++
	if o != nil {
		o.nextHeartbeat = c.now
	}
}

// Home is the control member that serves this front end's view and forwards for it; empty without one.
func (c *Client) Home() string {
	if c.home == nil {
		return ""
	}
	return c.home.name
}

// View is the view as last received. It changes with the calls above.
func (c *Client) View() *View { return c.view }

// Leave says that this front end ends as planned, which the next heartbeats tell.
func (c *Client) Leave() {
	if c.leaving {
		return
	}
	c.leaving = true
	for _, o := range c.targetPeers() {
		if o.linked {
			c.sendHeartbeat(o)
		}
	}
}

func (c *Client) sendHeartbeat(o *controlPeer) {
	h := heartbeat{name: c.cfg.Name, sentAt: c.now, leaving: c.leaving, subscribe: o == c.home}
	if h.subscribe {
		c.describeView(o, &h)
	}
	c.Counters.Heartbeats++
	if len(c.actions) < maxQueuedMessages {
		c.actions = append(c.actions, Message{To: o.name, Kind: Heartbeat, Body: h.encode()})
	}
}

// describeView says how far the view is, and what is needed to follow the home.
func (c *Client) describeView(o *controlPeer, h *heartbeat) {
	h.resume = o.viewBehind || o.needsBucketDigests || c.epoch != o.incarnation
	switch {
	case c.needsSnapshot:
		h.resume = true
	case c.epoch == o.incarnation && !o.needsBucketDigests:
		h.epoch, h.sequence, h.digest = c.epoch, c.sequence, c.view.Digest()
	case c.view.Len() > 0:
		h.digest = c.view.Digest()
		h.bucketDigests = make([]uint32, bucketCount)
		for i := range h.bucketDigests {
			h.bucketDigests[i] = uint32(c.view.bucketDigests[i])
		}
	}
}

// Actions gives what is to be sent, and forgets it.
func (c *Client) Actions() []Message {
	list := c.actions
	c.actions = nil
	return list
}

// Receive takes a message of a control member; after an error the link is to be closed.
func (c *Client) Receive(now monotime.Micros, control string, incarnation uint64, kind Kind, body []byte) error {
	c.advanceClock(now)
	defer c.updateTickDeadline()
	o := c.peersByName[control]
	if o == nil {
		c.Counters.UnknownHomes++
		return fmt.Errorf("%w: %q", ErrUnknownHome, control)
	}
	if kind != ViewUpdate {
		c.Counters.Malformed++
		return fmt.Errorf("%w: %s", ErrUnexpectedKind, kind)
	}
	m, err := decodeViewMessage(body)
	if err != nil {
		c.Counters.Malformed++
		return err
	}
	if o.linked && incarnation != o.incarnation || m.epoch != incarnation {
		c.Counters.StaleEpochs++
		return nil
	}
	if !o.linked {
		return nil // given up
	}
	if c.now-o.lastSeen >= c.cfg.SuspectAfter {
		o.stableSince = c.now
	}
	o.responded, o.lastSeen, o.dialFailures = true, c.now, 0
	o.clock.observe(c.now, m.sentAt)
	if m.leaving && !o.leaving {
		o.leaving = true
		c.chooseHome()
		c.sendDueHeartbeats()
	}
	if o != c.home {
		return nil
	}
	return c.receiveUpdate(o, &m)
}

// receiveUpdate takes what the home says of the view.
func (c *Client) receiveUpdate(o *controlPeer, m *viewMessage) error {
	switch m.content {
	case changesSince:
		return c.receiveChanges(o, m)
	case fullBuckets:
		return c.receiveBuckets(o, m)
	}
	if !m.isAnswer {
		return nil
	}
	if m.needsBucketDigests {
		o.needsBucketDigests = true
		c.requestMissing(o)
		return nil
	}
	c.receiveAnswer(o, m)
	return nil
}

// receiveAnswer takes the answer to a heartbeat: the view is confirmed, or behind, which the next heartbeat tells.
func (c *Client) receiveAnswer(o *controlPeer, m *viewMessage) {
	if m.heartbeatSentAt <= c.now {
		o.lastAnswer = answerState{true, m.sequence, m.heartbeatSentAt}
	}
	if c.epoch != o.incarnation || m.sequence < c.sequence {
		return
	}
	same := m.sequence == c.sequence
	if same && m.digest == c.view.Digest() {
		o.viewBehind, o.needsBucketDigests, c.digestFailures, c.needsSnapshot = false, false, 0, false
		c.confirmView(o)
		c.resolveConflicts()
		return
	}
	o.viewBehind = true
	if same {
		c.Counters.DigestMismatches++
		o.needsBucketDigests = true
	}
}

// confirmView notes that the view is as far as an answer said.
func (c *Client) confirmView(o *controlPeer) {
	if o.lastAnswer.received && c.sequence >= o.lastAnswer.sequence {
		c.view.confirm(o.lastAnswer.heartbeatSentAt)
	}
}

// resolveConflicts takes a home's word in the end where it goes on showing a process alive which this view has had replaced.
func (c *Client) resolveConflicts() {
	if c.view.hasConflict && !c.view.resolveConflicts(c.conflictSince != 0 && c.now-c.conflictSince >= conflictTimeout) {
		c.conflictSince = 0
	}
	if c.view.hasConflict && c.conflictSince == 0 {
		c.conflictSince = c.now
	}
}

// requestMissing asks for what is missing without waiting for the next heartbeat, at a bounded rate.
func (c *Client) requestMissing(o *controlPeer) {
	if c.now-o.lastResume < minResumeInterval {
		return
	}
	o.lastResume = c.now
	c.sendHeartbeat(o)
}

func (c *Client) receiveChanges(o *controlPeer, m *viewMessage) error {
	switch {
	case c.epoch != o.incarnation || m.sequence <= c.sequence:
		return nil
	case m.baseSequence > c.sequence:
		c.Counters.Gaps++
		o.viewBehind = true
		c.requestMissing(o)
		return nil
	}
	changes, err := c.decodeEntries(o, m)
	if err != nil {
		return err
	}
	return c.applyUpdate(o, m, changes, false)
}

func (c *Client) receiveBuckets(o *controlPeer, m *viewMessage) error {
	if c.epoch == o.incarnation && m.sequence < c.sequence {
		return nil
	}
	entries, err := c.decodeEntries(o, m)
	if err != nil {
		return err
	}
	for i := range entries {
		if entries[i].removed || m.bucketMask&(1<<bucketOf(entries[i].Name)) == 0 {
			c.Counters.Malformed++
			return fmt.Errorf("%w: %q is not of the parts told", ErrMalformed, entries[i].Name)
		}
	}
	whole := m.bucketMask == allBuckets
	if whole {
		c.Counters.Snapshots++
		c.Counters.SnapshotBytes += len(m.entries)
	} else {
		c.Counters.DigestRepairs++
		c.Counters.RepairBytes += len(m.entries)
	}
	return c.applyUpdate(o, m, c.view.changesTo(m.bucketMask, entries), whole)
}

// decodeEntries reads and checks what a message carries.
func (c *Client) decodeEntries(o *controlPeer, m *viewMessage) ([]change, error) {
	b := m.entries
	var err error
	if m.compressed {
		b, err = c.decompressor.decompress(b, c.cfg.MaxEntries*maxEntrySize)
	}
	var list []change
	if err == nil {
		list, err = decodeChanges(&o.clock, b, c.cfg.MaxEntries)
	}
	if err == nil {
		for i := range list {
			if !list[i].removed && c.peersByName[list[i].Home] == nil {
				c.Counters.UnknownHomes++
				return nil, fmt.Errorf("%w: %q", ErrUnknownHome, list[i].Home)
			}
		}
		return list, nil
	}
	if isTooManyEntries(err) {
		c.Counters.Oversized++
	} else {
		c.Counters.Malformed++
	}
	return nil, err
}

// applyUpdate applies changes where the view then has the digest that was told; else it stays as it is, and the rest is asked for.
func (c *Client) applyUpdate(o *controlPeer, m *viewMessage, changes []change, whole bool) error {
	if c.view.lenAfter(changes) > c.cfg.MaxEntries {
		c.Counters.Oversized++
		return ErrTooManyEntries
	}
	if c.view.digestAfter(changes) != m.digest {
		return c.requestRepair(o, m, whole)
	}
	from := fromHomeChanges
	if m.content == fullBuckets {
		from = fromHomeBuckets
	}
	c.view.apply(changes, from)
	c.Counters.Changes += len(changes)
	if m.content == changesSince {
		c.Counters.Pushes++
		c.Counters.PushBytes += len(m.entries)
	}
	c.epoch, c.sequence = o.incarnation, m.sequence
	o.viewBehind, o.needsBucketDigests, c.needsSnapshot = false, false, false
	c.confirmView(o)
	return nil
}

// requestRepair asks for the parts that differ, and for the whole view where that did not help.
func (c *Client) requestRepair(o *controlPeer, m *viewMessage, whole bool) error {
	c.Counters.DigestMismatches++
	c.digestFailures++
	if whole || c.digestFailures > maxDigestFailures {
		c.Counters.Malformed++
		return fmt.Errorf("%w: what %q sends", ErrDigestMismatch, o.name)
	}
	c.needsSnapshot = m.content == fullBuckets
	o.needsBucketDigests = true
	c.requestMissing(o)
	return nil
}
