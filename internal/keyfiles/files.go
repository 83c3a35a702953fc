// Package keyfiles reads and writes the files that identity is fed from: key sets and lists of what is revoked. It sees
// to it that no half of a file is ever in force, that private keys stay private, and that two who rotate at once don't
// lose a key. It decides nothing.
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

// mostRevoked bounds a list of what is revoked, in bytes.
const mostRevoked = 4 << 20

// Read reads a regular file of at most so many bytes. What is anything else, or longer, is an error.
func Read(path string, most int) ([]byte, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|unix.O_NONBLOCK, 0) // a pipe must not hold the reader up
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
	text, err := io.ReadAll(io.LimitReader(f, int64(most)+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(text) > most {
		return nil, fmt.Errorf("%s: longer than %d bytes", path, most)
	}
	return text, nil
}

// Keys reads a set of public keys.
func Keys(path string) ([]identity.Key, error) {
	text, err := Read(path, token.MaxSetBytes)
	if err != nil {
		return nil, err
	}
	keys, err := token.ParsePublicKeys(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return keys, nil
}

// Revoked reads what is revoked: {"issuer": {"jti": [...], "sub": [...]}}.
func Revoked(path string) (identity.Revocations, error) {
	out := identity.Revocations{IDs: map[string]bool{}, Subjects: map[string]bool{}}
	text, err := Read(path, mostRevoked)
	if err != nil {
		return out, err
	}
	var file map[string]struct {
		IDs      []string `json:"jti"`
		Subjects []string `json:"sub"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return out, fmt.Errorf("%s: %w", path, err)
	}
	for issuer, list := range file {
		for _, id := range list.IDs {
			out.IDs[issuer+" "+id] = true
		}
		for _, subject := range list.Subjects {
			out.Subjects[issuer+" "+subject] = true
		}
	}
	return out, nil
}

// ReadPrivate reads a set of private keys, which nobody else may be able to read. One that does not exist is empty.
func ReadPrivate(path string) (*token.KeySet, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return token.ParseKeySet(nil)
	}
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: others may read it (mode %04o): it has to be 0600", path, info.Mode().Perm())
	}
	text, err := Read(path, token.MaxSetBytes)
	if err != nil {
		return nil, err
	}
	defer clear(text)
	set, err := token.ParseKeySet(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return set, nil
}

// Write puts a file in the place of another at once: beside it, synced, and renamed; the folder is synced too.
func Write(path string, text []byte, mode os.FileMode) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // it fails once the file is renamed
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

// Change changes a set of private keys, and writes its public half beside it, while nobody else can. The public half comes
// first: a key that signs before anybody knows it would have its tokens refused.
func Change(private, public string, change func(*token.KeySet) error) error {
	lock, err := os.OpenFile(private+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer lock.Close() // which lets go of the lock
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
	half, err := set.Marshal(false)
	if err != nil {
		return err
	}
	whole, err := set.Marshal(true)
	if err != nil {
		return err
	}
	defer clear(whole)
	if err := Write(public, half, 0o644); err != nil {
		return err
	}
	return Write(private, whole, 0o600)
}
