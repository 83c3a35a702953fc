package fleet

import (
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// Action is an operation for the caller to carry out: a Send, a CloseLink or a replication.Save.
type Action any

// Send sends a message to another front end. Its body may be shared with other messages and must not be changed.
type Send struct {
	To          string // the name of the front end
	Incarnation uint64 // of the attached front end's process that dialed the link; 0 for a control member
	Kind        transport.Kind
	Bulk        bool // less urgent than other messages
	Body        []byte
}

// CloseLink closes a link of an attached front end.
type CloseLink struct{ Link Link }

// Link identifies the authenticated remote side of a link.
type Link struct {
	From         string          // the remote side's name
	Incarnation  uint64          // of the remote process
	ChallengedAt monotime.Micros // when this side sent its challenge; 0 if it sent none
	Attached     bool            // the remote side is an attached front end, which dialed the link
	Zone         string          // the remote side's zone; set only for an attached front end
}
