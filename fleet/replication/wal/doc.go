// Package wal persists a replica's state in a folder: the replica ID, which identifies the disk, a snapshot, and a
// write-ahead log of everything since. Each record has its length and a checksum (xxhash).
//
//   - A failed write disables the store. The contents of a disk are unknown after a failed sync, so nothing is retried.
//   - A record is torn if the log ends within it or contains only zeros from its start on. It was being written when
//     the power failed and was not acknowledged, so it is truncated. Any other record with a wrong checksum makes the
//     folder corrupt: the whole folder is quarantined, and the front end starts with an empty folder and a replica ID
//     that was never used.
//
// The first version used bbolt. A bbolt file with flipped bits ended the process with a memory fault in the library's
// memory-mapped pages, which cannot be recovered from. This package reads nothing before verifying its checksum.
package wal
