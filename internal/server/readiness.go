package server

import "golang.org/x/sys/unix"

// isReadable reports whether events contain anything but writability: input, the end of the stream or an error.
func isReadable(events uint32) bool { return events&^unix.EPOLLOUT != 0 }

// isWritable reports whether events contain writability.
func isWritable(events uint32) bool { return events&unix.EPOLLOUT != 0 }
