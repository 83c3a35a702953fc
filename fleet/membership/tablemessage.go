package membership

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"chutechute/internal/monotime"
	"chutechute/internal/proto"
)

func isPackageError(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, ErrTooManyEntries) || errors.Is(err, ErrUnknownHome) || errors.Is(err, ErrNameMismatch)
}

// tableVersion is how far a table of a home is known.
type tableVersion struct {
	home     string
	epoch    uint64 // the incarnation of the home's process
	sequence uint64
	digest   uint64
}

// encodeVersions writes them with the time of sending, by which others order challenges.
func encodeVersions(now monotime.Micros, list []tableVersion) []byte {
	b := proto.Uint(nil, 2, protowire.EncodeZigZag(now))
	for _, v := range list {
		m := proto.String(nil, 1, v.home)
		m = proto.Uint(m, 2, v.epoch)
		m = proto.Uint(m, 3, v.sequence)
		b = proto.Message(b, 1, proto.Uint(m, 4, v.digest))
	}
	return b
}

// decodeVersions reads at most most of them.
func decodeVersions(b []byte, most int) (sent monotime.Micros, list []tableVersion, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		if f.Number == 2 {
			sent = clockTime(f)
		}
		if f.Number != 1 {
			return nil
		}
		if len(list) == most {
			return ErrTooManyEntries
		}
		var v tableVersion
		err := proto.Each(f.Data, func(f proto.Field) error {
			switch f.Number {
			case 1:
				v.home = f.Text()
			case 2:
				v.epoch = f.Uint
			case 3:
				v.sequence = f.Uint
			case 4:
				v.digest = f.Uint
			}
			return nil
		})
		list = append(list, v)
		return err
	})
	return sent, list, asMalformed(err)
}

// pullMessage asks for what a table has after a sequence, or for all of it.
type pullMessage struct {
	home     string
	epoch    uint64
	sequence uint64
	full     bool
}

func (p *pullMessage) encode() []byte {
	b := proto.String(nil, 1, p.home)
	b = proto.Uint(b, 2, p.epoch)
	b = proto.Uint(b, 3, p.sequence)
	return proto.Bool(b, 4, p.full)
}

func decodePullMessage(b []byte) (p pullMessage, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			p.home = f.Text()
		case 2:
			p.epoch = f.Uint
		case 3:
			p.sequence = f.Uint
		case 4:
			p.full = f.Uint != 0
		}
		return nil
	})
	return p, asMalformed(err)
}

// tableMessage is changes of a table, or all of it. Its rows are by name.
type tableMessage struct {
	tableVersion
	full         bool
	baseSequence uint64          // of changes: the sequence that they are from
	sentAt       monotime.Micros // by the sender's clock, as are the rows' times
	entries      []tableEntry
}

func (t *tableMessage) encode() []byte {
	b := proto.String(nil, 1, t.home)
	b = proto.Uint(b, 2, t.epoch)
	b = proto.Uint(b, 3, t.sequence)
	b = proto.Uint(b, 4, t.digest)
	b = proto.Bool(b, 5, t.full)
	b = proto.Uint(b, 6, t.baseSequence)
	for i := range t.entries {
		b = proto.Message(b, 7, t.entries[i].encode())
	}
	return proto.Uint(b, 8, protowire.EncodeZigZag(t.sentAt))
}

func (r *tableEntry) encode() []byte {
	b := proto.String(make([]byte, 0, 96), 1, r.name)
	if r.removed {
		return proto.Bool(b, 7, true)
	}
	b = proto.String(b, 2, r.zone)
	b = proto.Uint(b, 3, r.incarnation)
	b = proto.Uint(b, 4, uint64(r.state))
	b = proto.Bool(b, 5, r.servesView)
	b = proto.Uint(b, 6, protowire.EncodeZigZag(r.localChallengedAt()))
	for _, past := range r.supersededIncarnations {
		b = proto.Uint(b, 8, past)
	}
	return b
}

// clockTime is a time of the sender's clock, which may be of before that began.
func clockTime(f proto.Field) monotime.Micros {
	const most = 1 << 60
	return min(max(protowire.DecodeZigZag(f.Uint), -most), most)
}

// decodeTableMessage reads a table of at most most rows.
func decodeTableMessage(b []byte, most int) (t tableMessage, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			t.home = f.Text()
		case 2:
			t.epoch = f.Uint
		case 3:
			t.sequence = f.Uint
		case 4:
			t.digest = f.Uint
		case 5:
			t.full = f.Uint != 0
		case 6:
			t.baseSequence = f.Uint
		case 7:
			if len(t.entries) == most {
				return ErrTooManyEntries
			}
			r, err := decodeTableEntry(f.Data)
			if err != nil {
				return err
			}
			if len(t.entries) > 0 && t.entries[len(t.entries)-1].name >= r.name {
				return fmt.Errorf("%w: %q after %q", ErrMalformed, r.name, t.entries[len(t.entries)-1].name)
			}
			t.entries = append(t.entries, r)
		case 8:
			t.sentAt = clockTime(f)
		}
		return nil
	})
	return t, asMalformed(err)
}

func decodeTableEntry(b []byte) (r tableEntry, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			r.name = f.Text()
		case 2:
			r.zone = f.Text()
		case 3:
			r.incarnation = f.Uint
		case 4:
			r.state = State(min(f.Uint, 255))
		case 5:
			r.servesView = f.Uint != 0
		case 6:
			r.challengedAt = clockTime(f)
		case 7:
			r.removed = f.Uint != 0
		case 8:
			if len(r.supersededIncarnations) == maxReportedSuperseded {
				return fmt.Errorf("%w: too many past processes of %q", ErrMalformed, r.name)
			}
			r.supersededIncarnations = append(r.supersededIncarnations, f.Uint)
		}
		return nil
	})
	if err != nil {
		return r, err
	}
	if !isValidName(r.name) || len(r.zone) > maxNameLength || r.state > Left || !r.removed && r.incarnation == 0 {
		return r, fmt.Errorf("%w: the row %q", ErrMalformed, r.name)
	}
	return r, nil
}
