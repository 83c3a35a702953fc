package membership

import (
	"errors"
	"fmt"
	"math/bits"

	"chutechute/internal/monotime"
)

const (
	// mostRepairs is how many repairs in a row a subscriber gets without ever agreeing; then its link is closed.
	mostRepairs = 6
	// manyBuckets is how many differing parts make the shared snapshot of all cheaper.
	manyBuckets = 40
)

// reader is what is known of an attached front end as a subscriber.
type reader struct {
	subscribed bool
	live       bool            // it is sent each batch: all before were sent
	repairs    int             // since it last agreed
	repaired   monotime.Micros // state of their bounded rate
	caughtUp   monotime.Micros // state of the bounded rate of changes from the log
}

// publishView makes one batch of what changed in the merged view, and pushes it to those that follow.
func (s *Server) publishView() {
	changes := s.mergeAll()
	if len(changes) == 0 {
		return
	}
	s.view.apply(changes, merged)
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
		if l.reader.live && l.reader.subscribed {
			s.Counters.Pushes++
			s.Counters.PushBytes += len(body)
			s.send(Message{To: l.name, Incarnation: l.incarnation, Kind: ViewUpdate, Bulk: true, Body: body})
		}
	}
}

func (s *Server) changesMessage(base uint64, changes []change) []byte {
	m := s.versionMessage()
	m.content, m.base = someChanges, base
	m.entries, m.packed = s.packer.pack(encodeChanges(changes))
	return m.encode()
}

func (s *Server) versionMessage() viewMessage {
	return viewMessage{epoch: s.cfg.Incarnation, sequence: s.sequence, digest: s.view.Digest(), leaving: s.leaving, sent: s.now}
}

// Receive takes a message of an attached front end; after an error the link is to be closed.
func (s *Server) Receive(now monotime.Micros, l Link, kind Kind, body []byte) error {
	s.pass(now)
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
	held, err := s.hear(l)
	if err != nil {
		return err
	}
	s.Counters.Heartbeats++
	held.leaving = held.leaving || h.leaving
	if held.reader.subscribed != h.subscribe {
		held.reader.subscribed, held.reader.live = h.subscribe, false
		s.leaseTouched(held)
	}
	return s.answer(held, &h)
}

// answer says how far the view is here, and sends a subscriber what it lacks.
func (s *Server) answer(l *lease, h *heartbeat) error {
	answer := s.versionMessage()
	answer.answers, answer.echo = true, h.sent
	agrees := s.agrees(h)
	if agrees {
		l.reader.repairs = 0
	}
	var more []byte
	var err error
	if h.subscribe {
		more, answer.unknown, err = s.missing(l, h, agrees)
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

// agrees says whether a front end's view is one that this control member has had, as far back as the log reaches.
func (s *Server) agrees(h *heartbeat) bool {
	digest, ok := s.log.digestAt(h.sequence)
	return ok && h.epoch == s.cfg.Incarnation && digest == h.digest
}

// missing is what a subscriber lacks: nothing, changes from the log, or the parts that differ. unknown says that it has to tell
// its sums first.
func (s *Server) missing(l *lease, h *heartbeat, agrees bool) (body []byte, unknown bool, err error) {
	switch {
	case agrees && h.sequence == s.sequence:
		l.reader.live = true
		return nil, false, nil
	case l.reader.live && !h.resume:
		return nil, false, nil // it is on its way
	case agrees:
		return s.catchUp(l, h), false, nil
	case h.sums == nil && h.digest != 0:
		l.reader.live = false
		return nil, true, nil
	}
	return s.repairView(l, h)
}

func (s *Server) catchUp(l *lease, h *heartbeat) []byte {
	if !catchUpRate.allow(s.now, &l.reader.caughtUp) {
		s.Counters.RateLimited++
		return nil
	}
	names, _ := s.log.after(h.sequence)
	changes := make([]change, 0, len(names))
	for _, name := range names {
		if e := s.view.byName[name]; e != nil {
			changes = append(changes, change{Entry: e.Entry, challenged: e.challenged})
			continue
		}
		changes = append(changes, change{Entry: Entry{Name: name}, removed: true})
	}
	l.reader.live = true
	s.Counters.CatchUps++
	return s.changesMessage(h.sequence, changes)
}

// repairView sends the parts of the view whose sums differ, at a bounded rate.
func (s *Server) repairView(l *lease, h *heartbeat) (body []byte, unknown bool, err error) {
	mask := s.differing(h)
	whole := bits.OnesCount64(mask) >= manyBuckets
	if whole && !snapshotRate.allows(s.now, l.snapshots) || !repairRate.allow(s.now, &l.reader.repaired) {
		s.Counters.RateLimited++
		return nil, false, nil
	}
	if l.reader.repairs++; l.reader.repairs > mostRepairs {
		l.reader.repairs = 0 // its next link begins anew; the rate stays bounded
		return nil, false, fmt.Errorf("%w: after %d repairs of %q", ErrDigestMismatch, mostRepairs, l.name)
	}
	l.reader.live = true
	if whole {
		body = s.wholeView()
		snapshotRate.note(s.now, len(body), &l.snapshots)
		s.Counters.Snapshots++
		s.Counters.SnapshotBytes += len(body)
		return body, false, nil
	}
	body = s.bucketsMessage(mask)
	s.Counters.DigestRepairs++
	s.Counters.RepairBytes += len(body)
	return body, false, nil
}

// differing is the parts whose sums are not those here; all for a view without any, none for the same view.
func (s *Server) differing(h *heartbeat) (mask uint64) {
	if h.sums == nil {
		return allBuckets
	}
	for i, sum := range h.sums {
		if sum != uint32(s.view.sums[i]) {
			mask |= 1 << i
		}
	}
	if mask == 0 && h.digest != s.view.Digest() {
		return allBuckets // they differ where 32 bits don't show it
	}
	return mask
}

// wholeView is the snapshot of the view as it is, made once and shared.
func (s *Server) wholeView() []byte {
	if s.snapshot == nil {
		s.snapshot = s.bucketsMessage(allBuckets)
	}
	return s.snapshot
}

func (s *Server) bucketsMessage(mask uint64) []byte {
	m := s.versionMessage()
	m.content, m.mask = someBuckets, mask
	m.entries, m.packed = s.packer.pack(encodeChanges(s.view.in(mask)))
	return m.encode()
}

// QueueFull says that the queue of the link to that process was full. What waits there is to be dropped; the process resumes by
// its next heartbeat.
func (s *Server) QueueFull(now monotime.Micros, name string, incarnation uint64) {
	s.pass(now)
	s.Counters.FullQueues++
	if l := s.lessees[name]; l != nil && l.incarnation == incarnation {
		l.reader.live = false
	}
}

func isOversized(err error) bool { return errors.Is(err, ErrTooManyEntries) }
