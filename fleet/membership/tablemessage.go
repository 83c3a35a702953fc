package membership

import (
	"fmt"

	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// maxReportedSuperseded bounds the superseded incarnations that a table's entry reports.
const maxReportedSuperseded = 4

// versionCapacity is the bytes that suffice for most encoded versions.
const versionCapacity = 64

// tableVersion is a version of a home's table.
type tableVersion struct {
	home     string
	epoch    uint64 // the incarnation of the home's process
	sequence uint64
	digest   uint64 // over the entries
}

// fields lists the version's fields, which stand first in a tableMessage too.
func (v *tableVersion) fields(f *fieldcodec.Fields) {
	f.String(1, &v.home)
	fieldcodec.Uint(f, 2, &v.epoch)
	fieldcodec.Uint(f, 3, &v.sequence)
	fieldcodec.Uint(f, 4, &v.digest)
}

// versionsMessage is the part of a control member's heartbeat that carries versions of tables.
type versionsMessage struct {
	sentAt   monotime.Micros // by the sender's clock, from which others estimate the offset between clocks
	versions []tableVersion
	limit    int // of decoded versions
}

// fields lists the message's fields. The versions are not a fieldcodec.Messages, whose function value would cost a
// heartbeat two allocations more.
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

// encode encodes the version into the buffer b, which it overwrites.
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

// encodeVersions encodes versions with the time of sending.
func encodeVersions(sentAt monotime.Micros, versions []tableVersion) []byte {
	f := fieldcodec.Encode(make([]byte, 0, versionCapacity*len(versions)))
	m := versionsMessage{sentAt: sentAt, versions: versions}
	m.fields(&f)
	return f.Bytes()
}

// decodeVersions decodes at most limit versions.
func decodeVersions(b []byte, limit int) (sentAt monotime.Micros, versions []tableVersion, err error) {
	f := fieldcodec.Decode(b)
	m := versionsMessage{limit: limit}
	for f.Next() {
		m.fields(&f)
	}
	return m.sentAt, m.versions, decodingError(f.Err())
}

// pullMessage requests the changes of a table after a sequence, or all of the table.
type pullMessage struct {
	home     string
	epoch    uint64
	sequence uint64
	full     bool
}

// fields lists the message's fields.
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

// tableMessage is changes of a table, or all of it. Its entries are sorted by name.
type tableMessage struct {
	tableVersion
	full         bool
	baseSequence uint64          // of changes: the sequence that they follow
	sentAt       monotime.Micros // by the sender's clock, as are the entries' times
	entries      []tableEntry
}

// fields lists the message's fields; at most limit entries are decoded.
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

// decodeEntry decodes and checks the next entry of the message.
func (m *tableMessage) decodeEntry(b []byte, limit int) error {
	if len(m.entries) == limit {
		return ErrTooManyEntries
	}
	e, err := decodeTableEntry(b)
	if err != nil {
		return err
	}
	if last := len(m.entries) - 1; last >= 0 && m.entries[last].name >= e.name {
		return fmt.Errorf("%w: %q after %q", ErrMalformed, e.name, m.entries[last].name)
	}
	m.entries = append(m.entries, e)
	return nil
}

func (m *tableMessage) encode() []byte {
	f := fieldcodec.Encode(nil)
	m.fields(&f, 0)
	return f.Bytes()
}

// decodeTableMessage decodes a table of at most limit entries.
func decodeTableMessage(b []byte, limit int) (m tableMessage, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f, limit)
	}
	return m, decodingError(f.Err())
}

// fields lists the entry's fields; a removed entry has its name only.
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
	challengedAt := e.localChallengedAt() // the sender's clock is this side's while encoding
	f.ZigZag(6, &challengedAt, maxWireTime)
	if f.Decoding(6) {
		e.challengedAt = challengedAt
	}
	e.supersededField(f)
}

// supersededField is the repeated field of the superseded incarnations.
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

// encode encodes the entry into the buffer b, which it overwrites.
func (e *tableEntry) encode(b []byte) []byte {
	f := fieldcodec.Encode(b[:0])
	e.fields(&f)
	return f.Bytes()
}

// decodeTableEntry decodes and checks one entry.
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
		return e, fmt.Errorf("%w: the table entry %q", ErrMalformed, e.name)
	}
	return e, nil
}
