package replication

import "chutechute/internal/fieldcodec"

// stateSnapshot is the replicated state as it is encoded in a snapshot.
type stateSnapshot struct {
	index    uint64 // of the last entry that was applied
	checksum uint64 // after that entry
	parts    []snapshotPart
	members  []Member // in ascending order of ID
}

// snapshotPart is the state of one state machine.
type snapshotPart struct {
	stateMachineID uint64
	version        uint64
	state          []byte
}

func (s *stateSnapshot) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &s.index)
	fieldcodec.Uint(f, 2, &s.checksum)
	fieldcodec.Messages(f, 3, &s.parts, 0, nil, (*snapshotPart).fields)
	fieldcodec.Messages(f, 4, &s.members, 0, nil, (*Member).fields)
}

func (p *snapshotPart) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &p.stateMachineID)
	fieldcodec.Uint(f, 2, &p.version)
	if f.Encoding() {
		f.AppendBytes(3, p.state) // even if it is empty
	} else {
		f.Shared(3, &p.state)
	}
}

func (s *stateSnapshot) encode() []byte {
	f := fieldcodec.Encode(nil)
	s.fields(&f)
	return f.Bytes()
}

// decodeStateSnapshot decodes a snapshot. The states in it are parts of b. With an error, it returns what it decoded
// before the error.
func decodeStateSnapshot(b []byte) (s stateSnapshot, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		s.fields(&f)
	}
	return s, f.Err()
}
