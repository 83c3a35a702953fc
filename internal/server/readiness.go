package server

import "golang.org/x/sys/unix"

// isReadable says whether events report more than that a descriptor can be written to: input, its end or an error.
func isReadable(events uint32) bool { return events&^unix.EPOLLOUT != 0 }

// isWritable says whether events report that a descriptor can be written to.
func isWritable(events uint32) bool { return events&unix.EPOLLOUT != 0 }
