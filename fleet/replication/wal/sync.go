package wal

import "os"

// fsync flushes a file to disk. It is in a source file of its own so that a test can build the program with an fsync
// that is slow or fails.
func fsync(f *os.File) error { return f.Sync() }
