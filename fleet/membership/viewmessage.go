package membership

import (
	"cmp"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// contentKind is what a viewMessage carries besides the view's version.
type contentKind uint64

// The kinds of content.
const (
	versionOnly  contentKind = iota
	changesSince             // the changes since a sequence
	fullBuckets              // all entries of some buckets
)

// viewMessage is what a control member sends to an attached front end: the version of its view and, if it carries
// entries, how the receiver's view gets to that version.
type viewMessage struct {
	epoch              uint64 // the incarnation of the sender
	sequence           uint64 // of the view after it
	digest             uint64 // of the view after it
	isAnswer           bool
	heartbeatSentAt    monotime.Micros // of the heartbeat that is answered, by the receiver's clock
	leaving            bool
	needsBucketDigests bool // the log does not reach back to the heartbeat's sequence: its bucket digests are needed
	content            contentKind
	baseSequence       uint64 // of changes: the sequence that they follow
	bucketMask         uint64 // of buckets: those that are carried in full
	compressed         bool
	entries            []byte          // encoded changes
	sentAt             monotime.Micros // by the sender's clock, as are the entries' times
}

// viewMessageOverhead is the bytes that suffice for the fields of most messages besides the entries.
const viewMessageOverhead = 64

// fields lists the message's fields.
func (m *viewMessage) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &m.epoch)
	fieldcodec.Uint(f, 2, &m.sequence)
	fieldcodec.Uint(f, 3, &m.digest)
	f.Bool(4, &m.isAnswer)
	fieldcodec.IntUpTo(f, 5, &m.heartbeatSentAt, maxHeartbeatTime)
	f.Bool(6, &m.leaving)
	f.Bool(7, &m.needsBucketDigests)
	fieldcodec.Uint(f, 8, &m.content)
	fieldcodec.Uint(f, 9, &m.baseSequence)
	fieldcodec.Uint(f, 10, &m.bucketMask)
	f.Bool(11, &m.compressed)
	f.Shared(12, &m.entries)
	f.ZigZag(13, &m.sentAt, maxWireTime)
}

// isSnapshot reports whether the message carries the full view.
func (m *viewMessage) isSnapshot() bool {
	return m.content == fullBuckets && m.bucketMask == allBuckets
}

func (m *viewMessage) encode() []byte {
	f := fieldcodec.Encode(make([]byte, 0, len(m.entries)+viewMessageOverhead))
	m.fields(&f)
	return f.Bytes()
}

// decodeViewMessage decodes a message whose entries are part of b.
func decodeViewMessage(b []byte) (m viewMessage, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	if err := f.Err(); err != nil {
		return m, decodingError(err)
	}
	if m.content > fullBuckets {
		return m, fmt.Errorf("%w: content %d", ErrMalformed, m.content)
	}
	return m, nil
}

// change is one entry that a view gets, or that it loses.
type change struct {
	Entry
	removed bool
	// challengedAt is when the entry's process answered a challenge, by this side's clock; 0 if that was not reported.
	// Messages carry it by the sender's clock in milliseconds, and digests leave it out.
	challengedAt monotime.Micros
}

const (
	microsPerMilli = monotime.Millisecond
	// maxChallengeTime bounds an entry's time of challenge, in milliseconds.
	maxChallengeTime = 1 << 50
	// zeroTimeSubstitute stands for a time of exactly 0, since 0 means that no time is known.
	zeroTimeSubstitute monotime.Micros = -1
)

// fields lists the fields of a change; a removed entry has its name only. clock is the sender's, for decoding.
func (c *change) fields(f *fieldcodec.Fields, clock *clockOffset) {
	f.String(1, &c.Name)
	f.Bool(7, &c.removed)
	if f.Encoding() && c.removed {
		return
	}
	f.String(2, &c.Zone)
	f.String(3, &c.Home)
	fieldcodec.Uint(f, 4, &c.Incarnation)
	fieldcodec.UintUpTo(f, 5, &c.Role, 255)
	fieldcodec.UintUpTo(f, 6, &c.State, 255)
	if f.Encoding() && c.challengedAt != 0 {
		f.AppendUint(8, protowire.EncodeZigZag(cmp.Or(c.challengedAt/microsPerMilli, 1)))
	}
	if f.Decoding(8) {
		millis := min(max(protowire.DecodeZigZag(f.Value()), -maxChallengeTime), maxChallengeTime)
		c.challengedAt = cmp.Or(clock.toLocal(millis*microsPerMilli), zeroTimeSubstitute)
	}
}

// encode encodes the change into the buffer b, which it overwrites.
func (c *change) encode(b []byte) []byte {
	f := fieldcodec.Encode(b[:0])
	c.fields(&f, nil)
	return f.Bytes()
}

// decodeChange decodes and checks one change.
func decodeChange(clock *clockOffset, b []byte) (c change, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		c.fields(&f, clock)
	}
	if err := f.Err(); err != nil {
		return c, err
	}
	validName := isValidName(c.Name) && len(c.Zone) <= maxNameLength
	if !validName || c.Role > Attached || c.State > Left || !c.removed && c.Incarnation == 0 {
		return c, fmt.Errorf("%w: the entry %q", ErrMalformed, c.Name)
	}
	return c, nil
}

// changesField is the number of the field that a list of changes has for each of them.
const changesField = 1

// encodeChanges encodes changes that are sorted by name.
func encodeChanges(changes []change) []byte {
	f := fieldcodec.Encode(nil)
	nested := make([]byte, 0, nestedCapacity)
	for i := range changes {
		nested = changes[i].encode(nested)
		f.AppendBytes(changesField, nested)
	}
	return f.Bytes()
}

// decodeChanges decodes at most limit changes, which are sorted by name and have each name once. clock is the sender's.
func decodeChanges(clock *clockOffset, b []byte, limit int) (changes []change, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		if !f.Decoding(changesField) {
			continue
		}
		if len(changes) == limit {
			return changes, ErrTooManyEntries
		}
		c, err := decodeChange(clock, f.Data())
		if err != nil {
			return changes, decodingError(err)
		}
		if last := len(changes) - 1; last >= 0 && changes[last].Name >= c.Name {
			return changes, fmt.Errorf("%w: %q after %q", ErrMalformed, c.Name, changes[last].Name)
		}
		changes = append(changes, c)
	}
	return changes, decodingError(f.Err())
}
