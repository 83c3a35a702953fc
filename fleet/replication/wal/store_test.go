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
	"chutechute/internal/standin"
)

func TestMain(m *testing.M) { os.Exit(standin.Seeded(m)) }

func entries(term uint64, from, to uint64) (list []*raftpb.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, &raftpb.Entry{Index: &i, Term: &term, Data: []byte{byte(i), byte(term)}})
	}
	return list
}

func state(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Commit: &commit}
}

func numbers() func() uint64 {
	n := uint64(0)
	return func() uint64 { n++; return n }
}

func last(d *replication.PersistedState) uint64 {
	if n := len(d.Entries); n > 0 {
		return d.Entries[n-1].GetIndex()
	}
	return d.Snapshot.GetMetadata().GetIndex()
}

// What was written is there after any number of openings, whatever the order of appends, overwrites and snapshots; a cut at any
// byte of the last write loses that write alone, and a flipped bit anywhere is found and never served.
func TestKeepsWhatWasWritten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "s")
		require.NoError(t, err)
		folder := filepath.Join(dir, "disk")
		require.NoError(t, os.Mkdir(folder, 0o700))
		next := numbers()
		s, disk, err := Open(folder, "site/n1", next)
		require.NoError(t, err)
		require.Zero(t, last(disk), "a new folder holds nothing")
		number := s.ReplicaID()
		at, term, snap := uint64(0), uint64(1), uint64(0)
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				n := rapid.Uint64Range(1, 5).Draw(rt, "entries")
				require.NoError(t, s.Write([]replication.Save{{Group: 7, Entries: entries(term, at+1, at+n), HardState: state(term, at)}}))
				at += n
			case 2: // another leader's entries in place of the last
				if at > snap {
					term++
					require.NoError(t, s.Write([]replication.Save{{Group: 7, Entries: entries(term, at, at), HardState: state(term, at)}}))
				}
			case 3:
				if at > snap {
					snap = at
					t := term
					require.NoError(rt, s.Write([]replication.Save{{Group: 7, Snapshot: &raftpb.Snapshot{Data: []byte("all"),
						Metadata: &raftpb.SnapshotMetadata{Index: &snap, Term: &t}}}}))
				}
			case 4:
				require.NoError(t, s.Close())
				s, disk, err = Open(folder, "site/n1", next)
				require.NoError(t, err)
				require.Equal(t, number, s.ReplicaID())
				require.Equal(t, at, last(disk))
				require.Equal(t, snap, disk.Snapshot.GetMetadata().GetIndex())
				if n := len(disk.Entries); n > 0 {
					require.Equal(t, term, disk.Entries[n-1].GetTerm())
				}
			}
		}
		before, err := os.ReadFile(filepath.Join(folder, logName))
		require.NoError(t, err)
		require.NoError(t, s.Write([]replication.Save{{Group: 7, Entries: entries(term, at+1, at+3), HardState: state(term, at)}}))
		require.NoError(t, s.Close())
		log := filepath.Join(folder, logName)
		b, err := os.ReadFile(log)
		require.NoError(t, err)
		cut := rapid.IntRange(len(before)+1, len(b)-1).Draw(rt, "cut")
		require.NoError(t, os.WriteFile(log, b[:cut], 0o600))
		s, disk, err = Open(folder, "site/n1", next)
		require.NoError(t, err)
		assert.Empty(t, s.QuarantinedPath)
		assert.Equal(t, number, s.ReplicaID())
		assert.Equal(t, at, last(disk))
		require.NoError(t, s.Close())
		if len(before) > 0 {
			flipped := append([]byte(nil), b...)
			bit := rapid.IntRange(0, len(before)*8-1).Draw(rt, "bit")
			flipped[bit/8] ^= 1 << (bit % 8)
			require.NoError(t, os.WriteFile(log, flipped, 0o600))
			s, disk, err = Open(folder, "site/n1", next)
			require.NoError(t, err)
			assert.NotEmpty(t, s.QuarantinedPath)
			assert.NotEqual(t, number, s.ReplicaID(), "a spoilt disk must not vote under its old number")
			assert.Zero(t, disk.Group)
			require.NoError(t, s.Close())
		}
	})
}

// Two processes on one folder, another front end's folder and one that can't be written each have their outcome.
func TestFoldersThatCanNotBeUsed(t *testing.T) {
	folder := t.TempDir()
	s, _, err := Open(folder, "site/n1", numbers())
	require.NoError(t, err)
	_, _, err = Open(folder, "site/n1", numbers())
	assert.ErrorIs(t, err, ErrLocked)
	require.NoError(t, s.Close())
	_, _, err = Open(folder, "site/n2", numbers())
	assert.ErrorIs(t, err, ErrWrongOwner)
	_, _, err = Open(filepath.Join(folder, "missing"), "site/n1", numbers())
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// After a write that failed nothing more is written, even where the disk would take it again.
func TestNoSecondTryAfterAFailure(t *testing.T) {
	s, _, err := Open(t.TempDir(), "site/n1", numbers())
	require.NoError(t, err)
	good := s.log
	bad, err := os.Open(os.DevNull) // not for writing
	require.NoError(t, err)
	s.log = bad
	require.Error(t, s.Write([]replication.Save{{Group: 7, Entries: entries(1, 1, 2)}}))
	s.log = good
	assert.ErrorIs(t, s.Write([]replication.Save{{Group: 7, Entries: entries(1, 1, 2)}}), ErrFailed)
}
