package fleet

import (
	"google.golang.org/protobuf/encoding/protowire"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/transport"
	"chutechute/internal/fieldcodec"
)

// bodyField encodes or decodes a field of bytes. It is encoded even if it is empty. Decoded bytes are a copy.
func bodyField(f *fieldcodec.Fields, number protowire.Number, body *[]byte) {
	if f.Encoding() {
		f.AppendBytes(number, *body)
		return
	}
	f.Copied(number, body)
}

// controlHeartbeat is the heartbeat of a control member. It contains the state of its replica, and the ages of the last
// heartbeats that it received from the others.
type controlHeartbeat struct {
	Incarnation     uint64
	ReplicaID       uint64 // 0 without a working replica
	Group           uint64 // ID of the replicated log that it belongs to; 0 for none
	Leader          uint64 // the leader's replica ID, 0 if it is not known
	Term            uint64
	AppliedIndex    uint64 // of the last command that was applied
	AppliedChecksum uint64 // over the responses to all commands up to AppliedIndex
	Leaving         bool
	Voter           bool
	Reports         []heartbeat.Report
	TableVersions   []byte // versions of the tables of attached front ends; nil if none may attach
}

func (m *controlHeartbeat) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &m.Incarnation)
	fieldcodec.Uint(f, 2, &m.ReplicaID)
	fieldcodec.Uint(f, 3, &m.Group)
	fieldcodec.Uint(f, 4, &m.Leader)
	fieldcodec.Uint(f, 5, &m.Term)
	fieldcodec.Uint(f, 6, &m.AppliedIndex)
	fieldcodec.Uint(f, 7, &m.AppliedChecksum)
	f.Bool(8, &m.Leaving)
	f.Bool(9, &m.Voter)
	heartbeat.ReportsField(f, 10, &m.Reports)
	f.Copied(11, &m.TableVersions)
}

func (m *controlHeartbeat) encode() []byte {
	f := fieldcodec.Encode(nil)
	m.fields(&f)
	return f.Bytes()
}

func decodeControlHeartbeat(b []byte) (m controlHeartbeat, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	return m, f.Err()
}

// bootstrapMessage asks a control member to join a new replicated log.
type bootstrapMessage struct {
	Group   uint64
	Members []byte // see replication.EncodeMembers
}

func (m *bootstrapMessage) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &m.Group)
	f.Copied(2, &m.Members)
}

func (m *bootstrapMessage) encode() []byte {
	f := fieldcodec.Encode(nil)
	m.fields(&f)
	return f.Bytes()
}

func decodeBootstrapMessage(b []byte) (m bootstrapMessage, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	return m, f.Err()
}

// replicationMessage is a message between replicas of one replicated log.
type replicationMessage struct {
	Group   uint64
	Message []byte // after decoding, it shares the memory of the input
}

func (m *replicationMessage) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &m.Group)
	f.Shared(2, &m.Message)
}

func (m *replicationMessage) encode() []byte {
	const maxOverhead = 16 // bytes
	f := fieldcodec.Encode(make([]byte, 0, len(m.Message)+maxOverhead))
	m.fields(&f)
	return f.Bytes()
}

func decodeReplicationMessage(b []byte) (m replicationMessage, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	return m, f.Err()
}

// relayMessage wraps a message between two control members that is sent through a third one.
type relayMessage struct {
	To          string
	From        string
	Incarnation uint64 // of the sender
	Kind        transport.Kind
	Body        []byte
}

func (m *relayMessage) fields(f *fieldcodec.Fields) {
	f.String(1, &m.To)
	f.String(2, &m.From)
	fieldcodec.Uint(f, 3, &m.Incarnation)
	fieldcodec.Uint(f, 4, &m.Kind)
	bodyField(f, 5, &m.Body)
}

func (m *relayMessage) encode() []byte {
	const expectedOverhead = 64 // bytes
	f := fieldcodec.Encode(make([]byte, 0, len(m.Body)+expectedOverhead))
	m.fields(&f)
	return f.Bytes()
}

func decodeRelayMessage(b []byte) (m relayMessage, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	return m, f.Err()
}

// forwardMessage wraps a message between an attached front end and the leader of the replicated log that one control
// member sends to another.
type forwardMessage struct {
	Incarnation uint64         // the attached front end's
	Kind        transport.Kind // Proposal to the leader; Response or Notification from it
	Body        []byte
}

// maxKind is the value that larger kinds are decoded as. No kind of message has this value.
const maxKind transport.Kind = 255

func (m *forwardMessage) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &m.Incarnation)
	fieldcodec.UintUpTo(f, 2, &m.Kind, maxKind)
	bodyField(f, 3, &m.Body)
}

func (m *forwardMessage) encode() []byte {
	const maxOverhead = 32 // bytes
	f := fieldcodec.Encode(make([]byte, 0, len(m.Body)+maxOverhead))
	m.fields(&f)
	return f.Bytes()
}

func decodeForwardMessage(b []byte) (m forwardMessage, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	return m, f.Err()
}
