package wal

import "errors"

// Errors of Open and Store.Write.
var (
	// ErrLocked says that another process has the folder open.
	ErrLocked = errors.New("wal: another process has the folder")
	// ErrWrongOwner says that the folder is another front end's, or in another version's format.
	ErrWrongOwner = errors.New("wal: the folder is another front end's")
	// ErrCorrupt says that the folder holds something that was not written like that.
	ErrCorrupt = errors.New("wal: corrupt")
	// ErrFailed says that an earlier write failed, after which nothing is written any more.
	ErrFailed = errors.New("wal: ended by an earlier failure")
)

// errTorn says that the bytes end within a record.
var errTorn = errors.New("wal: torn record")
