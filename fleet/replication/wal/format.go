package wal

import (
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"chutechute/fleet/replication"
	"chutechute/internal/fieldcodec"
)

// formatVersion is the version of the folder's format.
const formatVersion = 1

// metadata is the contents of the metadata file.
type metadata struct {
	formatVersion uint64
	owner         string // the site and name of the front end
	replicaID     uint64
}

func (m *metadata) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &m.formatVersion)
	f.String(2, &m.owner)
	fieldcodec.Uint(f, 3, &m.replicaID)
}

func (m *metadata) encode() []byte {
	f := fieldcodec.Encode(nil)
	m.fields(&f)
	return f.Bytes()
}

func decodeMetadata(b []byte) (m metadata, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	return m, f.Err()
}

// logRecord is the contents of a record of the log: a replication.Save without its token and snapshot.
type logRecord struct {
	groupID    uint64
	hardState  *raftpb.HardState
	discardLog bool
	entries    []*raftpb.Entry
}

func newLogRecord(save replication.Save) logRecord {
	return logRecord{
		groupID:    save.GroupID,
		hardState:  save.HardState,
		discardLog: save.DiscardLog,
		entries:    save.Entries,
	}
}

// fields lists the fields in the order in which they are encoded, which is not that of their numbers.
func (r *logRecord) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &r.groupID)
	if f.Decoding(2) {
		r.hardState = &raftpb.HardState{}
		decodeMessage(f, r.hardState)
	}
	if f.Encoding() && r.hardState != nil {
		encodeMessage(f, 2, r.hardState)
	}
	f.Bool(4, &r.discardLog)
	if f.Decoding(3) {
		entry := &raftpb.Entry{}
		r.entries = append(r.entries, entry)
		decodeMessage(f, entry)
	}
	if f.Encoding() {
		for _, entry := range r.entries {
			encodeMessage(f, 3, entry)
		}
	}
}

// decodeMessage decodes the current field as a message of the Raft library.
func decodeMessage(f *fieldcodec.Fields, message proto.Message) {
	f.Fail(proto.Unmarshal(f.Data(), message))
}

// encodeMessage encodes a message of the Raft library.
func encodeMessage(f *fieldcodec.Fields, number protowire.Number, message proto.Message) {
	encoded, err := proto.Marshal(message)
	f.Fail(err)
	f.AppendBytes(number, encoded)
}

// appendTo appends the encoded record to b, with its header.
func (r *logRecord) appendTo(b []byte) ([]byte, error) {
	f := fieldcodec.Encode(nil)
	r.fields(&f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return appendRecord(b, f.Bytes()), nil
}

func decodeLogRecord(payload []byte) (r logRecord, err error) {
	f := fieldcodec.Decode(payload)
	for f.Next() {
		r.fields(&f)
	}
	return r, f.Err()
}
