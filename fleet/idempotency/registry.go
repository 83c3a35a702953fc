// Package loads is the record of keyed loads, a kind of the ledger: who took them, in which order those of one key stand,
// what was begun and how it ended. It is a state machine without I/O, clock or map order; every copy applies the same
// committed commands to it.
//
// In terms of what clients and engines see in true time, with M the time at which a command is committed:
//
//  1. No attempt of a load reaches an engine unless a Start of its owner, in the epoch in force, was committed before. So
//     after a load was adopted, has an outcome, or was taken out, nothing of the earlier owner begins: a Start that it still
//     asks for is denied, whatever it believes. An epoch is the place in the record at which an owner took the load, so none
//     comes twice, not even where a load is taken out and taken anew: a command that comes late, or twice, meets another.
//  2. A load with a committed Start is never adopted by who wants to start it. Whoever finds one waits for its outcome. Where its
//     owner is missing, an Offer makes another the owner, who asks its engine for what was started and starts nothing: the old
//     owner's Starts and Finishes are denied from then on. What it was granted before may still be written for startWithin from
//     before it asked, which is less than the span that the new owner waits where the engine knows nothing of it.
//  3. A load has one outcome: the first committed. It and its rows are what every later repeat is told, until it is forgotten.
//  4. Of one key, a Start is granted only to the load that stands first in the order of commits; it leaves the line with its
//     outcome only, which its owner commits once no attempt of it runs any more, or with a Lapse.
//  5. A Lapse rests on spans only: the owner begins and asks for a load no later than the client's time, counted from before
//     the Take was asked for, and engines end a query 2 s unasked. The leader counts from when it applied the Take, which is
//     later, adds the stated drift and the 2 s, and only then proposes.
package idempotency

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
	"chutechute/internal/proto"
)

const (
	second = 1_000_000 // microseconds

	// drift is the bound on how much faster one machine's clock may run than another's, as one part in so many.
	drift = 100
	// overhead is what a record takes besides its texts, in bytes.
	overhead = 400
	// MaxOutcomeBytes is the most that an outcome's rows may take, by the protocol.
	MaxOutcomeBytes = 48_000
)

// Options are the bounds of the record. All copies of one group have the same.
type Options struct {
	MaxBytes      int             // that records may take, with room for their outcomes
	Retention     monotime.Micros // how long an outcome is kept
	OrphanTimeout monotime.Micros // how long a load whose owner is gone keeps its place with nothing begun
}

// load is one record.
type load struct {
	once, key, tenant, class string
	digest                   []byte
	call                     string
	ttl                      uint64
	place                    uint64
	owner                    replication.Incarnation
	epoch                    uint64
	phase                    Phase
	starts                   []start
	rows                     []byte
	watchers                 []replication.Incarnation
	changed                  uint64

	taken, at monotime.Micros // by this machine's clock: of the last Take that counts, of the last change; no part of the state
	orphan    monotime.Micros // since when its owner is gone, by this machine
}

// start is an attempt that may have begun.
type start struct {
	attempt uint64
	engine  string
	call    string
	owner   replication.Incarnation
}

// Registry is the record.
type Registry struct {
	o     Options
	once  map[string]*load
	order []*load            // by place
	lines map[string][]*load // of each key, by place: those that are not over
	bytes int
}

// NewRegistry is an empty record.
func NewRegistry(o Options) *Registry {
	return &Registry{o: o, once: map[string]*load{}, lines: map[string][]*load{}}
}

// ID is the kind's number in commands and snapshots.
func (s *Registry) ID() uint32 { return 1 }

// Name is the kind's name.
func (s *Registry) Name() string { return "loads" }

// Version is the form of its commands.
func (s *Registry) Version() uint32 { return 1 }

// Len is how many loads are noted, and Bytes what they take.
func (s *Registry) Len() int { return len(s.order) }

// Bytes is the room that is taken or kept back for outcomes.
func (s *Registry) Bytes() int { return s.bytes }

// size is the room of a load; one without an outcome keeps back what that may take.
func (l *load) size() int {
	n := overhead + len(l.once) + len(l.key) + len(l.tenant) + len(l.class) + len(l.digest)
	if l.phase.Finished() {
		return n + len(l.rows)
	}
	return n + MaxOutcomeBytes
}

// Apply carries out a committed command.
func (s *Registry) Apply(at replication.ApplyContext, asker replication.Incarnation, body []byte) []byte {
	c, err := DecodeCommand(body)
	if err != nil {
		return nil
	}
	l := s.once[c.IdempotencyKey]
	status := OK
	switch c.Op {
	case Register:
		l, status = s.take(at, asker, c, l)
	case AuthorizeAttempt:
		status = s.start(at, asker, c, l)
	case Complete:
		l, status = s.finish(at, asker, c, l)
	case Inspect:
		if l == nil {
			status = NotFound
		}
	case Expire:
		if l != nil && l.changed == c.ChangedIndex && !l.phase.Finished() {
			if l.phase == Started {
				s.over(at, l, Failed, nil)
			} else {
				s.remove(at, l)
			}
		}
		return nil
	case OfferTransfer:
		if l == nil || l.changed != c.ChangedIndex || l.phase != Started {
			return nil
		}
		if l.at = at.Now; l.owner != replication.Incarnation(c.NewOwner) {
			l.owner, l.epoch, l.changed, l.taken = replication.Incarnation(c.NewOwner), at.Index, at.Index, at.Now
		}
		at.Notify(l.owner, l.once)
		return nil
	case Transfer:
		if l != nil && l.owner == asker && l.epoch == c.Epoch && l.phase == Started {
			l.owner, l.epoch, l.changed = 0, at.Index, at.Index
		}
		return nil
	case Forget:
		if l != nil && l.changed == c.ChangedIndex && l.phase.Finished() {
			s.remove(at, l)
		}
		return nil
	default:
		return nil
	}
	v := Response{Status: status}
	if l != nil && status != Conflict {
		v.Phase, v.Owner, v.Epoch, v.Index, v.OwnerRequestID, v.Rows = l.phase, uint64(l.owner), l.epoch, l.place, l.call, l.rows
		v.FirstOfKey = s.first(l)
		if l.phase == Started {
			last := l.starts[len(l.starts)-1]
			v.TTL, v.Engine, v.StartedRequestID, v.Class, v.OrderKey, v.StatementDigest = l.ttl, last.engine, last.call, l.class, l.key, l.digest
		}
	}
	return v.Encode()
}

func (s *Registry) first(l *load) bool {
	return l.key == "" || !l.phase.Finished() && s.lines[l.key][0] == l
}

func (s *Registry) take(at replication.ApplyContext, asker replication.Incarnation, c *Command, l *load) (*load, Status) {
	if l != nil {
		switch {
		case !bytes.Equal(l.digest, c.StatementDigest) || l.key != c.OrderKey || l.class != c.Class:
			return l, Conflict
		case l.phase.Finished():
		case l.owner == asker:
			if l.phase == Waiting && l.call != c.RequestID { // another try of it, whose client waits for longer
				l.call, l.ttl, l.changed, l.taken, l.at = c.RequestID, c.TTL, at.Index, at.Now, at.Now
				l.epoch = at.Index
			}
		case l.phase == Waiting && c.TakeOver:
			at.Notify(l.owner, l.once)
			l.owner, l.call, l.ttl, l.epoch = asker, c.RequestID, c.TTL, at.Index
			l.changed, l.taken, l.at, l.orphan = at.Index, at.Now, at.Now, 0
		case !slices.Contains(l.watchers, asker):
			l.watchers = append(l.watchers, asker)
			at.Notify(l.owner, l.once) // who holds it no more says so
		}
		return l, OK
	}
	l = &load{once: c.IdempotencyKey, key: c.OrderKey, tenant: c.Tenant, class: c.Class, digest: c.StatementDigest, call: c.RequestID, ttl: c.TTL,
		place: at.Index, owner: asker, epoch: at.Index, phase: Waiting, changed: at.Index, taken: at.Now, at: at.Now}
	if s.bytes+l.size() > s.o.MaxBytes {
		return nil, CapacityExceeded
	}
	s.add(l)
	return l, OK
}

func (s *Registry) add(l *load) {
	s.once[l.once] = l
	s.order = append(s.order, l)
	s.bytes += l.size()
	if l.key != "" && !l.phase.Finished() {
		s.lines[l.key] = append(s.lines[l.key], l)
	}
}

func (s *Registry) start(at replication.ApplyContext, asker replication.Incarnation, c *Command, l *load) Status {
	switch {
	case l == nil:
		return NotFound
	case l.phase.Finished() || l.owner != asker || l.epoch != c.Epoch:
		return Denied
	case !s.first(l):
		return Blocked
	case slices.ContainsFunc(l.starts, func(t start) bool { return t.attempt == c.Attempt }):
		return OK // asked again
	}
	l.starts = append(l.starts, start{c.Attempt, c.Engine, c.RequestID, asker})
	l.phase, l.changed, l.at = Started, at.Index, at.Now
	return OK
}

func (s *Registry) finish(at replication.ApplyContext, asker replication.Incarnation, c *Command, l *load) (*load, Status) {
	switch {
	case l == nil:
		return nil, NotFound
	case l.phase.Finished():
		return l, OK // the first stays
	case l.owner != asker || l.epoch != c.Epoch:
		return l, Denied
	case c.Outcome == Unregistered:
		s.remove(at, l)
		return nil, OK
	case c.Outcome == Served && len(c.Rows) > MaxOutcomeBytes:
		s.over(at, l, Failed, nil)
	case c.Outcome == Served || c.Outcome == Failed:
		s.over(at, l, c.Outcome, c.Rows)
	default:
		return l, Denied
	}
	return l, OK
}

// over gives a load its outcome.
func (s *Registry) over(at replication.ApplyContext, l *load, outcome Phase, rows []byte) {
	s.bytes -= l.size()
	s.leave(at, l)
	l.phase, l.rows, l.changed, l.at = outcome, rows, at.Index, at.Now
	s.bytes += l.size()
	s.tell(at, l)
}

// remove takes a load out of the record.
func (s *Registry) remove(at replication.ApplyContext, l *load) {
	s.bytes -= l.size()
	if !l.phase.Finished() {
		s.leave(at, l)
		at.Notify(l.owner, l.once)
		s.tell(at, l)
	}
	delete(s.once, l.once)
	if i, ok := slices.BinarySearchFunc(s.order, l.place, byPlace); ok {
		s.order = slices.Delete(s.order, i, i+1)
	}
}

func byPlace(l *load, place uint64) int {
	switch {
	case l.place < place:
		return -1
	case l.place > place:
		return 1
	}
	return 0
}

// leave takes a load out of its key's line; the next may begin.
func (s *Registry) leave(at replication.ApplyContext, l *load) {
	if l.key == "" {
		return
	}
	line := s.lines[l.key]
	i := slices.Index(line, l)
	line = slices.Delete(line, i, i+1)
	if len(line) == 0 {
		delete(s.lines, l.key)
		return
	}
	s.lines[l.key] = line
	if i == 0 {
		at.Notify(line[0].owner, line[0].once)
	}
}

// tell notes those who wait with a load.
func (s *Registry) tell(at replication.ApplyContext, l *load) {
	for _, w := range l.watchers {
		at.Notify(w, l.once)
	}
	l.watchers = nil
}

// mostDue bounds the commands of one call of Due.
const mostDue = 256

// mostOffers rations, for each call of Due, what goes over to others, so that a lost front end with much under way is no storm
// at engines or in the record.
const mostOffers = 64

// successor is who looks after a load whose owner is missing: by rendezvous of the load and the processes that are there, so that
// nobody gets all of a lost one's.
func successor(once string, present []replication.Incarnation) (best replication.Incarnation) {
	most := uint64(0)
	for _, i := range present {
		if h := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(once), uint64(i))); best == 0 || h > most {
			best, most = i, h
		}
	}
	return best
}

// DueCommands gives what has lapsed and what may be forgotten, by this machine's clock.
func (s *Registry) DueCommands(now monotime.Micros, seen replication.FailureDetector) (list [][]byte) {
	offers := 0
	for _, l := range s.order {
		if len(list) >= mostDue {
			break
		}
		c := Command{IdempotencyKey: l.once, ChangedIndex: l.changed}
		life := monotime.Micros(l.ttl) + monotime.Micros(l.ttl)/drift + second/2
		switch {
		case l.phase.Finished() && now-l.at >= s.o.Retention:
			c.Op = Forget
		case l.phase == Started && now-l.taken >= life+replication.AbandonTimeout:
			c.Op = Expire
		case l.phase == Started && offers < mostOffers && seen.Unreachable(l.owner):
			if c.NewOwner = uint64(successor(l.once, seen.Live())); c.NewOwner == uint64(l.owner) {
				continue
			}
			c.Op = OfferTransfer
			offers++
		case l.phase == Started && offers < mostOffers && l.starts[len(l.starts)-1].owner != l.owner && now-l.at >= second:
			c.Op, c.NewOwner = OfferTransfer, uint64(l.owner) // the word that it is the owner may have been lost
			offers++
		case l.phase == Waiting && now-l.taken >= life:
			c.Op = Expire
		case l.phase == Waiting && seen.PresumedDead(l.owner):
			if l.orphan == 0 {
				l.orphan = now
			}
			if now-l.orphan < s.o.OrphanTimeout {
				continue
			}
			c.Op = Expire
		default:
			l.orphan = 0
			continue
		}
		list = append(list, c.Encode())
	}
	return list
}

// AppendSnapshot adds all records, by place.
func (s *Registry) AppendSnapshot(b []byte) []byte {
	for _, l := range s.order {
		b = proto.Message(b, 1, l.encode())
	}
	return b
}

func (l *load) encode() []byte {
	var b []byte
	b = proto.String(b, 1, l.once)
	b = proto.String(b, 2, l.key)
	b = proto.String(b, 3, l.tenant)
	b = proto.String(b, 4, l.class)
	b = proto.Bytes(b, 5, l.digest)
	b = proto.String(b, 6, l.call)
	b = proto.Uint(b, 7, l.ttl)
	b = proto.Uint(b, 8, l.place)
	b = proto.Uint(b, 9, uint64(l.owner))
	b = proto.Uint(b, 10, l.epoch)
	b = proto.Uint(b, 11, uint64(l.phase))
	for _, t := range l.starts {
		var m []byte
		m = proto.Uint(m, 1, t.attempt)
		m = proto.String(m, 2, t.engine)
		m = proto.String(m, 3, t.call)
		m = proto.Uint(m, 4, uint64(t.owner))
		b = proto.Message(b, 12, m)
	}
	b = proto.Bytes(b, 13, l.rows)
	for _, w := range l.watchers {
		b = proto.Uint(b, 14, uint64(w))
	}
	return proto.Uint(b, 15, l.changed)
}

// Restore takes a snapshot over. Its spans begin now, which is later than they did: nothing lapses early.
func (s *Registry) Restore(b []byte, now monotime.Micros) error {
	*s = *NewRegistry(s.o)
	return proto.Each(b, func(f proto.Field) error {
		l := &load{taken: now, at: now}
		if err := proto.Each(f.Data, l.decode); err != nil {
			return err
		}
		s.add(l)
		return nil
	})
}

func (l *load) decode(f proto.Field) error {
	switch f.Number {
	case 1:
		l.once = f.Text()
	case 2:
		l.key = f.Text()
	case 3:
		l.tenant = f.Text()
	case 4:
		l.class = f.Text()
	case 5:
		l.digest = f.Copy()
	case 6:
		l.call = f.Text()
	case 7:
		l.ttl = f.Uint
	case 8:
		l.place = f.Uint
	case 9:
		l.owner = replication.Incarnation(f.Uint)
	case 10:
		l.epoch = f.Uint
	case 11:
		l.phase = Phase(f.Uint)
	case 12:
		var t start
		err := proto.Each(f.Data, func(f proto.Field) error {
			switch f.Number {
			case 1:
				t.attempt = f.Uint
			case 2:
				t.engine = f.Text()
			case 3:
				t.call = f.Text()
			case 4:
				t.owner = replication.Incarnation(f.Uint)
			}
			return nil
		})
		l.starts = append(l.starts, t)
		return err
	case 13:
		l.rows = f.Copy()
	case 14:
		l.watchers = append(l.watchers, replication.Incarnation(f.Uint))
	case 15:
		l.changed = f.Uint
	}
	return nil
}

// RecordStatus is a record as operators see it.
type RecordStatus struct {
	IdempotencyKey string   `json:"dedupe"`
	OrderKey       string   `json:"key,omitempty"`
	Class          string   `json:"class"`
	Phase          string   `json:"phase"`
	Owner          string   `json:"owner"`
	Epoch          uint64   `json:"epoch"`
	Index          uint64   `json:"place"`
	Starts         []string `json:"starts,omitempty"`
	Bytes          int      `json:"bytes"`
}

// Records is all records, by place.
func (s *Registry) Records() (list []RecordStatus) {
	list = []RecordStatus{}
	for _, l := range s.order {
		v := RecordStatus{IdempotencyKey: l.once, OrderKey: l.key, Class: l.class, Phase: l.phase.String(), Owner: fmt.Sprintf("%016x", uint64(l.owner)),
			Epoch: l.epoch, Index: l.place, Bytes: len(l.rows)}
		for _, t := range l.starts {
			v.Starts = append(v.Starts, fmt.Sprintf("%d on %s as %s", t.attempt, t.engine, t.call))
		}
		list = append(list, v)
	}
	return list
}
