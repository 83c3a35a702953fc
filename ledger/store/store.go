// Package store is what a copy of the record keeps on a disk: a file of bbolt in a folder of its own, with a checksum of our
// own on every record, since the library has none on its data pages. It also draws the number that stands for the disk, and
// remembers whose it is.
//
// A write that fails ends the store: what the disk holds after a failed sync nobody knows, so nothing is tried again on the
// same pages. What was acknowledged before stays, as the library never overwrites pages of a finished commit.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"chutechute/ledger"
)

// Errors of Open and Write.
var (
	ErrLocked  = errors.New("store: another process has the folder")
	ErrForeign = errors.New("store: the folder is another front end's")
	ErrSpoilt  = errors.New("store: a record does not hold its checksum")
	ErrEnded   = errors.New("store: ended by an earlier failure")
)

const (
	fileName = "ledger.db"
	lockWait = 200 * time.Millisecond
	form     = 1 // of what is kept
)

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")
	keyForm    = []byte("form")
	keyOwner   = []byte("owner")
	keyNumber  = []byte("number")
	keyGroup   = []byte("group")
	keyState   = []byte("state")
	keySnap    = []byte("snapshot")
)

// Store is an open folder.
type Store struct {
	db     *bbolt.DB
	number uint64
	ended  bool
	// SetAside is the path to which a spoilt file was moved; empty where none was.
	SetAside string
}

// Open opens the folder of a front end, or begins with an empty one, for which number draws the disk's number. A file that
// can't be trusted is set aside, and what it held counts as lost: the disk gets a number that was never used.
func Open(folder, owner string, number func() uint64) (*Store, *ledger.Disk, error) {
	path := filepath.Join(folder, fileName)
	s, disk, err := open(path, owner, number)
	if err == nil || errors.Is(err, ErrLocked) || errors.Is(err, ErrForeign) || errors.Is(err, os.ErrPermission) {
		return s, disk, err
	}
	if _, missing := os.Stat(path); missing != nil {
		return nil, nil, err
	}
	aside := fmt.Sprintf("%s.spoilt-%d", path, time.Now().UnixNano())
	if moved := os.Rename(path, aside); moved != nil {
		return nil, nil, errors.Join(err, moved)
	}
	s, disk, again := open(path, owner, number)
	if again != nil {
		return nil, nil, errors.Join(err, again)
	}
	s.SetAside = aside
	return s, disk, nil
}

func open(path, owner string, number func() uint64) (s *Store, disk *ledger.Disk, err error) {
	// A file that was cut or flipped may make the library read where nothing is mapped.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bbolt.DB
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrSpoilt, p)
		}
		if err != nil && db != nil {
			func() {
				defer func() { _ = recover() }() // of a spoilt file
				db.Close()
			}()
			s, disk = nil, nil
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, nil, ErrLocked
	}
	if err != nil {
		return nil, nil, fmt.Errorf("store: %w", err)
	}
	s, disk = &Store{db: db}, &ledger.Disk{}
	err = db.Update(func(tx *bbolt.Tx) error {
		for e := range tx.Check() {
			return fmt.Errorf("%w: %w", ErrSpoilt, e)
		}
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		log, err := tx.CreateBucketIfNotExists(logBucket)
		if err != nil {
			return err
		}
		if meta.Get(keyNumber) == nil {
			if meta.Get(keyOwner) != nil || meta.Get(keyState) != nil {
				return ErrSpoilt
			}
			s.number = number()
			return errors.Join(put(meta, keyForm, []byte{form}), put(meta, keyOwner, []byte(owner)),
				put(meta, keyNumber, binary.BigEndian.AppendUint64(nil, s.number)))
		}
		return s.read(owner, meta, log, disk)
	})
	return s, disk, err
}

// read takes in what an earlier process kept.
func (s *Store) read(owner string, meta, log *bbolt.Bucket, disk *ledger.Disk) error {
	of, err := get(meta, keyOwner)
	if err != nil {
		return err
	}
	if string(of) != owner {
		return fmt.Errorf("%w: of %q", ErrForeign, of)
	}
	if f, err := get(meta, keyForm); err != nil || !bytes.Equal(f, []byte{form}) {
		return fmt.Errorf("%w: form %v", ErrForeign, f)
	}
	if s.number, err = getNumber(meta, keyNumber); err != nil {
		return err
	}
	if meta.Get(keyGroup) == nil {
		return nil
	}
	if disk.Group, err = getNumber(meta, keyGroup); err != nil {
		return err
	}
	if meta.Get(keyState) != nil {
		disk.State = &raftpb.HardState{}
		if err := getMessage(meta, keyState, disk.State); err != nil {
			return err
		}
	}
	first := uint64(0)
	if meta.Get(keySnap) != nil {
		disk.Snapshot = &raftpb.Snapshot{}
		if err := getMessage(meta, keySnap, disk.Snapshot); err != nil {
			return err
		}
		first = disk.Snapshot.GetMetadata().GetIndex() + 1
	}
	c := log.Cursor()
	for key, value := c.Seek(binary.BigEndian.AppendUint64(nil, first)); key != nil; key, value = c.Next() {
		body, err := checked(key, value)
		if err != nil {
			return err
		}
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(body, e); err != nil {
			return fmt.Errorf("%w: %w", ErrSpoilt, err)
		}
		if n := len(disk.Entries); e.GetIndex() != binary.BigEndian.Uint64(key) || n > 0 && e.GetIndex() != disk.Entries[n-1].GetIndex()+1 {
			return fmt.Errorf("%w: a gap in the log", ErrSpoilt)
		}
		disk.Entries = append(disk.Entries, e)
	}
	if n := len(disk.Entries); n > 0 && first > 0 && disk.Entries[0].GetIndex() != first {
		return fmt.Errorf("%w: a gap behind the snapshot", ErrSpoilt)
	}
	return nil
}

// Number is the disk's number.
func (s *Store) Number() uint64 { return s.number }

// Write makes a batch of saves last, in their order, with one commit.
func (s *Store) Write(batch []ledger.Save) (err error) {
	if s.ended {
		return ErrEnded
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrSpoilt, p)
		}
		s.ended = s.ended || err != nil
	}()
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, save := range batch {
			if err := write(tx, save); err != nil {
				return err
			}
		}
		return nil
	})
}

func write(tx *bbolt.Tx, s ledger.Save) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if meta.Get(keyGroup) == nil {
		if err := put(meta, keyGroup, binary.BigEndian.AppendUint64(nil, s.Group)); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(s.Snapshot) {
		if err := putMessage(meta, keySnap, s.Snapshot); err != nil {
			return err
		}
		upTo := s.Snapshot.GetMetadata().GetIndex()
		if s.Reset {
			upTo = math.MaxUint64
		}
		if err := prune(log, upTo); err != nil {
			return err
		}
	}
	if s.State != nil {
		if err := putMessage(meta, keyState, s.State); err != nil {
			return err
		}
	}
	if len(s.Entries) == 0 {
		return nil
	}
	// Entries of another leader may stand behind the first of these.
	c := log.Cursor()
	first := binary.BigEndian.AppendUint64(nil, s.Entries[0].GetIndex())
	for key, _ := c.Seek(first); key != nil; key, _ = c.Seek(first) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	for _, e := range s.Entries {
		if err := putMessage(log, binary.BigEndian.AppendUint64(nil, e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// prune takes out what a snapshot stands for.
func prune(log *bbolt.Bucket, upTo uint64) error {
	c := log.Cursor()
	for key, _ := c.First(); key != nil && binary.BigEndian.Uint64(key) <= upTo; key, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Close lets go of the folder.
func (s *Store) Close() error { return s.db.Close() }

const sumSize = 8

// sum is over the key too: a value that stands in another's place is spoilt.
func sum(key, value []byte) uint64 {
	h := xxhash.New()
	_, _ = h.Write(key) // it does not fail
	_, _ = h.Write(value)
	return h.Sum64()
}

func put(b *bbolt.Bucket, key, value []byte) error {
	record := make([]byte, 0, sumSize+len(value))
	record = binary.BigEndian.AppendUint64(record, sum(key, value))
	return b.Put(key, append(record, value...))
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	value, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(b, key, value)
}

func checked(key, record []byte) ([]byte, error) {
	if len(record) < sumSize || binary.BigEndian.Uint64(record) != sum(key, record[sumSize:]) {
		return nil, fmt.Errorf("%w: %x", ErrSpoilt, key)
	}
	return record[sumSize:], nil
}

func get(b *bbolt.Bucket, key []byte) ([]byte, error) { return checked(key, b.Get(key)) }

func getNumber(b *bbolt.Bucket, key []byte) (uint64, error) {
	value, err := get(b, key)
	if err != nil || len(value) != 8 {
		return 0, fmt.Errorf("%w: %s", ErrSpoilt, key)
	}
	return binary.BigEndian.Uint64(value), nil
}

func getMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	value, err := get(b, key)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(value, m); err != nil {
		return fmt.Errorf("%w: %w", ErrSpoilt, err)
	}
	return nil
}
