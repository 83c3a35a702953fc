package wal

import (
	"errors"
	"os"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"

	"chutechute/fleet/replication"
)

// Write persists a batch of saves in their order, with one sync and a few more for each snapshot among them. After an
// error, all further calls return ErrFailed.
func (s *Store) Write(batch []replication.Save) error {
	if s.failed {
		return ErrFailed
	}
	err := s.writeBatch(batch)
	s.failed = err != nil
	return err
}

func (s *Store) writeBatch(batch []replication.Save) (err error) {
	var records []byte
	for _, save := range batch {
		if !raft.IsEmptySnap(save.Snapshot) {
			if err := s.appendToLog(records); err != nil {
				return err
			}
			records = nil
			if err := s.writeSnapshot(save); err != nil {
				return err
			}
			continue
		}
		record := newLogRecord(save)
		s.state.apply(record)
		if records, err = record.appendTo(records); err != nil {
			return err
		}
	}
	return s.appendToLog(records)
}

func (s *Store) appendToLog(records []byte) error {
	if len(records) == 0 {
		return nil
	}
	if _, err := s.logFile.Write(records); err != nil {
		return err
	}
	return fsync(s.logFile)
}

// writeSnapshot replaces the snapshot and then the log. A process that ends between the two steps leaves the new
// snapshot with the old log, which is readable: entries that the snapshot covers are skipped.
func (s *Store) writeSnapshot(save replication.Save) error {
	encoded, err := proto.Marshal(save.Snapshot)
	if err != nil {
		return err
	}
	if save.DiscardLog {
		if err := s.discardLog(save); err != nil {
			return err
		}
	}
	if err := s.replaceFile(snapshotName, appendRecord(nil, encoded)); err != nil {
		return err
	}
	s.state.snapshotIndex = save.Snapshot.GetMetadata().GetIndex()
	s.state.apply(logRecord{groupID: save.GroupID, hardState: save.HardState, entries: save.Entries})
	return s.replaceLog()
}

// discardLog writes a record that discards all earlier entries of the log. Otherwise entries with a higher index than
// the snapshot would be taken for its continuation.
func (s *Store) discardLog(save replication.Save) error {
	discard := logRecord{groupID: save.GroupID, hardState: save.HardState, discardLog: true}
	record, err := discard.appendTo(nil)
	if err != nil {
		return err
	}
	if err := s.appendToLog(record); err != nil {
		return err
	}
	s.state.entries = nil
	return nil
}

// replaceLog begins a new log. Its first record has the hard state and the entries that the snapshot does not cover.
func (s *Store) replaceLog() error {
	first := s.state.record()
	record, err := first.appendTo(nil)
	if err != nil {
		return err
	}
	if err := s.replaceFile(logName, record); err != nil {
		return err
	}
	oldFile := s.logFile
	if s.logFile, err = s.openLog(0); err != nil {
		return err
	}
	return oldFile.Close()
}

// replaceFile replaces a file atomically: it writes and syncs a new file, renames it, and syncs the folder.
func (s *Store) replaceFile(name string, content []byte) error {
	newPath := s.path(name + newSuffix)
	file, err := os.OpenFile(newPath, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePermissions)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = fsync(file)
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := os.Rename(newPath, s.path(name)); err != nil {
		return err
	}
	return s.syncFolder()
}

func (s *Store) syncFolder() error {
	folder, err := os.Open(s.folder)
	if err != nil {
		return err
	}
	return errors.Join(fsync(folder), folder.Close())
}
