package membership

import (
	"fmt"
	"math/bits"

	"chutechute/internal/monotime"
)

const (
	// maxConsecutiveRepairs is the number of repairs that a subscriber gets while its view never matches. Instead of a
	// further one, its link is closed.
	maxConsecutiveRepairs = 6
	// snapshotThreshold is the number of differing buckets from which a snapshot, which all subscribers share, is
	// cheaper than the buckets.
	snapshotThreshold = 40
)

// subscriptionState is the state of an attached front end's subscription to this control member's view.
type subscriptionState uint8

// The states of a subscription.
const (
	unsubscribed subscriptionState = iota
	lagging                        // it has missed batches, or is not known to have all of them
	streaming                      // it has been sent all batches so far, and is sent each new one
)

// subscription is the state of an attached front end as a subscriber to the view.
type subscription struct {
	state              subscriptionState
	consecutiveRepairs int             // repairs since its view last matched
	repairDue          monotime.Micros // state of repairRateLimit
	catchUpDue         monotime.Micros // state of catchUpRateLimit
}

// isActive reports whether the front end subscribes to the view.
func (s *subscription) isActive() bool { return s.state != unsubscribed }

// interrupt records that the front end may have missed a batch.
func (s *subscription) interrupt() {
	if s.state == streaming {
		s.state = lagging
	}
}

// publishView applies the changes of the merged view as one batch and pushes it to the subscribers that have all
// earlier batches.
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
		if l.subscription.state == streaming {
			s.Counters.Pushes++
			s.Counters.PushBytes += len(body)
			s.sendView(l, body, true)
		}
	}
}

// versionMessage returns a message with the version of the view and no entries.
func (s *Server) versionMessage() viewMessage {
	return viewMessage{
		epoch:    s.cfg.Incarnation,
		sequence: s.sequence,
		digest:   s.view.Digest(),
		leaving:  s.leaving,
		sentAt:   s.now,
	}
}

func (s *Server) changesMessage(baseSequence uint64, changes []change) []byte {
	m := s.versionMessage()
	m.content, m.baseSequence = changesSince, baseSequence
	m.entries, m.compressed = s.compressor.compress(encodeChanges(changes))
	return m.encode()
}

func (s *Server) bucketsMessage(mask uint64) []byte {
	m := s.versionMessage()
	m.content, m.bucketMask = fullBuckets, mask
	m.entries, m.compressed = s.compressor.compress(encodeChanges(s.view.entriesIn(mask)))
	return m.encode()
}

// snapshotMessage returns a snapshot of the current view, which is encoded once for all subscribers.
func (s *Server) snapshotMessage() []byte {
	if s.snapshot == nil {
		s.snapshot = s.bucketsMessage(allBuckets)
	}
	return s.snapshot
}

// Receive handles a message from an attached front end. Its errors wrap ErrUnexpectedKind, ErrMalformed,
// ErrNameMismatch, ErrSuperseded, ErrTooManyEntries or ErrDigestMismatch; the caller must then close the link.
func (s *Server) Receive(now monotime.Micros, link Link, kind Kind, body []byte) error {
	s.advanceClock(now)
	if kind != Heartbeat {
		return s.Counters.unexpectedKind(kind)
	}
	h, err := decodeHeartbeat(body)
	if err != nil {
		s.Counters.Malformed++
		return err
	}
	if h.name != link.From {
		s.Counters.NameMismatches++
		return fmt.Errorf("%w: heartbeat of %q over the link of %q", ErrNameMismatch, h.name, link.From)
	}
	l, err := s.renewLease(link)
	if err != nil {
		return err
	}
	s.Counters.Heartbeats++
	l.leaving = l.leaving || h.leaving
	s.setSubscribed(l, h.subscribe)
	return s.answer(l, &h)
}

// setSubscribed records whether a front end subscribes to the view.
func (s *Server) setSubscribed(l *lease, subscribed bool) {
	if l.subscription.isActive() == subscribed {
		return
	}
	l.subscription.state = unsubscribed
	if subscribed {
		l.subscription.state = lagging
	}
	s.markLeaseDirty(l)
}

// answer answers a heartbeat with the version of the view, and sends a subscriber what its view lacks.
func (s *Server) answer(l *lease, h *heartbeat) error {
	answer := s.versionMessage()
	answer.isAnswer, answer.heartbeatSentAt = true, h.sentAt
	agrees := s.isKnownVersion(h)
	if agrees {
		l.subscription.consecutiveRepairs = 0
	}
	var update []byte
	if h.subscribe {
		var err error
		update, answer.needsBucketDigests, err = s.missingUpdate(l, h, agrees)
		if err != nil {
			return err
		}
	}
	s.sendView(l, answer.encode(), false)
	if update != nil {
		s.sendView(l, update, true)
	}
	return nil
}

// isKnownVersion reports whether a front end's view is the current or an earlier version of the view here, as far back
// as the log reaches.
func (s *Server) isKnownVersion(h *heartbeat) bool {
	digest, ok := s.log.digestAt(h.sequence)
	return ok && h.epoch == s.cfg.Incarnation && digest == h.digest
}

// missingUpdate returns the message that brings a subscriber up to date: none, changes from the log, or the buckets
// that differ. needsDigests is set if the subscriber has to send its bucket digests first.
func (s *Server) missingUpdate(l *lease, h *heartbeat, agrees bool) (body []byte, needsDigests bool, err error) {
	switch {
	case agrees && h.sequence == s.sequence:
		l.subscription.state = streaming
		return nil, false, nil
	case l.subscription.state == streaming && !h.resume:
		return nil, false, nil // the missing batches have been sent already
	case agrees:
		return s.catchUp(l, h), false, nil
	case h.bucketDigests == nil && h.digest != 0:
		l.subscription.state = lagging
		return nil, true, nil
	}
	body, err = s.repairView(l, h)
	return body, false, err
}

// catchUp returns the changes since the subscriber's version, from the log. Its rate is limited.
func (s *Server) catchUp(l *lease, h *heartbeat) []byte {
	if !catchUpRateLimit.allow(s.now, &l.subscription.catchUpDue) {
		s.Counters.RateLimited++
		return nil
	}
	names, _ := s.log.changedSince(h.sequence)
	l.subscription.state = streaming
	s.Counters.CatchUps++
	return s.changesMessage(h.sequence, s.view.changesOf(names))
}

// repairView returns the buckets whose digests differ, or a snapshot if they are many. Its rate is limited.
func (s *Server) repairView(l *lease, h *heartbeat) (body []byte, err error) {
	mask := s.differingBuckets(h)
	snapshot := bits.OnesCount64(mask) >= snapshotThreshold
	if snapshot && !snapshotRateLimit.allows(s.now, l.snapshotDue) ||
		!repairRateLimit.allow(s.now, &l.subscription.repairDue) {
		s.Counters.RateLimited++
		return nil, nil
	}
	if l.subscription.consecutiveRepairs++; l.subscription.consecutiveRepairs > maxConsecutiveRepairs {
		l.subscription.consecutiveRepairs = 0 // the count starts again on its next link; the rate stays limited
		return nil, fmt.Errorf("%w: after %d repairs of %q", ErrDigestMismatch, maxConsecutiveRepairs, l.name)
	}
	l.subscription.state = streaming
	if !snapshot {
		body = s.bucketsMessage(mask)
		s.Counters.DigestRepairs++
		s.Counters.RepairBytes += len(body)
		return body, nil
	}
	body = s.snapshotMessage()
	snapshotRateLimit.record(s.now, len(body), &l.snapshotDue)
	s.Counters.Snapshots++
	s.Counters.SnapshotBytes += len(body)
	return body, nil
}

// differingBuckets returns the mask of the buckets whose digests differ from those of the view here. It is all buckets
// if the heartbeat has no bucket digests, and 0 if the views are the same.
func (s *Server) differingBuckets(h *heartbeat) (mask uint64) {
	if h.bucketDigests == nil {
		return allBuckets
	}
	for i, digest := range h.bucketDigests {
		if digest != uint32(s.view.bucketDigests[i]) {
			mask |= 1 << i
		}
	}
	if mask == 0 && h.digest != s.view.Digest() {
		return allBuckets // some bucket differs only in bits above the 32 that are sent
	}
	return mask
}

// QueueFull records that the send queue of the link to a process was full. The caller must drop what is queued there;
// the process resumes with its next heartbeat.
func (s *Server) QueueFull(now monotime.Micros, name string, incarnation uint64) {
	s.advanceClock(now)
	s.Counters.FullQueues++
	if l := s.leasesByName[name]; l != nil && l.incarnation == incarnation {
		l.subscription.interrupt()
	}
}
