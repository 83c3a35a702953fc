package membership

import (
	"fmt"
	"math/bits"

	"chutechute/internal/monotime"
)

const (
	// maxRepairsInARow is how many repairs a subscriber gets without ever agreeing; then its link is closed.
	maxRepairsInARow = 6
	// snapshotThreshold is the number of differing buckets from which the shared snapshot of all is cheaper.
	snapshotThreshold = 40
)

// subscriptionState is whether an attached front end gets the view from here.
type subscriptionState uint8

// The states of a subscription.
const (
	unsubscribed subscriptionState = iota
	lagging                        // it has missed batches, or is not known to have all
	streaming                      // it is sent each batch, and was sent all before
)

// subscription is what is known of an attached front end as a subscriber to the view.
type subscription struct {
	state         subscriptionState
	repairsInARow int             // since its view last agreed
	repairDue     monotime.Micros // state of repairRateLimit
	catchUpDue    monotime.Micros // state of catchUpRateLimit
}

// isActive reports whether the front end subscribes to the view.
func (s *subscription) isActive() bool { return s.state != unsubscribed }

// interrupt notes that the front end may miss a batch.
func (s *subscription) interrupt() {
	if s.state == streaming {
		s.state = lagging
	}
}

// publishView makes one batch of what changed in the merged view, and pushes it to the subscribers that have all
// before.
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

// versionMessage returns a message of the view's version.
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

// snapshotMessage returns the snapshot of the view as it is, made once and shared.
func (s *Server) snapshotMessage() []byte {
	if s.snapshot == nil {
		s.snapshot = s.bucketsMessage(allBuckets)
	}
	return s.snapshot
}

// Receive takes a message of an attached front end. Its errors wrap ErrUnexpectedKind, ErrMalformed, ErrNameMismatch,
// ErrSuperseded, ErrTooManyEntries or ErrDigestMismatch; the link is to be closed.
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
		return fmt.Errorf("%w: %q over the link of %q", ErrNameMismatch, h.name, link.From)
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

// setSubscribed takes whether a front end subscribes to the view.
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

// answer sends the view's version, and to a subscriber what it lacks.
func (s *Server) answer(l *lease, h *heartbeat) error {
	answer := s.versionMessage()
	answer.isAnswer, answer.heartbeatSentAt = true, h.sentAt
	agrees := s.knowsView(h)
	if agrees {
		l.subscription.repairsInARow = 0
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

// knowsView reports whether a front end's view is one that this control member has had, as far back as the log reaches.
func (s *Server) knowsView(h *heartbeat) bool {
	digest, ok := s.log.digestAt(h.sequence)
	return ok && h.epoch == s.cfg.Incarnation && digest == h.digest
}

// missingUpdate returns what a subscriber lacks: nothing, changes from the log, or the buckets that differ.
// needsDigests is set if the subscriber has to send its bucket digests first.
func (s *Server) missingUpdate(l *lease, h *heartbeat, agrees bool) (body []byte, needsDigests bool, err error) {
	switch {
	case agrees && h.sequence == s.sequence:
		l.subscription.state = streaming
		return nil, false, nil
	case l.subscription.state == streaming && !h.resume:
		return nil, false, nil // what it lacks is on its way
	case agrees:
		return s.catchUp(l, h), false, nil
	case h.bucketDigests == nil && h.digest != 0:
		l.subscription.state = lagging
		return nil, true, nil
	}
	body, err = s.repairView(l, h)
	return body, false, err
}

// catchUp returns the changes since the subscriber's version from the log, at a limited rate.
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

// repairView returns the buckets of the view whose digests differ, at a limited rate.
func (s *Server) repairView(l *lease, h *heartbeat) (body []byte, err error) {
	mask := s.differingBuckets(h)
	snapshot := bits.OnesCount64(mask) >= snapshotThreshold
	if snapshot && !snapshotRateLimit.allows(s.now, l.snapshotDue) ||
		!repairRateLimit.allow(s.now, &l.subscription.repairDue) {
		s.Counters.RateLimited++
		return nil, nil
	}
	if l.subscription.repairsInARow++; l.subscription.repairsInARow > maxRepairsInARow {
		l.subscription.repairsInARow = 0 // its next link begins anew; the rate stays limited
		return nil, fmt.Errorf("%w: after %d repairs of %q", ErrDigestMismatch, maxRepairsInARow, l.name)
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

// differingBuckets returns the buckets whose digests are not those here; all if the heartbeat has no digests, and none
// for the same view.
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
		return allBuckets // they differ where 32 bits don't show it
	}
	return mask
}

// QueueFull reports that the queue of the link to that process was full. What is queued there is to be dropped; the
// process resumes by its next heartbeat.
func (s *Server) QueueFull(now monotime.Micros, name string, incarnation uint64) {
	s.advanceClock(now)
	s.Counters.FullQueues++
	if l := s.leasesByName[name]; l != nil && l.incarnation == incarnation {
		l.subscription.interrupt()
	}
}
