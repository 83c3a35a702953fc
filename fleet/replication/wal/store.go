// Package store is what a copy of the record keeps on a disk: a folder of its own with a number that stands for the disk, a
// snapshot, and a log of all writes since, each with its length and a checksum (xxhash).
//
//   - A write that fails ends the store: what the disk holds after a failed sync nobody knows, so nothing is tried again.
//   - A record that the end of the log cuts short, or that runs out in zeros, was under way when the power went; nobody was told
//     of it, and it is cut off. Any other record that does not hold its checksum makes the folder spoilt: it is set aside
//     whole, and the front end begins with an empty disk under a number that was never used.
//
// It was bbolt first. A file of it with flipped bits ended the process with a fault that can't be recovered from, in the
// library's work on pages as they lie in memory; here nothing is read before its checksum was.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"chutechute/fleet/replication"
	field "chutechute/internal/proto"
)

// Errors of Open and Write.
var (
	ErrLocked     = errors.New("store: another process has the folder")
	ErrWrongOwner = errors.New("store: the folder is another front end's")
	ErrCorrupt    = errors.New("store: spoilt")
	ErrFailed     = errors.New("store: ended by an earlier failure")
)

const (
	form       = 1 // of what is kept
	lockName   = "lock"
	metaName   = "meta"
	logName    = "log"
	snapName   = "snapshot"
	newSuffix  = ".new"
	headSize   = 16 // length:4 of the length:4 checksum:8
	mostRecord = 256 << 20
)

// Store is an open folder.
type Store struct {
	folder string
	lock   *os.File
	log    *os.File
	number uint64
	ended  bool
	state  *raftpb.HardState // the last that was written, for the next log
	group  uint64
	tail   []*raftpb.Entry // behind the snapshot, for the next log
	snap   uint64          // index of the snapshot
	// QuarantinedPath is the path to which a spoilt folder was moved; empty where none was. Cut is how many bytes of a write that was
	// under way were cut off.
	QuarantinedPath string
	TruncatedBytes  int64
}

// Open opens the folder of a front end, or begins with an empty one, for which number draws the disk's number.
func Open(folder, owner string, number func() uint64) (*Store, *replication.PersistedState, error) {
	s, disk, err := open(folder, owner, number)
	if !errors.Is(err, ErrCorrupt) {
		return s, disk, err
	}
	aside := fmt.Sprintf("%s.spoilt-%d", strings.TrimRight(folder, "/"), time.Now().UnixNano())
	if moved := os.Rename(folder, aside); moved != nil {
		return nil, nil, errors.Join(err, moved)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, err
	}
	s, disk, again := open(folder, owner, number)
	if again != nil {
		return nil, nil, errors.Join(err, again)
	}
	s.QuarantinedPath = aside
	return s, disk, nil
}

func open(folder, owner string, number func() uint64) (s *Store, disk *replication.PersistedState, err error) {
	s, disk = &Store{folder: folder}, &replication.PersistedState{}
	defer func() {
		if err != nil {
			s.shut()
			s, disk = nil, nil
		}
	}()
	if s.lock, err = os.OpenFile(s.path(lockName), os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return
	}
	if unix.Flock(int(s.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
		return s, disk, ErrLocked
	}
	meta, err := os.ReadFile(s.path(metaName))
	if errors.Is(err, fs.ErrNotExist) {
		return s, disk, s.found(owner, number)
	}
	if err == nil {
		err = s.recall(owner, meta, disk)
	}
	if err == nil {
		s.log, err = os.OpenFile(s.path(logName), os.O_WRONLY|os.O_APPEND, 0o600)
	}
	return s, disk, err
}

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// found begins with an empty disk. What an earlier front end left without its meta is of no use.
func (s *Store) found(owner string, number func() uint64) (err error) {
	for _, name := range []string{logName, snapName} {
		if _, err := os.Stat(s.path(name)); err == nil {
			return fmt.Errorf("%w: %s is there and %s is not", ErrCorrupt, name, metaName)
		}
	}
	s.number = number()
	body := field.Uint(nil, 1, form)
	body = field.String(body, 2, owner)
	body = field.Uint(body, 3, s.number)
	if s.log, err = os.OpenFile(s.path(logName), os.O_WRONLY|os.O_APPEND|os.O_CREATE, 0o600); err != nil {
		return err
	}
	if err := s.log.Sync(); err != nil {
		return err
	}
	return s.replace(metaName, sealed(nil, body))
}

// recall takes in what an earlier process kept.
func (s *Store) recall(owner string, meta []byte, disk *replication.PersistedState) error {
	body, rest, err := unsealed(meta)
	if err != nil || len(rest) > 0 {
		return fmt.Errorf("%w: %s", ErrCorrupt, metaName)
	}
	var of string
	var kept uint64
	if err := field.Each(body, func(f field.Field) error {
		switch f.Number {
		case 1:
			kept = f.Uint
		case 2:
			of = f.Text()
		case 3:
			s.number = f.Uint
		}
		return nil
	}); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if of != owner || kept != form {
		return fmt.Errorf("%w: of %q, form %d", ErrWrongOwner, of, kept)
	}
	if b, err := os.ReadFile(s.path(snapName)); err == nil {
		body, rest, err := unsealed(b)
		disk.Snapshot = &raftpb.Snapshot{}
		if err != nil || len(rest) > 0 || proto.Unmarshal(body, disk.Snapshot) != nil {
			return fmt.Errorf("%w: %s", ErrCorrupt, snapName)
		}
		s.snap = disk.Snapshot.GetMetadata().GetIndex()
	} else if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := s.replay(); err != nil {
		return err
	}
	disk.Group, disk.HardState, disk.Entries = s.group, s.state, s.tail
	if len(s.tail) > 0 && s.tail[0].GetIndex() > s.snap+1 {
		return fmt.Errorf("%w: a gap behind the snapshot", ErrCorrupt)
	}
	return nil
}

// replay takes in the log, and cuts off a write that was under way.
func (s *Store) replay() error {
	b, err := os.ReadFile(s.path(logName))
	if errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%w: no %s", ErrCorrupt, logName)
	}
	if err != nil {
		return err
	}
	for rest := b; len(rest) > 0; {
		body, next, err := unsealed(rest)
		if err != nil {
			if !torn(rest, err) {
				return fmt.Errorf("%w: %s at %d", ErrCorrupt, logName, len(b)-len(rest))
			}
			s.TruncatedBytes = int64(len(rest))
			return os.Truncate(s.path(logName), int64(len(b)-len(rest)))
		}
		if err := s.take(body); err != nil {
			return err
		}
		rest = next
	}
	return nil
}

// take follows one record.
func (s *Store) take(body []byte) error {
	var save replication.Save
	err := field.Each(body, func(f field.Field) error {
		switch f.Number {
		case 1:
			save.Group = f.Uint
		case 2:
			save.HardState = &raftpb.HardState{}
			return proto.Unmarshal(f.Data, save.HardState)
		case 3:
			e := &raftpb.Entry{}
			save.Entries = append(save.Entries, e)
			return proto.Unmarshal(f.Data, e)
		case 4:
			save.DiscardLog = f.Uint != 0
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	s.follow(save)
	return nil
}

// follow keeps in mind what the next log has to begin with.
func (s *Store) follow(save replication.Save) {
	if s.group == 0 {
		s.group = save.Group
	}
	if save.HardState != nil {
		s.state = save.HardState
	}
	if save.DiscardLog {
		s.tail = nil
	}
	for _, e := range save.Entries {
		for n := len(s.tail); n > 0 && s.tail[n-1].GetIndex() >= e.GetIndex(); n = len(s.tail) {
			s.tail = s.tail[:n-1]
		}
		if e.GetIndex() > s.snap {
			s.tail = append(s.tail, e)
		}
	}
	for len(s.tail) > 0 && s.tail[0].GetIndex() <= s.snap {
		s.tail = s.tail[1:]
	}
}

// ReplicaID is the disk's number.
func (s *Store) ReplicaID() uint64 { return s.number }

// Write makes a batch of saves last, in their order, with one sync; with a snapshot among them it takes a few.
func (s *Store) Write(batch []replication.Save) (err error) {
	if s.ended {
		return ErrFailed
	}
	defer func() { s.ended = err != nil }()
	var b []byte
	for _, save := range batch {
		if !raft.IsEmptySnap(save.Snapshot) {
			if err := s.flush(&b); err != nil {
				return err
			}
			if err := s.snapshot(save); err != nil {
				return err
			}
			continue
		}
		s.follow(save)
		if b, err = record(b, save); err != nil {
			return err
		}
	}
	return s.flush(&b)
}

func (s *Store) flush(b *[]byte) error {
	if len(*b) == 0 {
		return nil
	}
	if _, err := s.log.Write(*b); err != nil {
		return err
	}
	*b = nil
	return fsync(s.log)
}

// snapshot puts a snapshot in place of the one before, and begins a new log behind it. A log that is older than the snapshot
// only holds entries that it stands for, so whichever of the two steps is the last to be done, the folder can be read.
func (s *Store) snapshot(save replication.Save) error {
	body, err := proto.Marshal(save.Snapshot)
	if err != nil {
		return err
	}
	index := save.Snapshot.GetMetadata().GetIndex()
	if save.DiscardLog { // what the log holds behind the snapshot must not be taken for its continuation
		reset, err := record(nil, replication.Save{Group: save.Group, HardState: save.HardState, DiscardLog: true})
		if err != nil {
			return err
		}
		if err := s.flush(&reset); err != nil {
			return err
		}
		s.tail = nil
	}
	if err := s.replace(snapName, sealed(nil, body)); err != nil {
		return err
	}
	s.snap = index
	s.follow(replication.Save{Group: save.Group, HardState: save.HardState, Entries: save.Entries})
	b, err := record(nil, replication.Save{Group: s.group, HardState: s.state, Entries: s.tail})
	if err != nil {
		return err
	}
	if err := s.replace(logName, b); err != nil {
		return err
	}
	old := s.log
	if s.log, err = os.OpenFile(s.path(logName), os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	return old.Close()
}

// replace puts a file in place of another: written beside it, synced, renamed, and the folder synced.
func (s *Store) replace(name string, b []byte) error {
	f, err := os.OpenFile(s.path(name+newSuffix), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = fsync(f)
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(s.path(name+newSuffix), s.path(name)); err != nil {
		return err
	}
	d, err := os.Open(s.folder)
	if err != nil {
		return err
	}
	return errors.Join(fsync(d), d.Close())
}

func record(b []byte, save replication.Save) ([]byte, error) {
	body := field.Uint(nil, 1, save.Group)
	if save.HardState != nil {
		state, err := proto.Marshal(save.HardState)
		if err != nil {
			return nil, err
		}
		body = field.Message(body, 2, state)
	}
	body = field.Bool(body, 4, save.DiscardLog)
	for _, e := range save.Entries {
		entry, err := proto.Marshal(e)
		if err != nil {
			return nil, err
		}
		body = field.Message(body, 3, entry)
	}
	return sealed(b, body), nil
}

// sealed adds a record: its length, a checksum of that, the checksum over length and body, its body.
func sealed(b, body []byte) []byte {
	n := uint32(len(body))
	b = binary.BigEndian.AppendUint32(b, n)
	b = binary.BigEndian.AppendUint32(b, ofLength(n))
	b = binary.BigEndian.AppendUint64(b, sum(body))
	return append(b, body...)
}

// ofLength tells a true length from a flipped one: by a wrong one what follows would pass for a write cut short.
func ofLength(n uint32) uint32 {
	return uint32(xxhash.Sum64(binary.BigEndian.AppendUint32(nil, n)))
}

func sum(body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body)))) // it does not fail
	_, _ = h.Write(body)
	return h.Sum64()
}

// errTorn says that the bytes end within the record.
var errTorn = errors.New("store: torn")

func unsealed(b []byte) (body, rest []byte, err error) {
	if len(b) < headSize {
		return nil, nil, errTorn
	}
	size := binary.BigEndian.Uint32(b)
	n := int(size)
	if ofLength(size) != binary.BigEndian.Uint32(b[4:]) || n > mostRecord {
		return nil, nil, ErrCorrupt
	}
	if len(b)-headSize < n {
		return nil, nil, errTorn
	}
	body = b[headSize : headSize+n]
	if binary.BigEndian.Uint64(b[8:]) != sum(body) {
		return nil, nil, ErrCorrupt
	}
	return body, b[headSize+n:], nil
}

// torn says whether what begins here was a write that did not come to its end: the file ends within it, or holds zeros that
// were never written over.
func torn(b []byte, err error) bool { return errors.Is(err, errTorn) || allZero(b) }

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// Close lets go of the folder.
func (s *Store) Close() error { return s.shut() }

func (s *Store) shut() (err error) {
	for _, f := range []*os.File{s.log, s.lock} {
		if f != nil {
			err = errors.Join(err, f.Close())
		}
	}
	return err
}
