package wal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"

	"chutechute/fleet/replication"
	"chutechute/internal/testharness"
)

func TestMain(m *testing.M) { os.Exit(testharness.RunWithFixedSeed(m)) }

// entries returns entries of a term, for the indexes from one to another.
func entries(term, from, to uint64) (list []*raftpb.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, &raftpb.Entry{Index: &i, Term: &term, Data: []byte{byte(i), byte(term)}})
	}
	return list
}

func hardState(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Commit: &commit}
}

// countingIDs returns a function that returns 1, 2, 3 and so on.
func countingIDs() func() uint64 {
	n := uint64(0)
	return func() uint64 { n++; return n }
}

// lastIndex returns the index of the last persisted entry, in the log or in the snapshot.
func lastIndex(persisted *replication.PersistedState) uint64 {
	if n := len(persisted.Entries); n > 0 {
		return persisted.Entries[n-1].GetIndex()
	}
	return persisted.Snapshot.GetMetadata().GetIndex()
}

// modelStore is a Store together with a model of its expected contents.
type modelStore struct {
	store         *Store
	folder        string
	newReplicaID  func() uint64
	replicaID     uint64
	lastIndex     uint64
	term          uint64
	snapshotIndex uint64
}

func newModelStore(t *testing.T) *modelStore {
	parent, err := os.MkdirTemp(t.TempDir(), "s")
	require.NoError(t, err)
	m := &modelStore{folder: filepath.Join(parent, "disk"), newReplicaID: countingIDs(), term: 1}
	require.NoError(t, os.Mkdir(m.folder, 0o700))
	persisted := m.open(t)
	require.Zero(t, lastIndex(persisted), "a new folder is empty")
	m.replicaID = m.store.ReplicaID()
	return m
}

func (m *modelStore) open(t *testing.T) (persisted *replication.PersistedState) {
	var err error
	m.store, persisted, err = Open(m.folder, "site/n1", m.newReplicaID)
	require.NoError(t, err)
	return persisted
}

func (m *modelStore) logPath() string { return filepath.Join(m.folder, logName) }

func (m *modelStore) write(t *testing.T, save replication.Save) {
	save.GroupID = 7
	require.NoError(t, m.store.Write([]replication.Save{save}))
}

// appendEntries writes new entries after the last one.
func (m *modelStore) appendEntries(t *testing.T, count uint64) {
	added := entries(m.term, m.lastIndex+1, m.lastIndex+count)
	m.write(t, replication.Save{Entries: added, HardState: hardState(m.term, m.lastIndex)})
}

// overwrite replaces the last entry by one of another leader.
func (m *modelStore) overwrite(t *testing.T) {
	if m.lastIndex <= m.snapshotIndex {
		return
	}
	m.term++
	replaced := entries(m.term, m.lastIndex, m.lastIndex)
	m.write(t, replication.Save{Entries: replaced, HardState: hardState(m.term, m.lastIndex)})
}

func (m *modelStore) snapshot(t *testing.T) {
	if m.lastIndex <= m.snapshotIndex {
		return
	}
	m.snapshotIndex = m.lastIndex
	index, term := m.snapshotIndex, m.term
	m.write(t, replication.Save{Snapshot: &raftpb.Snapshot{
		Data:     []byte("all"),
		Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term},
	}})
}

func (m *modelStore) reopen(t *testing.T) {
	require.NoError(t, m.store.Close())
	persisted := m.open(t)
	require.Equal(t, m.replicaID, m.store.ReplicaID())
	require.Equal(t, m.lastIndex, lastIndex(persisted))
	require.Equal(t, m.snapshotIndex, persisted.Snapshot.GetMetadata().GetIndex())
	if n := len(persisted.Entries); n > 0 {
		require.Equal(t, m.term, persisted.Entries[n-1].GetTerm())
	}
}

// All writes are restored when the folder is opened again, for random sequences of appends, overwrites, snapshots and
// reopenings. If the log is truncated at any byte of the last write, only that write is lost. A flipped bit anywhere
// before it makes the folder corrupt: the folder is quarantined, and the new one has no state and a new replica ID.
func TestReopenedStoreHasWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		model := newModelStore(t)
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				count := rapid.Uint64Range(1, 5).Draw(rt, "entries")
				model.appendEntries(t, count)
				model.lastIndex += count
			case 2:
				model.overwrite(t)
			case 3:
				model.snapshot(t)
			case 4:
				model.reopen(t)
			}
		}
		before, err := os.ReadFile(model.logPath())
		require.NoError(t, err)
		model.appendEntries(t, 3)
		require.NoError(t, model.store.Close())
		log, err := os.ReadFile(model.logPath())
		require.NoError(t, err)

		cut := rapid.IntRange(len(before)+1, len(log)-1).Draw(rt, "cut")
		require.NoError(t, os.WriteFile(model.logPath(), log[:cut], 0o600))
		persisted := model.open(t)
		assert.Empty(t, model.store.QuarantinedPath)
		assert.Equal(t, model.replicaID, model.store.ReplicaID())
		assert.Equal(t, model.lastIndex, lastIndex(persisted))
		require.NoError(t, model.store.Close())

		if len(before) == 0 {
			return
		}
		corrupted := append([]byte(nil), log...)
		bit := rapid.IntRange(0, len(before)*8-1).Draw(rt, "bit")
		corrupted[bit/8] ^= 1 << (bit % 8)
		require.NoError(t, os.WriteFile(model.logPath(), corrupted, 0o600))
		persisted = model.open(t)
		assert.NotEmpty(t, model.store.QuarantinedPath)
		assert.NotEqual(t, model.replicaID, model.store.ReplicaID(), "a corrupt disk must not vote under its old ID")
		assert.Zero(t, persisted.GroupID)
		require.NoError(t, model.store.Close())
	})
}

// A folder that is already open, a folder of another front end and a missing folder cannot be opened.
func TestOpenFailsOnLockedForeignAndMissingFolders(t *testing.T) {
	folder := t.TempDir()
	store, _, err := Open(folder, "site/n1", countingIDs())
	require.NoError(t, err)
	_, _, err = Open(folder, "site/n1", countingIDs())
	assert.ErrorIs(t, err, ErrLocked)
	require.NoError(t, store.Close())
	_, _, err = Open(folder, "site/n2", countingIDs())
	assert.ErrorIs(t, err, ErrWrongOwner)
	_, _, err = Open(filepath.Join(folder, "missing"), "site/n1", countingIDs())
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// After a failed write nothing more is written, even if the disk works again.
func TestNothingIsWrittenAfterAFailedWrite(t *testing.T) {
	store, _, err := Open(t.TempDir(), "site/n1", countingIDs())
	require.NoError(t, err)
	goodFile := store.logFile
	readOnlyFile, err := os.Open(os.DevNull)
	require.NoError(t, err)
	store.logFile = readOnlyFile
	require.Error(t, store.Write([]replication.Save{{GroupID: 7, Entries: entries(1, 1, 2)}}))
	store.logFile = goodFile
	assert.ErrorIs(t, store.Write([]replication.Save{{GroupID: 7, Entries: entries(1, 1, 2)}}), ErrFailed)
}
