package fleet

import (
	"chutechute/fleet/heartbeat"
	"chutechute/internal/proto"
)

// status is a heartbeat: who sends it, how it stands with the record, and whom it hears.
type status struct {
	Incarnation uint64
	Copy        uint64
	Group       uint64
	Leader      uint64
	Term        uint64
	Index, Sum  uint64 // of the last command carried out, and over all answers up to it
	Leaving     bool
	Voter       bool
	Reports     []heartbeat.Report
	Versions    []byte // of the tables of attached front ends; none where none may attach
}

func (s *status) encode() []byte {
	var b []byte
	b = proto.Uint(b, 1, s.Incarnation)
	b = proto.Uint(b, 2, s.Copy)
	b = proto.Uint(b, 3, s.Group)
	b = proto.Uint(b, 4, s.Leader)
	b = proto.Uint(b, 5, s.Term)
	b = proto.Uint(b, 6, s.Index)
	b = proto.Uint(b, 7, s.Sum)
	b = proto.Bool(b, 8, s.Leaving)
	b = proto.Bool(b, 9, s.Voter)
	for _, r := range s.Reports {
		b = proto.Message(b, 10, r.Encode())
	}
	return proto.Bytes(b, 11, s.Versions)
}

func decodeStatus(b []byte) (s status, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			s.Incarnation = f.Uint
		case 2:
			s.Copy = f.Uint
		case 3:
			s.Group = f.Uint
		case 4:
			s.Leader = f.Uint
		case 5:
			s.Term = f.Uint
		case 6:
			s.Index = f.Uint
		case 7:
			s.Sum = f.Uint
		case 8:
			s.Leaving = f.Uint != 0
		case 9:
			s.Voter = f.Uint != 0
		case 10:
			r, err := heartbeat.DecodeReport(f.Data)
			s.Reports = append(s.Reports, r)
			return err
		case 11:
			s.Versions = f.Copy()
		}
		return nil
	})
	return s, err
}

// founding is the message with which a record begins.
type founding struct {
	Group   uint64
	Members []byte // ledger.EncodeMembers
}

func (f *founding) encode() []byte {
	return proto.Bytes(proto.Uint(nil, 1, f.Group), 2, f.Members)
}

func decodeFounding(b []byte) (w founding, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			w.Group = f.Uint
		case 2:
			w.Members = f.Copy()
		}
		return nil
	})
	return w, err
}

// copied is a message between copies with the number of their record.
func copied(group uint64, message []byte) []byte {
	return proto.Bytes(proto.Uint(make([]byte, 0, len(message)+16), 1, group), 2, message)
}

func decodeCopied(b []byte) (group uint64, message []byte, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			group = f.Uint
		case 2:
			message = f.Data
		}
		return nil
	})
	return group, message, err
}
