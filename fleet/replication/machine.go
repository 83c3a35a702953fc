package replication

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"chutechute/internal/monotime"
	"chutechute/internal/proto"
)

// Member is one copy of the record. Its ID was drawn with its empty disk and stands for that disk: a front end that has lost
// it is another copy, under the same name.
type Member struct {
	ID   uint64
	Name string
	Zone string
}

func (m Member) encode() []byte {
	return proto.String(proto.String(proto.Uint(nil, 1, m.ID), 2, m.Name), 3, m.Zone)
}

// EncodeMembers and DecodeMembers carry a list of copies.
func EncodeMembers(list []Member) (b []byte) {
	for _, m := range list {
		b = proto.Message(b, 1, m.encode())
	}
	return b
}

// DecodeMembers reads a list of copies.
func DecodeMembers(b []byte) (list []Member, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		m, err := decodeMember(f.Data)
		list = append(list, m)
		return err
	})
	return list, err
}

func decodeMember(b []byte) (m Member, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			m.ID = f.Uint
		case 2:
			m.Name = f.Text()
		case 3:
			m.Zone = f.Text()
		}
		return nil
	})
	return m, err
}

// machine is the replicated state: what the kinds hold, who the copies are, and a sum over all answers so far, by which
// copies that differ are found.
type machine struct {
	kinds   map[uint32]StateMachine
	order   []StateMachine // in the order in which they were registered
	members map[uint64]Member
	index   uint64
	sum     uint64
	sums    [128]struct{ index, sum uint64 } // of the last entries; no part of the state
	note    func(Incarnation, string)
}

func newMachine(kinds []StateMachine, note func(Incarnation, string)) *machine {
	m := &machine{kinds: map[uint32]StateMachine{}, order: kinds, members: map[uint64]Member{}, note: note}
	for _, k := range kinds {
		m.kinds[k.ID()] = k
	}
	return m
}

// apply carries out a committed command.
func (m *machine) apply(index uint64, data []byte, now monotime.Micros) (c Command, a Response) {
	c, err := DecodeCommand(data)
	a = Response{Sequence: c.Sequence, Result: Unsupported}
	kind := m.kinds[c.StateMachine]
	if err == nil && kind != nil && c.Version <= kind.Version() {
		a.Result = Committed
		a.Body = kind.Apply(ApplyContext{Index: index, Now: now, Notify: m.note}, c.Proposer, c.Body)
	}
	m.count(index, a.Body)
	return c, a
}

// count moves the sum on.
func (m *machine) count(index uint64, answer []byte) {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 16+len(answer)), m.sum)
	b = binary.LittleEndian.AppendUint64(b, index)
	m.index, m.sum = index, xxhash.Sum64(append(b, answer...))
	m.sums[index%uint64(len(m.sums))] = struct{ index, sum uint64 }{index, m.sum}
}

// differs says whether another copy had another sum at an index that this one still knows.
func (m *machine) differs(index, sum uint64) bool {
	s := m.sums[index%uint64(len(m.sums))]
	return index != 0 && s.index == index && s.sum != sum
}

// snapshot is the whole state.
func (m *machine) snapshot() []byte {
	var b []byte
	b = proto.Uint(b, 1, m.index)
	b = proto.Uint(b, 2, m.sum)
	for _, k := range m.order {
		part := proto.Uint(nil, 1, uint64(k.ID()))
		part = proto.Uint(part, 2, uint64(k.Version()))
		part = proto.Message(part, 3, k.AppendSnapshot(nil))
		b = proto.Message(b, 3, part)
	}
	for _, id := range sortedIDs(m.members) {
		b = proto.Message(b, 4, m.members[id].encode())
	}
	return b
}

// restore takes a snapshot over; none empties the state.
func (m *machine) restore(b []byte, now monotime.Micros) error {
	m.index, m.sum = 0, 0
	clear(m.members)
	parts := map[uint32][]byte{}
	err := proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			m.index = f.Uint
		case 2:
			m.sum = f.Uint
		case 3:
			var id, version uint64
			var state []byte
			if err := proto.Each(f.Data, func(f proto.Field) error {
				switch f.Number {
				case 1:
					id = f.Uint
				case 2:
					version = f.Uint
				case 3:
					state = f.Data
				}
				return nil
			}); err != nil {
				return err
			}
			k := m.kinds[uint32(id)]
			if k == nil || version > uint64(k.Version()) {
				return fmt.Errorf("ledger: a snapshot holds kind %d, version %d, which this build does not know", id, version)
			}
			parts[uint32(id)] = state
		case 4:
			member, err := decodeMember(f.Data)
			m.members[member.ID] = member
			return err
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, k := range m.order {
		if err := k.Restore(parts[k.ID()], now); err != nil {
			return err
		}
	}
	return nil
}
