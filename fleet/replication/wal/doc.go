// Package wal persists a replica's state in a folder: the replica's ID, which stands for the disk, a snapshot, and a
// write-ahead log of everything since, each record with its length and a checksum (xxhash).
//
//   - A failed write ends the store: nobody knows what a disk holds after a failed sync, so nothing is retried.
//   - A record that is torn, which the end of the log cuts short or which is all zeros, was being written when the
//     power failed. It was not acknowledged, and it is truncated. Any other record with a wrong checksum makes the
//     folder corrupt: it is quarantined as a whole, and the front end begins with an empty folder and a replica ID
//     that was never used.
//
// The first version used bbolt. A bbolt file with flipped bits ended the process with a fault that cannot be recovered
// from, in the library's work on memory-mapped pages. Here nothing is read before its checksum was verified.
package wal
