package membership

import (
	"cmp"
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"chutechute/internal/monotime"
	"chutechute/internal/proto"
)

// maxNameLength bounds names and zones.
const maxNameLength = 128

// maxReportedSuperseded bounds the past incarnations that a row tells of.
const maxReportedSuperseded = 4

// change is one entry that a view gets, or that it loses.
type change struct {
	Entry
	removed bool
	// challengedAt is when its process answered a challenge, by this side's clock, 0 where that is not told. Messages carry it by the
	// sender's clock in milliseconds, and digests leave it out.
	challengedAt monotime.Micros
}

// heartbeat is what an attached front end says over each of its links.
type heartbeat struct {
	name          string
	sentAt        monotime.Micros // by its own clock; the answer gives it back
	leaving       bool
	subscribe     bool // the view is wanted from this control member
	resume        bool // it was not followed so far, or something was lost
	epoch         uint64
	sequence      uint64
	digest        uint64
	bucketDigests []uint32 // of each bucket, cut to 32 bits; none for an empty view, or where the log may reach back
}

func (h *heartbeat) encode() []byte {
	b := proto.String(nil, 1, h.name)
	b = proto.Uint(b, 2, uint64(max(0, h.sentAt)))
	b = proto.Bool(b, 3, h.leaving)
	b = proto.Bool(b, 4, h.subscribe)
	b = proto.Bool(b, 5, h.resume)
	b = proto.Uint(b, 6, h.epoch)
	b = proto.Uint(b, 7, h.sequence)
	b = proto.Uint(b, 8, h.digest)
	if len(h.bucketDigests) == 0 {
		return b
	}
	sums := make([]byte, 0, 4*len(h.bucketDigests))
	for _, sum := range h.bucketDigests {
		sums = binary.BigEndian.AppendUint32(sums, sum)
	}
	return proto.Bytes(b, 9, sums)
}

func decodeHeartbeat(b []byte) (h heartbeat, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			h.name = f.Text()
		case 2:
			h.sentAt = monotime.Micros(min(f.Uint, 1<<62))
		case 3:
			h.leaving = f.Uint != 0
		case 4:
			h.subscribe = f.Uint != 0
		case 5:
			h.resume = f.Uint != 0
		case 6:
			h.epoch = f.Uint
		case 7:
			h.sequence = f.Uint
		case 8:
			h.digest = f.Uint
		case 9:
			if len(f.Data) != 4*bucketCount {
				return fmt.Errorf("%w: %d bytes of sums", ErrMalformed, len(f.Data))
			}
			h.bucketDigests = make([]uint32, bucketCount)
			for i := range h.bucketDigests {
				h.bucketDigests[i] = binary.BigEndian.Uint32(f.Data[4*i:])
			}
		}
		return nil
	})
	return h, asMalformed(err)
}

// contentKind is what a viewMessage carries.
type contentKind uint64

const (
	versionOnly contentKind = iota // only the version
	changesSince
	fullBuckets
)

// viewMessage is what a control member says to an attached front end: the version of its view, and where it carries entries, how
// the view gets there.
type viewMessage struct {
	epoch              uint64
	sequence           uint64 // of the view after it
	digest             uint64 // of the view after it
	isAnswer           bool
	heartbeatSentAt    monotime.Micros // the time of the heartbeat that is answered
	leaving            bool
	needsBucketDigests bool // the log does not reach back to what the heartbeat said: its sums are wanted
	content            contentKind
	baseSequence       uint64 // of changes: the sequence that they are from
	bucketMask         uint64 // of buckets: those that are carried whole
	compressed         bool
	entries            []byte
	sentAt             monotime.Micros // by the sender's clock, as are the entries' times
}

func (m *viewMessage) encode() []byte {
	b := proto.Uint(make([]byte, 0, len(m.entries)+64), 1, m.epoch)
	b = proto.Uint(b, 2, m.sequence)
	b = proto.Uint(b, 3, m.digest)
	b = proto.Bool(b, 4, m.isAnswer)
	b = proto.Uint(b, 5, uint64(max(0, m.heartbeatSentAt)))
	b = proto.Bool(b, 6, m.leaving)
	b = proto.Bool(b, 7, m.needsBucketDigests)
	b = proto.Uint(b, 8, uint64(m.content))
	b = proto.Uint(b, 9, m.baseSequence)
	b = proto.Uint(b, 10, m.bucketMask)
	b = proto.Bool(b, 11, m.compressed)
	b = proto.Bytes(b, 12, m.entries)
	return proto.Uint(b, 13, protowire.EncodeZigZag(m.sentAt))
}

func decodeViewMessage(b []byte) (m viewMessage, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			m.epoch = f.Uint
		case 2:
			m.sequence = f.Uint
		case 3:
			m.digest = f.Uint
		case 4:
			m.isAnswer = f.Uint != 0
		case 5:
			m.heartbeatSentAt = monotime.Micros(min(f.Uint, 1<<62))
		case 6:
			m.leaving = f.Uint != 0
		case 7:
			m.needsBucketDigests = f.Uint != 0
		case 8:
			m.content = contentKind(f.Uint)
		case 9:
			m.baseSequence = f.Uint
		case 10:
			m.bucketMask = f.Uint
		case 11:
			m.compressed = f.Uint != 0
		case 12:
			m.entries = f.Data
		case 13:
			m.sentAt = clockTime(f)
		}
		return nil
	})
	if err == nil && m.content > fullBuckets {
		err = fmt.Errorf("%w: content %d", ErrMalformed, m.content)
	}
	return m, asMalformed(err)
}

func encodeChanges(list []change) []byte {
	var b []byte
	for i := range list {
		c := &list[i]
		m := proto.String(make([]byte, 0, 96), 1, c.Name)
		if c.removed {
			b = proto.Message(b, 1, proto.Bool(m, 7, true))
			continue
		}
		m = proto.String(m, 2, c.Zone)
		m = proto.String(m, 3, c.Home)
		m = proto.Uint(m, 4, c.Incarnation)
		m = proto.Uint(m, 5, uint64(c.Role))
		m = proto.Uint(m, 6, uint64(c.State))
		if c.challengedAt != 0 {
			m = proto.Uint(m, 8, protowire.EncodeZigZag(cmp.Or(c.challengedAt/1000, 1)))
		}
		b = proto.Message(b, 1, m)
	}
	return b
}

// decodeChanges reads at most most changes, which are by name and name each front end once. clock is of who sent them.
func decodeChanges(clock *clockOffset, b []byte, most int) (list []change, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		if f.Number != 1 {
			return nil
		}
		if len(list) == most {
			return ErrTooManyEntries
		}
		c, err := decodeChange(clock, f.Data)
		if err != nil {
			return err
		}
		if len(list) > 0 && list[len(list)-1].Name >= c.Name {
			return fmt.Errorf("%w: %q after %q", ErrMalformed, c.Name, list[len(list)-1].Name)
		}
		list = append(list, c)
		return nil
	})
	return list, asMalformed(err)
}

func decodeChange(clock *clockOffset, b []byte) (c change, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			c.Name = f.Text()
		case 2:
			c.Zone = f.Text()
		case 3:
			c.Home = f.Text()
		case 4:
			c.Incarnation = f.Uint
		case 5:
			c.Role = Role(min(f.Uint, 255))
		case 6:
			c.State = State(min(f.Uint, 255))
		case 7:
			c.removed = f.Uint != 0
		case 8:
			c.challengedAt = cmp.Or(clock.toLocal(min(max(protowire.DecodeZigZag(f.Uint), -1<<50), 1<<50)*1000), -1)
		}
		return nil
	})
	if err != nil {
		return c, err
	}
	if !isValidName(c.Name) || len(c.Zone) > maxNameLength || c.Role > Attached || c.State > Left || !c.removed && c.Incarnation == 0 {
		return c, fmt.Errorf("%w: the entry %q", ErrMalformed, c.Name)
	}
	return c, nil
}

func isValidName(name string) bool { return name != "" && len(name) <= maxNameLength }

// asMalformed makes every error that is none of this package's one of the form.
func asMalformed(err error) error {
	if err == nil || isPackageError(err) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}
