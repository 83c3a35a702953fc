package membership

import (
	"errors"
	"fmt"
	"math/bits"

	"chutechute/internal/monotime"
)

const (
	// maxRepairsInARow is how many repairs in a row a subscriber gets without ever agreeing; then its link is closed.
	maxRepairsInARow = 6
	// snapshotThreshold is how many differing parts make the shared snapshot of all cheaper.
	snapshotThreshold = 40
)

// subscription is what is known of an attached front end as a subscriber.
type subscription struct {
	active        bool
	streaming     bool            // it is sent each batch: all before were sent
	repairsInARow int             // since it last agreed
	repairDue     monotime.Micros // state of their bounded rate
	catchUpDue    monotime.Micros // state of the bounded rate of changes from the log
}

// publishView makes one batch of what changed in the merged view, and pushes it to those that follow.
func (s *Server) publishView() {
	changes := s.mergeDirtyNames()
	if len(changes) == 0 {
		return
	}
	s.view.apply(changes, fromMerge)
	s.snapshot = nil
	s.sequence++
	names := make([]string, len(changes))
	for i := range changes {
		names[i] = changes[i].Name
	}
	s.log.add(names, s.view.Digest())
	s.Counters.Changes += len(changes)
	body := s.changesMessage(s.sequence-1, changes)
	for _, l := range s.leases {
		if l.subscription.streaming && l.subscription.active {
			s.Counters.Pushes++
			s.Counters.PushBytes += len(body)
			s.send(Message{To: l.name, Incarnation: l.incarnation, Kind: ViewUpdate, Bulk: true, Body: body})
		}
	}
}

func (s *Server) changesMessage(base uint64, changes []change) []byte {
	m := s.versionMessage()
	m.content, m.baseSequence = changesSince, base
	m.entries, m.compressed = s.compressor.compress(encodeChanges(changes))
	return m.encode()
}

func (s *Server) versionMessage() viewMessage {
	return viewMessage{epoch: s.cfg.Incarnation, sequence: s.sequence, digest: s.view.Digest(), leaving: s.leaving, sentAt: s.now}
}

// Receive takes a message of an attached front end; after an error the link is to be closed.
func (s *Server) Receive(now monotime.Micros, l Link, kind Kind, body []byte) error {
	s.advanceClock(now)
	if kind != Heartbeat {
		s.Counters.Malformed++
		return fmt.Errorf("%w: %s", ErrUnexpectedKind, kind)
	}
	h, err := decodeHeartbeat(body)
	if err != nil {
		s.Counters.Malformed++
		return err
	}
	if h.name != l.From {
		s.Counters.NameMismatches++
		return fmt.Errorf("%w: %q over the link of %q", ErrNameMismatch, h.name, l.From)
	}
	held, err := s.renewLease(l)
	if err != nil {
		return err
	}
	s.Counters.Heartbeats++
	held.leaving = held.leaving || h.leaving
	if held.subscription.active != h.subscribe {
		held.subscription.active, held.subscription.streaming = h.subscribe, false
		s.markLeaseDirty(held)
	}
	return s.answer(held, &h)
}

// answer says how far the view is here, and sends a subscriber what it lacks.
func (s *Server) answer(l *lease, h *heartbeat) error {
	answer := s.versionMessage()
	answer.isAnswer, answer.heartbeatSentAt = true, h.sentAt
	agrees := s.knowsView(h)
	if agrees {
		l.subscription.repairsInARow = 0
	}
	var more []byte
	var err error
	if h.subscribe {
		more, answer.needsBucketDigests, err = s.missingUpdate(l, h, agrees)
	}
	if err != nil {
		return err
	}
	s.send(Message{To: l.name, Incarnation: l.incarnation, Kind: ViewUpdate, Body: answer.encode()})
	if more != nil {
		s.send(Message{To: l.name, Incarnation: l.incarnation, Kind: ViewUpdate, Bulk: true, Body: more})
	}
	return nil
}

// knowsView says whether a front end's view is one that this control member has had, as far back as the log reaches.
func (s *Server) knowsView(h *heartbeat) bool {
	digest, ok := s.log.digestAt(h.sequence)
	return ok && h.epoch == s.cfg.Incarnation && digest == h.digest
}

// missingUpdate is what a subscriber lacks: nothing, changes from the log, or the parts that differ. unknown says that it has to tell
// its sums first.
func (s *Server) missingUpdate(l *lease, h *heartbeat, agrees bool) (body []byte, unknown bool, err error) {
	switch {
	case agrees && h.sequence == s.sequence:
		l.subscription.streaming = true
		return nil, false, nil
	case l.subscription.streaming && !h.resume:
		return nil, false, nil // it is on its way
	case agrees:
		return s.catchUp(l, h), false, nil
	case h.bucketDigests == nil && h.digest != 0:
		l.subscription.streaming = false
		return nil, true, nil
	}
	return s.repairView(l, h)
}

func (s *Server) catchUp(l *lease, h *heartbeat) []byte {
	if !catchUpRateLimit.allow(s.now, &l.subscription.catchUpDue) {
		s.Counters.RateLimited++
		return nil
	}
	names, _ := s.log.changedSince(h.sequence)
	changes := make([]change, 0, len(names))
	for _, name := range names {
		if e := s.view.byName[name]; e != nil {
			changes = append(changes, change{Entry: e.Entry, challengedAt: e.challengedAt})
			continue
		}
		changes = append(changes, change{Entry: Entry{Name: name}, removed: true})
	}
	l.subscription.streaming = true
	s.Counters.CatchUps++
	return s.changesMessage(h.sequence, changes)
}

// repairView sends the parts of the view whose sums differ, at a bounded rate.
func (s *Server) repairView(l *lease, h *heartbeat) (body []byte, unknown bool, err error) {
	mask := s.differingBuckets(h)
	whole := bits.OnesCount64(mask) >= snapshotThreshold
	if whole && !snapshotRateLimit.allows(s.now, l.snapshotDue) || !repairRateLimit.allow(s.now, &l.subscription.repairDue) {
		s.Counters.RateLimited++
		return nil, false, nil
	}
	if l.subscription.repairsInARow++; l.subscription.repairsInARow > maxRepairsInARow {
		l.subscription.repairsInARow = 0 // its next link begins anew; the rate stays bounded
		return nil, false, fmt.Errorf("%w: after %d repairs of %q", ErrDigestMismatch, maxRepairsInARow, l.name)
	}
	l.subscription.streaming = true
	if whole {
		body = s.snapshotMessage()
		snapshotRateLimit.record(s.now, len(body), &l.snapshotDue)
		s.Counters.Snapshots++
		s.Counters.SnapshotBytes += len(body)
		return body, false, nil
	}
	body = s.bucketsMessage(mask)
	s.Counters.DigestRepairs++
	s.Counters.RepairBytes += len(body)
	return body, false, nil
}

// differingBuckets is the parts whose sums are not those here; all for a view without any, none for the same view.
func (s *Server) differingBuckets(h *heartbeat) (mask uint64) {
	if h.bucketDigests == nil {
		return allBuckets
	}
	for i, sum := range h.bucketDigests {
		if sum != uint32(s.view.bucketDigests[i]) {
			mask |= 1 << i
		}
	}
	if mask == 0 && h.digest != s.view.Digest() {
		return allBuckets // they differ where 32 bits don't show it
	}
	return mask
}

// snapshotMessage is the snapshot of the view as it is, made once and shared.
func (s *Server) snapshotMessage() []byte {
	if s.snapshot == nil {
		s.snapshot = s.bucketsMessage(allBuckets)
	}
	return s.snapshot
}

func (s *Server) bucketsMessage(mask uint64) []byte {
	m := s.versionMessage()
	m.content, m.bucketMask = fullBuckets, mask
	m.entries, m.compressed = s.compressor.compress(encodeChanges(s.view.entriesIn(mask)))
	return m.encode()
}

// QueueFull says that the queue of the link to that process was full. What waits there is to be dropped; the process resumes by
// its next heartbeat.
func (s *Server) QueueFull(now monotime.Micros, name string, incarnation uint64) {
	s.advanceClock(now)
	s.Counters.FullQueues++
	if l := s.leasesByName[name]; l != nil && l.incarnation == incarnation {
		l.subscription.streaming = false
	}
}

func isTooManyEntries(err error) bool { return errors.Is(err, ErrTooManyEntries) }
