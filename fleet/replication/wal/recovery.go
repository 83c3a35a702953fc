package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"chutechute/fleet/replication"
)

// readFolder reads the state that an earlier process has persisted.
func (s *Store) readFolder(owner string, metadataFile []byte) (*replication.PersistedState, error) {
	if err := s.readMetadata(owner, metadataFile); err != nil {
		return nil, err
	}
	snapshot, err := s.readSnapshot()
	if err != nil {
		return nil, err
	}
	s.state.snapshotIndex = snapshot.GetMetadata().GetIndex()
	if err := s.replayLog(); err != nil {
		return nil, err
	}
	if len(s.state.entries) > 0 && s.state.entries[0].GetIndex() > s.state.snapshotIndex+1 {
		return nil, fmt.Errorf("%w: log entries after the snapshot are missing", ErrCorrupt)
	}
	return &replication.PersistedState{
		GroupID:   s.state.groupID,
		HardState: s.state.hardState,
		Snapshot:  snapshot,
		Entries:   s.state.entries,
	}, nil
}

// readMetadata reads the replica ID and verifies that the folder belongs to the owner.
func (s *Store) readMetadata(owner string, file []byte) error {
	payload, rest, err := readRecord(file)
	if err != nil || len(rest) > 0 {
		return fmt.Errorf("%w: %s", ErrCorrupt, metadataName)
	}
	content, err := decodeMetadata(payload)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if content.owner != owner || content.formatVersion != formatVersion {
		return fmt.Errorf("%w: owner %q, format version %d", ErrWrongOwner, content.owner, content.formatVersion)
	}
	s.replicaID = content.replicaID
	return nil
}

// readSnapshot returns the snapshot, or nil if there is none.
func (s *Store) readSnapshot() (*raftpb.Snapshot, error) {
	file, err := os.ReadFile(s.path(snapshotName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	payload, rest, err := readRecord(file)
	snapshot := &raftpb.Snapshot{}
	if err != nil || len(rest) > 0 || proto.Unmarshal(payload, snapshot) != nil {
		return nil, fmt.Errorf("%w: %s", ErrCorrupt, snapshotName)
	}
	return snapshot, nil
}

// replayLog applies the records of the log and truncates a torn one at its end.
func (s *Store) replayLog() error {
	log, err := os.ReadFile(s.path(logName))
	if errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%w: %s is missing", ErrCorrupt, logName)
	}
	if err != nil {
		return err
	}
	for rest := log; len(rest) > 0; {
		payload, next, err := readRecord(rest)
		if err != nil {
			return s.truncateTornRecord(rest, int64(len(log)-len(rest)), err)
		}
		record, err := decodeLogRecord(payload)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		s.state.apply(record)
		rest = next
	}
	return nil
}

// truncateTornRecord truncates the log at the offset of a record for which readRecord returned an error. A record that
// is not torn makes the folder corrupt.
func (s *Store) truncateTornRecord(record []byte, offset int64, readErr error) error {
	if !isTorn(record, readErr) {
		return fmt.Errorf("%w: %s at offset %d", ErrCorrupt, logName, offset)
	}
	s.TruncatedBytes = int64(len(record))
	return os.Truncate(s.path(logName), offset)
}
