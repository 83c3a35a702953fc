package config

import (
	"fmt"
	"strings"
)

// The names of the configuration files, with which error messages begin.
const (
	nodeFile         = "config"
	installationFile = "installation"
)

// KeyError reports a key of a configuration file that is missing or has an invalid value. Its message has the form
// "file: key: reason".
type KeyError struct {
	File string // "config" (the node configuration) or "installation"; empty if the caller adds it
	Key  string // path from the top of the file, as in "fleet.members[0].address"
	Err  error  // the reason
}

// Error returns the file, the key and the reason.
func (e *KeyError) Error() string {
	text := fmt.Sprintf("%s: %v", e.Key, e.Err)
	if e.File == "" {
		return text
	}
	return e.File + ": " + text
}

// Unwrap returns the reason.
func (e *KeyError) Unwrap() error { return e.Err }

// nodeKeyError returns the error for a key of the node configuration.
func nodeKeyError(key, format string, args ...any) error {
	return &KeyError{File: nodeFile, Key: key, Err: fmt.Errorf(format, args...)}
}

// section is the location of a section in a configuration file. Its methods create the errors for keys of the section.
type section struct {
	file string
	path string // from the top of the file
}

// keyError returns the error for a key, which is given by its path within the section.
func (s section) keyError(key, format string, args ...any) error {
	return &KeyError{File: s.file, Key: s.path + "." + key, Err: fmt.Errorf(format, args...)}
}

// valueError returns the error for the section as a whole.
func (s section) valueError(format string, args ...any) error {
	return &KeyError{File: s.file, Key: s.path, Err: fmt.Errorf(format, args...)}
}

// element returns one element of a list of this section, as a section of its own.
func (s section) element(list string, index int) section {
	return section{file: s.file, path: fmt.Sprintf("%s.%s[%d]", s.path, list, index)}
}

// addKey converts an error of another package, whose message begins with a key of this section, to a KeyError with the
// same message. It only adds the file and the section to an error that names no key.
func (s section) addKey(err error) error {
	key, reason, found := strings.Cut(err.Error(), ": ")
	if !found {
		return fmt.Errorf("%s: %s.%w", s.file, s.path, err)
	}
	return &KeyError{File: s.file, Key: s.path + "." + key, Err: &reasonError{reason: reason, cause: err}}
}

// reasonError is an error of another package without the key that its message begins with.
type reasonError struct {
	reason string
	cause  error
}

// Error returns the message without the key.
func (e *reasonError) Error() string { return e.reason }

// Unwrap returns the original error, whose message has the key.
func (e *reasonError) Unwrap() error { return e.cause }
