package membership

import (
	"fmt"

	"chutechute/internal/monotime"
)

const (
	// minResumeInterval is between two requests of what is missing, beside the regular heartbeats.
	minResumeInterval = 300 * monotime.Millisecond
	// conflictTimeout is for how long a home has to show a process alive before that counts more than that another home
	// reported a later one. It is longer than the evidence of any absent home.
	conflictTimeout = 30 * monotime.Second
	// maxDigestFailures is how many updates in a row may have a digest that does not agree before the link is closed.
	maxDigestFailures = 6
)

// Receive takes a message of a control member. Its errors wrap ErrUnknownHome, ErrUnexpectedKind, ErrMalformed,
// ErrTooManyEntries or ErrDigestMismatch; the link is to be closed.
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
		return nil // it was given up
	}
	c.recordSeen(p, &m)
	if p != c.home {
		return nil
	}
	return c.receiveUpdate(p, &m)
}

// recordSeen records a sign of life of a control member, and whether it leaves.
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

// receiveUpdate takes what the home sends about the view.
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

// receiveAnswer takes the answer to a heartbeat: the view is confirmed, or it is behind, which the next heartbeat says.
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

// confirmView confirms the view if it is as far as the last answer said.
func (c *Client) confirmView(p *controlPeer) {
	if p.lastAnswer.received && c.sequence >= p.lastAnswer.sequence {
		c.view.confirm(p.lastAnswer.heartbeatSentAt)
	}
}

// resolveConflicts accepts a home's report in the end if it continues to show a process alive that is superseded in
// this view.
func (c *Client) resolveConflicts() {
	if !c.view.hasConflict {
		return
	}
	lastedLong := c.conflictSince != 0 && c.now-c.conflictSince >= conflictTimeout
	switch left := c.view.resolveConflicts(lastedLong); {
	case !left:
		c.conflictSince = 0
	case c.conflictSince == 0:
		c.conflictSince = c.now
	}
}

// requestMissing requests what is missing without waiting for the next heartbeat, at a limited rate.
func (c *Client) requestMissing(p *controlPeer) {
	if c.now-p.lastResume < minResumeInterval {
		return
	}
	p.lastResume = c.now
	c.sendHeartbeat(p)
}

// receiveChanges takes changes, if they follow on the view's sequence.
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

// receiveBuckets takes full buckets: a repair, or a snapshot of all.
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
			return fmt.Errorf("%w: %q is not in the message's buckets", ErrMalformed, entries[i].Name)
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

// decodeEntries decodes and checks the entries that a message carries.
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

// applyUpdate applies changes if the view then has the message's digest; else the view stays as it is, and a repair is
// requested.
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

// requestRepair requests the buckets that differ, and a snapshot if buckets did not help.
func (c *Client) requestRepair(p *controlPeer, m *viewMessage) error {
	c.Counters.DigestMismatches++
	c.digestFailures++
	if m.isSnapshot() || c.digestFailures > maxDigestFailures {
		c.Counters.Malformed++
		return fmt.Errorf("%w: updates of %q", ErrDigestMismatch, p.name)
	}
	c.needsSnapshot = m.content == fullBuckets
	p.needsBucketDigests = true
	c.requestMissing(p)
	return nil
}
