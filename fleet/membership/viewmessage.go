package membership

import (
	"cmp"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// contentKind is the kind of content that a viewMessage carries besides the version of the view.
type contentKind uint64

// The kinds of content.
const (
	versionOnly  contentKind = iota
	changesSince             // the changes since a sequence
	fullBuckets              // all entries of some buckets
)

// viewMessage is the message that a control member sends to an attached front end: the version of its view and, if
// needed, the entries that bring the receiver's view to that version.
type viewMessage struct {
	epoch              uint64          // the incarnation of the sender
	sequence           uint64          // of the sender's view
	digest             uint64          // of the sender's view
	isAnswer           bool            // the message answers a heartbeat
	heartbeatSentAt    monotime.Micros // of answers: when the heartbeat was sent, by the receiver's clock
	leaving            bool            // the sender is shutting down
	needsBucketDigests bool            // the sender's log lacks the heartbeat's version; bucket digests are needed
	content            contentKind
	baseSequence       uint64          // of changes: the sequence to which they apply
	bucketMask         uint64          // of buckets: those that the entries contain in full
	compressed         bool            // the entries are compressed
	entries            []byte          // encoded changes
	sentAt             monotime.Micros // by the sender's clock, like the times in the entries
}

// viewMessageOverhead is a buffer size that most messages without their entries fit into, in bytes.
const viewMessageOverhead = 64

// fields encodes or decodes the message's fields.
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

// decodeViewMessage decodes a viewMessage. Its entries share memory with b.
func decodeViewMessage(b []byte) (m viewMessage, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	if err := f.Err(); err != nil {
		return m, decodingError(err)
	}
	if m.content > fullBuckets {
		return m, fmt.Errorf("%w: unknown content kind %d", ErrMalformed, m.content)
	}
	return m, nil
}

// change sets or removes one entry of a view.
type change struct {
	Entry
	removed bool
	// challengedAt is when the challenge was sent that the entry's process answered, by this process's clock; 0 if not
	// reported. Messages carry it in milliseconds by the sender's clock. Digests leave it out.
	challengedAt monotime.Micros
}

const (
	microsPerMilli = monotime.Millisecond
	// maxChallengeTime limits the challenge time of a received entry, in milliseconds.
	maxChallengeTime = 1 << 50
	// zeroTimeSubstitute replaces a time of exactly 0, since 0 stands for an unknown time.
	zeroTimeSubstitute monotime.Micros = -1
)

// fields encodes or decodes the fields of a change. A removed entry has only its name. clock is the offset to the
// sender's clock, used for decoding.
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

// encode encodes the change into b, overwriting its content, and returns the result.
func (c *change) encode(b []byte) []byte {
	f := fieldcodec.Encode(b[:0])
	c.fields(&f, nil)
	return f.Bytes()
}

// decodeChange decodes and validates one change.
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
		return c, fmt.Errorf("%w: invalid view entry %q", ErrMalformed, c.Name)
	}
	return c, nil
}

// changesField is the number of the repeated field of a list of changes.
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

// decodeChanges decodes at most limit changes, which must be sorted by name and contain each name only once. clock is
// the offset to the sender's clock.
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
			return changes, fmt.Errorf("%w: view entry %q follows %q", ErrMalformed, c.Name, changes[last].Name)
		}
		changes = append(changes, c)
	}
	return changes, decodingError(f.Err())
}
