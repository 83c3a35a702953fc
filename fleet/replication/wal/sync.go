package wal

import "os"

// fsync makes the disk persist what was written to a file. It has a file of its own so that a test can build the
// program with one that is slow or fails.
func fsync(f *os.File) error { return f.Sync() }
