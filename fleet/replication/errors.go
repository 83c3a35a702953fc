package replication

import "errors"

// ErrLogGap is the error of persisted state in which log entries between the snapshot and the log are missing.
var ErrLogGap = errors.New("replication: the log does not follow the snapshot")

// InvariantError reports that the Raft library found the state of a replica to be impossible, such as a commit index
// beyond the end of its log. It ends the replica, but not the front end, which goes on without one.
type InvariantError struct {
	// Message is what the library reported.
	Message string
}

// Error returns the library's message.
func (e InvariantError) Error() string { return "replication: " + e.Message }
