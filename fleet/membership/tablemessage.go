package membership

import (
	"fmt"

	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// maxReportedSuperseded limits the superseded incarnations that a table entry reports.
const maxReportedSuperseded = 4

// versionCapacity is a buffer size that most encoded versions fit into, in bytes.
const versionCapacity = 64

// tableVersion identifies a version of a home's table.
type tableVersion struct {
	home     string
	epoch    uint64 // the incarnation of the home's process
	sequence uint64
	digest   uint64 // of all entries
}

// fields encodes or decodes the version's fields, which are also the first fields of a tableMessage.
func (v *tableVersion) fields(f *fieldcodec.Fields) {
	f.String(1, &v.home)
	fieldcodec.Uint(f, 2, &v.epoch)
	fieldcodec.Uint(f, 3, &v.sequence)
	fieldcodec.Uint(f, 4, &v.digest)
}

// versionsMessage holds the versions of tables that a control member's heartbeat carries.
type versionsMessage struct {
	sentAt   monotime.Micros // by the sender's clock; receivers use it to estimate the offset between the clocks
	versions []tableVersion
	limit    int // maximum number of versions to decode
}

// fields encodes or decodes the message's fields. The versions do not use fieldcodec.Messages, because its function
// value would cost two more allocations per heartbeat.
func (m *versionsMessage) fields(f *fieldcodec.Fields) {
	f.ZigZag(2, &m.sentAt, maxWireTime)
	if f.Encoding() {
		nested := make([]byte, 0, versionCapacity)
		for i := range m.versions {
			nested = m.versions[i].encode(nested)
			f.AppendBytes(1, nested)
		}
	}
	if f.Decoding(1) {
		f.Fail(m.decodeVersion(f.Data()))
	}
}

// encode encodes the version into b, overwriting its content, and returns the result.
func (v *tableVersion) encode(b []byte) []byte {
	f := fieldcodec.Encode(b[:0])
	v.fields(&f)
	return f.Bytes()
}

// decodeVersion decodes the next version of the message.
func (m *versionsMessage) decodeVersion(b []byte) error {
	if len(m.versions) == m.limit {
		return ErrTooManyEntries
	}
	var v tableVersion
	f := fieldcodec.Decode(b)
	for f.Next() {
		v.fields(&f)
	}
	m.versions = append(m.versions, v)
	return f.Err()
}

// encodeVersions encodes a versionsMessage.
func encodeVersions(sentAt monotime.Micros, versions []tableVersion) []byte {
	f := fieldcodec.Encode(make([]byte, 0, versionCapacity*len(versions)))
	m := versionsMessage{sentAt: sentAt, versions: versions}
	m.fields(&f)
	return f.Bytes()
}

// decodeVersions decodes a versionsMessage of at most limit versions.
func decodeVersions(b []byte, limit int) (sentAt monotime.Micros, versions []tableVersion, err error) {
	f := fieldcodec.Decode(b)
	m := versionsMessage{limit: limit}
	for f.Next() {
		m.fields(&f)
	}
	return m.sentAt, m.versions, decodingError(f.Err())
}

// pullMessage requests the changes to a table since a sequence, or the full table.
type pullMessage struct {
	home     string
	epoch    uint64 // the incarnation of the home's process
	sequence uint64 // of the requester's replica
	full     bool   // the full table is requested
}

// fields encodes or decodes the message's fields.
func (p *pullMessage) fields(f *fieldcodec.Fields) {
	f.String(1, &p.home)
	fieldcodec.Uint(f, 2, &p.epoch)
	fieldcodec.Uint(f, 3, &p.sequence)
	f.Bool(4, &p.full)
}

func (p *pullMessage) encode() []byte {
	f := fieldcodec.Encode(nil)
	p.fields(&f)
	return f.Bytes()
}

func decodePullMessage(b []byte) (p pullMessage, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		p.fields(&f)
	}
	return p, decodingError(f.Err())
}

// tableMessage carries changes to a table, or the full table. Its entries are sorted by name.
type tableMessage struct {
	tableVersion
	full         bool
	baseSequence uint64          // of changes: the sequence to which they apply
	sentAt       monotime.Micros // by the sender's clock, like the times in the entries
	entries      []tableEntry
}

// fields encodes or decodes the message's fields. It decodes at most limit entries.
func (m *tableMessage) fields(f *fieldcodec.Fields, limit int) {
	m.tableVersion.fields(f)
	f.Bool(5, &m.full)
	fieldcodec.Uint(f, 6, &m.baseSequence)
	if f.Encoding() {
		nested := make([]byte, 0, nestedCapacity)
		for i := range m.entries {
			nested = m.entries[i].encode(nested)
			f.AppendBytes(7, nested)
		}
	}
	if f.Decoding(7) {
		f.Fail(m.decodeEntry(f.Data(), limit))
	}
	f.ZigZag(8, &m.sentAt, maxWireTime)
}

// decodeEntry decodes, validates and appends the next entry of the message.
func (m *tableMessage) decodeEntry(b []byte, limit int) error {
	if len(m.entries) == limit {
		return ErrTooManyEntries
	}
	e, err := decodeTableEntry(b)
	if err != nil {
		return err
	}
	if last := len(m.entries) - 1; last >= 0 && m.entries[last].name >= e.name {
		return fmt.Errorf("%w: table entry %q follows %q", ErrMalformed, e.name, m.entries[last].name)
	}
	m.entries = append(m.entries, e)
	return nil
}

func (m *tableMessage) encode() []byte {
	f := fieldcodec.Encode(nil)
	m.fields(&f, 0)
	return f.Bytes()
}

// decodeTableMessage decodes a tableMessage of at most limit entries.
func decodeTableMessage(b []byte, limit int) (m tableMessage, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f, limit)
	}
	return m, decodingError(f.Err())
}

// fields encodes or decodes the entry's fields. A removed entry has only its name.
func (e *tableEntry) fields(f *fieldcodec.Fields) {
	f.String(1, &e.name)
	f.Bool(7, &e.removed)
	if f.Encoding() && e.removed {
		return
	}
	f.String(2, &e.zone)
	fieldcodec.Uint(f, 3, &e.incarnation)
	fieldcodec.UintUpTo(f, 4, &e.state, 255)
	f.Bool(5, &e.servesView)
	challengedAt := e.localChallengedAt() // the sender encodes all times by its own clock
	f.ZigZag(6, &challengedAt, maxWireTime)
	if f.Decoding(6) {
		e.challengedAt = challengedAt
	}
	e.supersededField(f)
}

// supersededField encodes or decodes the repeated field of the superseded incarnations.
func (e *tableEntry) supersededField(f *fieldcodec.Fields) {
	if f.Encoding() {
		for i := range e.supersededIncarnations {
			fieldcodec.Uint(f, 8, &e.supersededIncarnations[i])
		}
	}
	if !f.Decoding(8) {
		return
	}
	if len(e.supersededIncarnations) == maxReportedSuperseded {
		f.Fail(fmt.Errorf("%w: too many superseded processes of %q", ErrMalformed, e.name))
		return
	}
	e.supersededIncarnations = append(e.supersededIncarnations, f.Value())
}

// encode encodes the entry into b, overwriting its content, and returns the result.
func (e *tableEntry) encode(b []byte) []byte {
	f := fieldcodec.Encode(b[:0])
	e.fields(&f)
	return f.Bytes()
}

// decodeTableEntry decodes and validates one entry.
func decodeTableEntry(b []byte) (e tableEntry, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		e.fields(&f)
	}
	if err := f.Err(); err != nil {
		return e, err
	}
	validName := isValidName(e.name) && len(e.zone) <= maxNameLength
	if !validName || e.state > Left || !e.removed && e.incarnation == 0 {
		return e, fmt.Errorf("%w: invalid table entry %q", ErrMalformed, e.name)
	}
	return e, nil
}
