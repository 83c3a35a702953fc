package membership

import (
	"fmt"

	"chutechute/internal/monotime"
)

const (
	// minResumeInterval is the least time between two requests for missing updates that are sent in addition to the
	// regular heartbeats.
	minResumeInterval = 300 * monotime.Millisecond
	// conflictTimeout is how long a home must show a superseded process before a client accepts that it is alive,
	// although another home reported a later one. It is longer than the evidence of any absent home lasts.
	conflictTimeout = 30 * monotime.Second
	// maxDigestFailures is how many consecutive updates may fail the digest check before the link is closed.
	maxDigestFailures = 6
)

// Receive handles a message from a control member. Its errors wrap ErrUnknownHome, ErrUnexpectedKind, ErrMalformed,
// ErrTooManyEntries or ErrDigestMismatch; the caller must then close the link.
func (c *Client) Receive(now monotime.Micros, control string, incarnation uint64, kind Kind, body []byte) error {
	c.advanceClock(now)
	defer c.updateTickDeadline()
	p := c.peersByName[control]
	if p == nil {
		return c.Counters.unknownHome(control)
	}
	if kind != ViewUpdate {
		return c.Counters.unexpectedKind(kind)
	}
	m, err := decodeViewMessage(body)
	if err != nil {
		c.Counters.Malformed++
		return err
	}
	if p.linked && incarnation != p.incarnation || m.epoch != incarnation {
		c.Counters.StaleEpochs++
		return nil
	}
	if !p.linked {
		return nil // its link has been closed or dropped
	}
	c.recordSeen(p, &m)
	if p != c.home {
		return nil
	}
	return c.receiveUpdate(p, &m)
}

// recordSeen records that a control member has sent a message, and whether it is leaving.
func (c *Client) recordSeen(p *controlPeer, m *viewMessage) {
	if c.now-p.lastSeen >= c.cfg.SuspectAfter {
		p.stableSince = c.now
	}
	p.responded, p.lastSeen, p.dialFailures = true, c.now, 0
	p.clock.observe(c.now, m.sentAt)
	if m.leaving && !p.leaving {
		p.leaving = true
		c.chooseHome()
		c.sendDueHeartbeats()
	}
}

// receiveUpdate handles a message about the view from the home.
func (c *Client) receiveUpdate(p *controlPeer, m *viewMessage) error {
	switch m.content {
	case changesSince:
		return c.receiveChanges(p, m)
	case fullBuckets:
		return c.receiveBuckets(p, m)
	}
	if !m.isAnswer {
		return nil
	}
	if m.needsBucketDigests {
		p.needsBucketDigests = true
		c.requestMissing(p)
		return nil
	}
	c.receiveAnswer(p, m)
	return nil
}

// receiveAnswer handles the answer to a heartbeat. The answer confirms the view, or shows that the view is behind,
// which the next heartbeat reports.
func (c *Client) receiveAnswer(p *controlPeer, m *viewMessage) {
	if m.heartbeatSentAt <= c.now {
		p.lastAnswer = answerState{received: true, sequence: m.sequence, heartbeatSentAt: m.heartbeatSentAt}
	}
	if c.epoch != p.incarnation || m.sequence < c.sequence {
		return
	}
	sameSequence := m.sequence == c.sequence
	if sameSequence && m.digest == c.view.Digest() {
		p.viewBehind, p.needsBucketDigests = false, false
		c.digestFailures, c.needsSnapshot = 0, false
		c.confirmView(p)
		c.resolveConflicts()
		return
	}
	p.viewBehind = true
	if sameSequence {
		c.Counters.DigestMismatches++
		p.needsBucketDigests = true
	}
}

// confirmView confirms the view if it has reached the sequence of the last answer.
func (c *Client) confirmView(p *controlPeer) {
	if p.lastAnswer.received && c.sequence >= p.lastAnswer.sequence {
		c.view.confirm(p.lastAnswer.heartbeatSentAt)
	}
}

// resolveConflicts accepts the home's report if it has shown superseded processes for conflictTimeout.
func (c *Client) resolveConflicts() {
	if !c.view.hasConflict {
		return
	}
	timedOut := c.conflictSince != 0 && c.now-c.conflictSince >= conflictTimeout
	switch remaining := c.view.resolveConflicts(timedOut); {
	case !remaining:
		c.conflictSince = 0
	case c.conflictSince == 0:
		c.conflictSince = c.now
	}
}

// requestMissing requests missing updates by a heartbeat that is sent at once. Its rate is limited.
func (c *Client) requestMissing(p *controlPeer) {
	if c.now-p.lastResume < minResumeInterval {
		return
	}
	p.lastResume = c.now
	c.sendHeartbeat(p)
}

// receiveChanges applies changes that reach back to the view's sequence. After a gap it requests the missing updates.
func (c *Client) receiveChanges(p *controlPeer, m *viewMessage) error {
	switch {
	case c.epoch != p.incarnation || m.sequence <= c.sequence:
		return nil
	case m.baseSequence > c.sequence:
		c.Counters.Gaps++
		p.viewBehind = true
		c.requestMissing(p)
		return nil
	}
	changes, err := c.decodeEntries(p, m)
	if err != nil {
		return err
	}
	return c.applyUpdate(p, m, changes)
}

// receiveBuckets applies full buckets: a repair of some, or a snapshot of all.
func (c *Client) receiveBuckets(p *controlPeer, m *viewMessage) error {
	if c.epoch == p.incarnation && m.sequence < c.sequence {
		return nil
	}
	entries, err := c.decodeEntries(p, m)
	if err != nil {
		return err
	}
	for i := range entries {
		if entries[i].removed || m.bucketMask&(1<<bucketOf(entries[i].Name)) == 0 {
			c.Counters.Malformed++
			return fmt.Errorf("%w: view entry %q outside the buckets of the message", ErrMalformed, entries[i].Name)
		}
	}
	if m.isSnapshot() {
		c.Counters.Snapshots++
		c.Counters.SnapshotBytes += len(m.entries)
	} else {
		c.Counters.DigestRepairs++
		c.Counters.RepairBytes += len(m.entries)
	}
	return c.applyUpdate(p, m, c.view.changesTo(m.bucketMask, entries))
}

// decodeEntries decodes and validates the entries of a message.
func (c *Client) decodeEntries(p *controlPeer, m *viewMessage) ([]change, error) {
	changes, err := c.decompressEntries(p, m)
	if err != nil {
		c.Counters.countInvalid(err)
		return nil, err
	}
	for i := range changes {
		if !changes[i].removed && c.peersByName[changes[i].Home] == nil {
			return nil, c.Counters.unknownHome(changes[i].Home)
		}
	}
	return changes, nil
}

func (c *Client) decompressEntries(p *controlPeer, m *viewMessage) ([]change, error) {
	encoded := m.entries
	if m.compressed {
		var err error
		encoded, err = c.decompressor.decompress(encoded, c.cfg.MaxEntries*maxEntrySize)
		if err != nil {
			return nil, err
		}
	}
	return decodeChanges(&p.clock, encoded, c.cfg.MaxEntries)
}

// applyUpdate applies changes if the resulting view has the message's digest. Otherwise the view stays as it is and a
// repair is requested.
func (c *Client) applyUpdate(p *controlPeer, m *viewMessage, changes []change) error {
	if c.view.lenAfter(changes) > c.cfg.MaxEntries {
		c.Counters.Oversized++
		return ErrTooManyEntries
	}
	if c.view.digestAfter(changes) != m.digest {
		return c.requestRepair(p, m)
	}
	source := fromHomeChanges
	if m.content == fullBuckets {
		source = fromHomeBuckets
	}
	c.view.apply(changes, source)
	c.Counters.Changes += len(changes)
	if m.content == changesSince {
		c.Counters.Pushes++
		c.Counters.PushBytes += len(m.entries)
	}
	c.epoch, c.sequence = p.incarnation, m.sequence
	p.viewBehind, p.needsBucketDigests, c.needsSnapshot = false, false, false
	c.confirmView(p)
	return nil
}

// requestRepair requests the buckets that differ, or a snapshot if an update by buckets failed the digest check.
func (c *Client) requestRepair(p *controlPeer, m *viewMessage) error {
	c.Counters.DigestMismatches++
	c.digestFailures++
	if m.isSnapshot() || c.digestFailures > maxDigestFailures {
		c.Counters.Malformed++
		return fmt.Errorf("%w: updates from %q", ErrDigestMismatch, p.name)
	}
	c.needsSnapshot = m.content == fullBuckets
	p.needsBucketDigests = true
	c.requestMissing(p)
	return nil
}
