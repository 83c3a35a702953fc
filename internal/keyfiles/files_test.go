package keyfiles_test

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/identity/token"
	"chutechute/internal/keyfiles"
)

// add adds a key to a set.
func add(t *testing.T, private, public, id string) {
	k, err := token.Generate(id, "EdDSA")
	require.NoError(t, err)
	require.NoError(t, keyfiles.Change(private, public, func(s *token.KeySet) error { return s.Add(k, 0) }))
}

// Many who add keys at once lose none, and whoever reads meanwhile never sees half a file.
func TestChangesTakeTurns(t *testing.T) {
	dir := t.TempDir()
	private, public := filepath.Join(dir, "p.jwks"), filepath.Join(dir, "k.jwks")
	add(t, private, public, "first")
	var writers, reader sync.WaitGroup
	var over atomic.Bool
	reads := 0
	reader.Go(func() {
		for !over.Load() {
			if _, err := keyfiles.Keys(public); assert.NoError(t, err) {
				reads++
			}
		}
	})
	for n := range 4 {
		writers.Go(func() {
			for m := range 5 {
				add(t, private, public, fmt.Sprint(n, "-", m))
			}
		})
	}
	writers.Wait()
	over.Store(true)
	reader.Wait()
	keys, err := keyfiles.Keys(public)
	require.NoError(t, err)
	assert.Len(t, keys, 21)
	assert.Positive(t, reads)
	info, err := os.Stat(private)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	require.NoError(t, os.Chmod(private, 0o640))
	_, err = keyfiles.ReadPrivate(private)
	assert.ErrorContains(t, err, "others may read it")
	left, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Len(t, left, 3, "no file is left over but the lock")
}

// A file that is truncated, half written, deleted, or in whose place a folder or a pipe comes, leaves the last good content
// in force; a good one is taken over.
func TestWatch(t *testing.T) {
	dir := t.TempDir()
	private, path := filepath.Join(dir, "p.jwks"), filepath.Join(dir, "k.jwks")
	add(t, private, path, "a")
	good, err := os.ReadFile(path)
	require.NoError(t, err)
	var loads, failures, held atomic.Int32
	files := []*keyfiles.File{{Path: path, Load: func(path string) error {
		keys, err := keyfiles.Keys(path)
		if err != nil {
			failures.Add(1)
			return err
		}
		held.Store(int32(len(keys)))
		loads.Add(1)
		return nil
	}}}
	require.NoError(t, keyfiles.Load(files))
	w := keyfiles.Start(files, time.Millisecond)
	defer w.Stop()
	for name, spoil := range map[string]func(){
		"truncated":    func() { require.NoError(t, os.WriteFile(path, nil, 0o600)) },
		"half written": func() { require.NoError(t, os.WriteFile(path, good[:len(good)/2], 0o600)) },
		"deleted":      func() {},
		"a folder":     func() { require.NoError(t, os.Mkdir(path, 0o700)) },
		"a wrong type": func() { require.NoError(t, os.WriteFile(path, []byte(`[]`), 0o600)) },
	} {
		before := failures.Load()
		require.NoError(t, os.RemoveAll(path))
		spoil()
		require.Eventually(t, func() bool { return failures.Load() > before }, 20*time.Second, time.Millisecond, name)
		assert.Equal(t, int32(1), held.Load(), name)
		before = loads.Load()
		require.NoError(t, os.RemoveAll(path))
		require.NoError(t, keyfiles.Write(path, good, 0o644))
		require.Eventually(t, func() bool { return loads.Load() > before }, 20*time.Second, time.Millisecond, name)
	}
	add(t, private, path, "b")
	require.Eventually(t, func() bool { return held.Load() == 2 }, 20*time.Second, time.Millisecond)
}

func TestReadBounds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	require.NoError(t, os.WriteFile(path, make([]byte, 100), 0o600))
	_, err := keyfiles.Read(path, 99)
	assert.ErrorContains(t, err, "longer than 99 bytes")
	_, err = keyfiles.Read(path, 100)
	assert.NoError(t, err)
	_, err = keyfiles.Read("/dev/null", 100)
	assert.ErrorContains(t, err, "not a regular file")
}

func TestRevoked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "revoked.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"legon": {"jti": ["t1"], "sub": ["desk-1"]}}`), 0o600))
	list, err := keyfiles.Revoked(path)
	require.NoError(t, err)
	assert.Equal(t, map[string]bool{"legon t1": true}, list.IDs)
	assert.Equal(t, map[string]bool{"legon desk-1": true}, list.Subjects)
	require.NoError(t, os.WriteFile(path, []byte(`{"legon": 3}`), 0o600))
	_, err = keyfiles.Revoked(path)
	assert.ErrorContains(t, err, path)
}
