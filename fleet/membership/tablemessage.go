package membership

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"chutechute/internal/monotime"
	"chutechute/internal/proto"
)

func isOurs(err error) bool {
	return errors.Is(err, ErrMalformed) || errors.Is(err, ErrTooManyEntries) || errors.Is(err, ErrUnknownHome) || errors.Is(err, ErrNameMismatch)
}

// version is how far a table of a home is known.
type version struct {
	home     string
	epoch    uint64 // the incarnation of the home's process
	sequence uint64
	sum      uint64
}

// encodeVersions writes them with the time of sending, by which others order challenges.
func encodeVersions(now monotime.Micros, list []version) []byte {
	b := proto.Uint(nil, 2, protowire.EncodeZigZag(now))
	for _, v := range list {
		m := proto.String(nil, 1, v.home)
		m = proto.Uint(m, 2, v.epoch)
		m = proto.Uint(m, 3, v.sequence)
		b = proto.Message(b, 1, proto.Uint(m, 4, v.sum))
	}
	return b
}

// decodeVersions reads at most most of them.
func decodeVersions(b []byte, most int) (sent monotime.Micros, list []version, err error) {
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
		var v version
		err := proto.Each(f.Data, func(f proto.Field) error {
			switch f.Number {
			case 1:
				v.home = f.Text()
			case 2:
				v.epoch = f.Uint
			case 3:
				v.sequence = f.Uint
			case 4:
				v.sum = f.Uint
			}
			return nil
		})
		list = append(list, v)
		return err
	})
	return sent, list, formError(err)
}

// pullMessage asks for what a table has after a sequence, or for all of it.
type pullMessage struct {
	home     string
	epoch    uint64
	sequence uint64
	whole    bool
}

func (p *pullMessage) encode() []byte {
	b := proto.String(nil, 1, p.home)
	b = proto.Uint(b, 2, p.epoch)
	b = proto.Uint(b, 3, p.sequence)
	return proto.Bool(b, 4, p.whole)
}

func decodePull(b []byte) (p pullMessage, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			p.home = f.Text()
		case 2:
			p.epoch = f.Uint
		case 3:
			p.sequence = f.Uint
		case 4:
			p.whole = f.Uint != 0
		}
		return nil
	})
	return p, formError(err)
}

// tableMessage is changes of a table, or all of it. Its rows are by name.
type tableMessage struct {
	version
	whole bool
	base  uint64          // of changes: the sequence that they are from
	sent  monotime.Micros // by the sender's clock, as are the rows' times
	rows  []row
}

func (t *tableMessage) encode() []byte {
	b := proto.String(nil, 1, t.home)
	b = proto.Uint(b, 2, t.epoch)
	b = proto.Uint(b, 3, t.sequence)
	b = proto.Uint(b, 4, t.sum)
	b = proto.Bool(b, 5, t.whole)
	b = proto.Uint(b, 6, t.base)
	for i := range t.rows {
		b = proto.Message(b, 7, t.rows[i].encode())
	}
	return proto.Uint(b, 8, protowire.EncodeZigZag(t.sent))
}

func (r *row) encode() []byte {
	b := proto.String(make([]byte, 0, 96), 1, r.name)
	if r.removed {
		return proto.Bool(b, 7, true)
	}
	b = proto.String(b, 2, r.zone)
	b = proto.Uint(b, 3, r.incarnation)
	b = proto.Uint(b, 4, uint64(r.state))
	b = proto.Bool(b, 5, r.serves)
	b = proto.Uint(b, 6, protowire.EncodeZigZag(r.answered()))
	for _, past := range r.past {
		b = proto.Uint(b, 8, past)
	}
	return b
}

// clockTime is a time of the sender's clock, which may be of before that began.
func clockTime(f proto.Field) monotime.Micros {
	const most = 1 << 60
	return min(max(protowire.DecodeZigZag(f.Uint), -most), most)
}

// decodeTable reads a table of at most most rows.
func decodeTable(b []byte, most int) (t tableMessage, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			t.home = f.Text()
		case 2:
			t.epoch = f.Uint
		case 3:
			t.sequence = f.Uint
		case 4:
			t.sum = f.Uint
		case 5:
			t.whole = f.Uint != 0
		case 6:
			t.base = f.Uint
		case 7:
			if len(t.rows) == most {
				return ErrTooManyEntries
			}
			r, err := decodeRow(f.Data)
			if err != nil {
				return err
			}
			if len(t.rows) > 0 && t.rows[len(t.rows)-1].name >= r.name {
				return fmt.Errorf("%w: %q after %q", ErrMalformed, r.name, t.rows[len(t.rows)-1].name)
			}
			t.rows = append(t.rows, r)
		case 8:
			t.sent = clockTime(f)
		}
		return nil
	})
	return t, formError(err)
}

func decodeRow(b []byte) (r row, err error) {
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
			r.serves = f.Uint != 0
		case 6:
			r.challenged = clockTime(f)
		case 7:
			r.removed = f.Uint != 0
		case 8:
			if len(r.past) == toldPast {
				return fmt.Errorf("%w: too many past processes of %q", ErrMalformed, r.name)
			}
			r.past = append(r.past, f.Uint)
		}
		return nil
	})
	if err != nil {
		return r, err
	}
	if !goodName(r.name) || len(r.zone) > longestName || r.state > Left || !r.removed && r.incarnation == 0 {
		return r, fmt.Errorf("%w: the row %q", ErrMalformed, r.name)
	}
	return r, nil
}
