package replication

import "errors"

// ErrLogGap is returned if the persisted state lacks log entries between the end of the snapshot and the start of the
// log.
var ErrLogGap = errors.New("replication: log entries between the snapshot and the log are missing")

// InvariantError reports that the Raft library found an inconsistent state of a replica, such as a commit index beyond
// the end of its log. It stops the replica, but not the front end, which continues without one.
type InvariantError struct {
	// Message is what the library reported.
	Message string
}

// Error returns the library's message.
func (e InvariantError) Error() string { return "replication: " + e.Message }
