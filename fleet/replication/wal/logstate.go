package wal

import "go.etcd.io/raft/v3/raftpb"

// logState is the state that results from all records of the log. The next log begins with it.
type logState struct {
	groupID       uint64
	hardState     *raftpb.HardState
	entries       []*raftpb.Entry // after the snapshot
	snapshotIndex uint64
}

// apply applies a record of the log.
func (s *logState) apply(record logRecord) {
	if s.groupID == 0 {
		s.groupID = record.groupID
	}
	if record.hardState != nil {
		s.hardState = record.hardState
	}
	if record.discardLog {
		s.entries = nil
	}
	for _, entry := range record.entries {
		s.truncateFrom(entry.GetIndex())
		if entry.GetIndex() > s.snapshotIndex {
			s.entries = append(s.entries, entry)
		}
	}
	for len(s.entries) > 0 && s.entries[0].GetIndex() <= s.snapshotIndex {
		s.entries = s.entries[1:]
	}
}

// truncateFrom removes the entries from an index on, because entries of another term replace them.
func (s *logState) truncateFrom(index uint64) {
	n := len(s.entries)
	for n > 0 && s.entries[n-1].GetIndex() >= index {
		n--
	}
	s.entries = s.entries[:n]
}

// record returns the first record of the next log, which contains the whole state.
func (s *logState) record() logRecord {
	return logRecord{groupID: s.groupID, hardState: s.hardState, entries: s.entries}
}
