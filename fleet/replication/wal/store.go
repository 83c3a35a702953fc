package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"chutechute/fleet/replication"
)

// Files of the folder.
const (
	lockName     = "lock"
	metadataName = "meta"
	logName      = "log"
	snapshotName = "snapshot"
	newSuffix    = ".new" // of a file that is written, until it replaces the previous one
)

const (
	folderPermissions = 0o700
	filePermissions   = 0o600
	// quarantineSuffix is appended to the path of a corrupt folder, followed by the time in nanoseconds since 1970.
	quarantineSuffix = ".spoilt-"
)

// Store is an open folder. It is not safe for concurrent use.
type Store struct {
	folder    string
	lockFile  *os.File
	logFile   *os.File
	replicaID uint64
	failed    bool // a write has failed
	state     logState

	// QuarantinedPath is the path to which a corrupt folder was moved; empty if there was none.
	QuarantinedPath string
	// TruncatedBytes is the size of the torn record that was truncated at the end of the log; 0 if there was none.
	TruncatedBytes int64
}

// Open opens the folder of a front end, its owner, and returns the state that the folder contains. An empty folder gets
// the replica ID that newReplicaID returns. A corrupt folder is quarantined, by renaming it, and replaced by an empty
// one. The error is ErrLocked, ErrWrongOwner, or that of a file operation.
func Open(
	folder, owner string, newReplicaID func() uint64,
) (*Store, *replication.PersistedState, error) {
	store, persisted, err := open(folder, owner, newReplicaID)
	if !errors.Is(err, ErrCorrupt) {
		return store, persisted, err
	}
	quarantinedPath := fmt.Sprintf("%s%s%d", strings.TrimRight(folder, "/"), quarantineSuffix, time.Now().UnixNano())
	if renameErr := os.Rename(folder, quarantinedPath); renameErr != nil {
		return nil, nil, errors.Join(err, renameErr)
	}
	if err := os.MkdirAll(folder, folderPermissions); err != nil {
		return nil, nil, err
	}
	store, persisted, secondErr := open(folder, owner, newReplicaID)
	if secondErr != nil {
		return nil, nil, errors.Join(err, secondErr)
	}
	store.QuarantinedPath = quarantinedPath
	return store, persisted, nil
}

func open(
	folder, owner string, newReplicaID func() uint64,
) (*Store, *replication.PersistedState, error) {
	store := &Store{folder: folder}
	persisted, err := store.load(owner, newReplicaID)
	if err != nil {
		_ = store.Close() // the earlier error is returned
		return nil, nil, err
	}
	return store, persisted, nil
}

// load locks the folder and reads it, or initializes it if it is empty.
func (s *Store) load(owner string, newReplicaID func() uint64) (*replication.PersistedState, error) {
	if err := s.lock(); err != nil {
		return nil, err
	}
	metadataFile, err := os.ReadFile(s.path(metadataName))
	if errors.Is(err, fs.ErrNotExist) {
		return &replication.PersistedState{}, s.initialize(owner, newReplicaID)
	}
	if err != nil {
		return nil, err
	}
	persisted, err := s.readFolder(owner, metadataFile)
	if err != nil {
		return nil, err
	}
	s.logFile, err = s.openLog(0)
	return persisted, err
}

// lock locks the folder against other processes until the lock file is closed.
func (s *Store) lock() (err error) {
	s.lockFile, err = os.OpenFile(s.path(lockName), os.O_RDWR|os.O_CREATE, filePermissions)
	if err != nil {
		return err
	}
	if unix.Flock(int(s.lockFile.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
		return ErrLocked
	}
	return nil
}

func (s *Store) openLog(flags int) (*os.File, error) {
	return os.OpenFile(s.path(logName), os.O_WRONLY|os.O_APPEND|flags, filePermissions)
}

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// initialize sets up an empty folder. A folder with a log or snapshot but no metadata is corrupt.
func (s *Store) initialize(owner string, newReplicaID func() uint64) (err error) {
	for _, name := range []string{logName, snapshotName} {
		if _, err := os.Stat(s.path(name)); err == nil {
			return fmt.Errorf("%w: %s exists but %s does not", ErrCorrupt, name, metadataName)
		}
	}
	s.replicaID = newReplicaID()
	if s.logFile, err = s.openLog(os.O_CREATE); err != nil {
		return err
	}
	if err := s.logFile.Sync(); err != nil {
		return err
	}
	content := metadata{formatVersion: formatVersion, owner: owner, replicaID: s.replicaID}
	return s.replaceFile(metadataName, appendRecord(nil, content.encode()))
}

// ReplicaID returns the replica ID that the folder was initialized with.
func (s *Store) ReplicaID() uint64 { return s.replicaID }

// Close closes the folder's files and unlocks it.
func (s *Store) Close() (err error) {
	for _, file := range []*os.File{s.logFile, s.lockFile} {
		if file != nil {
			err = errors.Join(err, file.Close())
		}
	}
	return err
}
