package config

import (
	"fmt"
	"strings"
)

// The configuration files by the names that begin the texts of errors in them.
const (
	nodeFile         = "config"
	installationFile = "installation"
)

// KeyError reports a key of a configuration file that is missing or whose value cannot be used. Its text has the form
// "file: key: reason".
type KeyError struct {
	File string // "config" (the node's configuration) or "installation"; empty if the caller adds it
	Key  string // the path from the top of the file, as in "fleet.members[0].address"
	Err  error  // what is wrong with the key
}

// Error returns the file, the key and what is wrong with it.
func (e *KeyError) Error() string {
	text := fmt.Sprintf("%s: %v", e.Key, e.Err)
	if e.File == "" {
		return text
	}
	return e.File + ": " + text
}

// Unwrap returns what is wrong with the key.
func (e *KeyError) Unwrap() error { return e.Err }

// nodeKeyError returns the error of a key of the node's configuration.
func nodeKeyError(key, format string, args ...any) error {
	return &KeyError{File: nodeFile, Key: key, Err: fmt.Errorf(format, args...)}
}

// section is a section of a configuration file: it makes the errors of the keys in it.
type section struct {
	file string
	path string // from the top of the file
}

// keyError returns the error of a key, which is given by its path within the section.
func (s section) keyError(key, format string, args ...any) error {
	return &KeyError{File: s.file, Key: s.path + "." + key, Err: fmt.Errorf(format, args...)}
}

// valueError returns the error of the section as a whole.
func (s section) valueError(format string, args ...any) error {
	return &KeyError{File: s.file, Key: s.path, Err: fmt.Errorf(format, args...)}
}

// element returns the section that is one element of a list in this section.
func (s section) element(list string, index int) section {
	return section{file: s.file, path: fmt.Sprintf("%s.%s[%d]", s.path, list, index)}
}

// addKey turns an error of another package, whose text begins with a key of this section, into a KeyError. The text
// stays as it is. An error that names no key is wrapped only.
func (s section) addKey(err error) error {
	key, reason, found := strings.Cut(err.Error(), ": ")
	if !found {
		return fmt.Errorf("%s: %s.%w", s.file, s.path, err)
	}
	return &KeyError{File: s.file, Key: s.path + "." + key, Err: &reasonError{reason: reason, cause: err}}
}

// reasonError is another package's error without the key that its text begins with.
type reasonError struct {
	reason string
	cause  error
}

// Error returns the text without the key.
func (e *reasonError) Error() string { return e.reason }

// Unwrap returns the error with the key.
func (e *reasonError) Unwrap() error { return e.cause }
