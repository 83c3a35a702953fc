package wal

import "errors"

// Errors of Open and Store.Write.
var (
	// ErrLocked is returned if another process has the folder open.
	ErrLocked = errors.New("wal: folder is in use by another process")
	// ErrWrongOwner is returned if the folder belongs to another front end or has another format version.
	ErrWrongOwner = errors.New("wal: folder belongs to another front end or has another format version")
	// ErrCorrupt is returned if a file of the folder is missing or does not have the contents that were written.
	ErrCorrupt = errors.New("wal: folder is corrupt")
	// ErrFailed is returned if an earlier write failed. Nothing is written after it.
	ErrFailed = errors.New("wal: disabled by an earlier write error")
)

// errTorn is returned if the input ends within a record.
var errTorn = errors.New("wal: torn record")
