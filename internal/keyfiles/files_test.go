package keyfiles_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/identity/token"
	"chutechute/internal/keyfiles"
)

// addKey adds a key to a key set.
func addKey(t *testing.T, private, public, id string) {
	k, err := token.Generate(id, "EdDSA")
	require.NoError(t, err)
	require.NoError(t, keyfiles.ChangeKeySet(private, public, func(s *token.KeySet) error { return s.Add(k, 0) }))
}

// Concurrent changes of a key set lose no key, and a concurrent reader never reads an incompletely written file.
func TestConcurrentChangesLoseNoKey(t *testing.T) {
	dir := t.TempDir()
	private, public := filepath.Join(dir, "p.jwks"), filepath.Join(dir, "k.jwks")
	addKey(t, private, public, "first")
	var writers, reader sync.WaitGroup
	var stopReading atomic.Bool
	reads := 0
	reader.Go(func() {
		for !stopReading.Load() {
			if _, err := keyfiles.ReadPublicKeys(public); assert.NoError(t, err) {
				reads++
			}
		}
	})
	for n := range 4 {
		writers.Go(func() {
			for m := range 5 {
				addKey(t, private, public, fmt.Sprint(n, "-", m))
			}
		})
	}
	writers.Wait()
	stopReading.Store(true)
	reader.Wait()
	keys, err := keyfiles.ReadPublicKeys(public)
	require.NoError(t, err)
	assert.Len(t, keys, 21)
	assert.Positive(t, reads)
	info, err := os.Stat(private)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	require.NoError(t, os.Chmod(private, 0o640))
	_, err = keyfiles.ReadPrivate(private)
	assert.ErrorContains(t, err, "others may read it")
	remaining, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Len(t, remaining, 3, "the two key files and the lock, no temporary file")
}

// The last good content stays in force while a file is truncated, incompletely written, deleted or replaced by a folder
// or by content of the wrong type. A good file is loaded.
func TestWatch(t *testing.T) {
	dir := t.TempDir()
	private, path := filepath.Join(dir, "p.jwks"), filepath.Join(dir, "k.jwks")
	addKey(t, private, path, "a")
	good, err := os.ReadFile(path)
	require.NoError(t, err)
	var loads, failures, keyCount atomic.Int32
	files := []*keyfiles.File{{Path: path, Load: func(path string) error {
		keys, err := keyfiles.ReadPublicKeys(path)
		if err != nil {
			failures.Add(1)
			return err
		}
		keyCount.Store(int32(len(keys)))
		loads.Add(1)
		return nil
	}}}
	require.NoError(t, keyfiles.LoadAll(files))
	w := keyfiles.StartWatcher(files, time.Millisecond)
	defer w.Stop()
	for name, damage := range map[string]func(){
		"truncated":    func() { require.NoError(t, os.WriteFile(path, nil, 0o600)) },
		"half written": func() { require.NoError(t, os.WriteFile(path, good[:len(good)/2], 0o600)) },
		"deleted":      func() {},
		"a folder":     func() { require.NoError(t, os.Mkdir(path, 0o700)) },
		"a wrong type": func() { require.NoError(t, os.WriteFile(path, []byte(`[]`), 0o600)) },
	} {
		before := failures.Load()
		require.NoError(t, os.RemoveAll(path))
		damage()
		require.Eventually(t, func() bool { return failures.Load() > before }, 20*time.Second, time.Millisecond, name)
		assert.Equal(t, int32(1), keyCount.Load(), name)
		before = loads.Load()
		require.NoError(t, os.RemoveAll(path))
		require.NoError(t, keyfiles.Write(path, good, 0o644))
		require.Eventually(t, func() bool { return loads.Load() > before }, 20*time.Second, time.Millisecond, name)
	}
	addKey(t, private, path, "b")
	require.Eventually(t, func() bool { return keyCount.Load() == 2 }, 20*time.Second, time.Millisecond)
}

// Read accepts regular files up to the size limit only.
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

// A revocation list is read by issuer; the error for an invalid list names its path.
func TestRevoked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "revoked.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"legon": {"jti": ["t1"], "sub": ["desk-1"]}}`), 0o600))
	list, err := keyfiles.ReadRevocations(path)
	require.NoError(t, err)
	assert.Equal(t, map[string]bool{"legon t1": true}, list.IDs)
	assert.Equal(t, map[string]bool{"legon desk-1": true}, list.Subjects)
	require.NoError(t, os.WriteFile(path, []byte(`{"legon": 3}`), 0o600))
	_, err = keyfiles.ReadRevocations(path)
	assert.ErrorContains(t, err, path)
}

// The failure: of two members of one name only the last has effect, and what is misspelt has none, without a word.
func TestJSONFilesAreInForceAsAWholeOrRefused(t *testing.T) {
	dir := t.TempDir()
	write := func(text string) string {
		path := filepath.Join(dir, "file.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	for name, text := range map[string]string{
		"issuer twice":         `{"a": {"jti": ["1"]}, "b": {}, "a": {"jti": ["2"]}}`,
		"list twice":           `{"a": {"jti": ["1"], "jti": ["2"]}}`,
		"unknown list":         `{"a": {"jtis": ["1"]}}`,
		"list in capitals":     `{"a": {"jti": ["1"], "JTI": ["2"]}}`,
		"a second value":       `{"a": {"jti": ["1"]}} {"b": {"jti": ["2"]}}`,
		"a damaged second one": `{"a": {"jti": ["1"]}, "b": {"jti": ["2"}}`,
	} {
		path := write(text)
		_, err := keyfiles.ReadRevocations(path)
		assert.ErrorContains(t, err, path, name)
	}
	list, err := keyfiles.ReadRevocations(write(`{"a": {"jti": ["1"], "sub": ["1"]}, "b": {"sub": ["2"]}}`))
	require.NoError(t, err)
	assert.Equal(t, map[string]bool{"a 1": true}, list.IDs)
	assert.Equal(t, map[string]bool{"a 1": true, "b 2": true}, list.Subjects)

	private, public := filepath.Join(dir, "private.jwks"), filepath.Join(dir, "public.jwks")
	addKey(t, private, public, "first")
	keys, err := os.ReadFile(public)
	require.NoError(t, err)
	_, err = keyfiles.ReadPublicKeys(write(string(keys)))
	require.NoError(t, err)
	path := write(strings.Replace(string(keys), "{", `{"keys": [], `, 1))
	_, err = keyfiles.ReadPublicKeys(path)
	assert.ErrorContains(t, err, path)
}
