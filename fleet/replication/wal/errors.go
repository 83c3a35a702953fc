package wal

import "errors"

// Errors of Open and Store.Write.
var (
	// ErrLocked says that another process has the folder open.
	ErrLocked = errors.New("wal: folder is in use by another process")
	// ErrWrongOwner says that the folder belongs to another front end or has another format version.
	ErrWrongOwner = errors.New("wal: folder belongs to another front end or has another format version")
	// ErrCorrupt says that a file of the folder is missing or does not have the contents that were written.
	ErrCorrupt = errors.New("wal: folder is corrupt")
	// ErrFailed says that an earlier write failed. Nothing is written after it.
	ErrFailed = errors.New("wal: disabled by an earlier write error")
)

// errTorn says that the input ends within a record.
var errTorn = errors.New("wal: torn record")
