package wal

import "os"

// fsync has the disk keep what was written. It stands alone so that a test can build the program with a slow or failing one.
func fsync(f *os.File) error { return f.Sync() }
