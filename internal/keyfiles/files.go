// Package keyfiles reads and writes the files that package identity uses: key sets and revocation lists. It makes sure
// that no incompletely written file is loaded, that private keys are readable by their owner only, and that concurrent
// rotations don't lose a key. It authenticates and authorizes nothing itself.
package keyfiles

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"chutechute/identity"
	"chutechute/identity/token"
)

// maxRevocationBytes is the maximum size of a revocation list.
const maxRevocationBytes = 4 << 20

// Read reads a regular file of at most maxBytes bytes. It returns an error if the file is of another type or larger.
func Read(path string, maxBytes int) ([]byte, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|unix.O_NONBLOCK, 0) // without O_NONBLOCK, opening a named pipe would block
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: not a regular file", path)
	}
	text, err := io.ReadAll(io.LimitReader(f, int64(maxBytes)+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(text) > maxBytes {
		return nil, fmt.Errorf("%s: longer than %d bytes", path, maxBytes)
	}
	return text, nil
}

// ReadPublicKeys reads a file with a set of public keys.
func ReadPublicKeys(path string) ([]identity.Key, error) {
	text, err := Read(path, token.MaxSetBytes)
	if err != nil {
		return nil, err
	}
	keys, err := token.ParsePublicKeys(text)
	if err == nil {
		err = checkUniqueMembers(text)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return keys, nil
}

// ReadRevocations reads a list of revoked token IDs and subjects: {"issuer": {"jti": [...], "sub": [...]}}. It returns
// an error if the file has anything else, which would have no effect.
func ReadRevocations(path string) (identity.Revocations, error) {
	out := identity.Revocations{IDs: map[string]bool{}, Subjects: map[string]bool{}}
	text, err := Read(path, maxRevocationBytes)
	if err != nil {
		return out, err
	}
	var file map[string]map[string][]string
	err = json.Unmarshal(text, &file)
	if err == nil {
		err = checkUniqueMembers(text)
	}
	if err != nil {
		return out, fmt.Errorf("%s: %w", path, err)
	}
	byName := map[string]map[string]bool{"jti": out.IDs, "sub": out.Subjects}
	for issuer, lists := range file {
		for name, values := range lists {
			revoked, known := byName[name]
			if !known {
				return out, fmt.Errorf("%s: %q of issuer %q is neither jti nor sub", path, name, issuer)
			}
			for _, value := range values {
				revoked[issuer+" "+value] = true
			}
		}
	}
	return out, nil
}

// ReadPrivate reads a file with a set of private keys. It returns an error if others than the owner have access to the
// file, and an empty set if the file does not exist.
func ReadPrivate(path string) (*token.KeySet, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return token.ParseKeySet(nil)
	}
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: others may read it (mode %04o): the mode must be 0600", path, info.Mode().Perm())
	}
	text, err := Read(path, token.MaxSetBytes)
	if err != nil {
		return nil, err
	}
	defer clear(text)
	set, err := token.ParseKeySet(text)
	if err == nil {
		err = checkUniqueMembers(text)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return set, nil
}

// Write replaces a file atomically: it writes and syncs a temporary file in the same folder, renames it to the path,
// and syncs the folder.
func Write(path string, text []byte, mode os.FileMode) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails if the file has been renamed, which is ignored
	_, err = f.Write(text)
	if err == nil {
		err = f.Chmod(mode)
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// ChangeKeySet changes a file with a set of private keys and writes the file with their public keys, under a lock
// against concurrent changes. It writes the public keys first: tokens signed with a key that is not yet published would
// be rejected.
func ChangeKeySet(private, public string, change func(*token.KeySet) error) error {
	lock, err := os.OpenFile(private+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close() // releases the lock
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		return fmt.Errorf("%s: lock: %w", private, err)
	}
	set, err := ReadPrivate(private)
	if err != nil {
		return err
	}
	if err := change(set); err != nil {
		return err
	}
	publicText, err := set.Marshal(false)
	if err != nil {
		return err
	}
	privateText, err := set.Marshal(true)
	if err != nil {
		return err
	}
	defer clear(privateText)
	if err := Write(public, publicText, 0o644); err != nil {
		return err
	}
	return Write(private, privateText, 0o600)
}
