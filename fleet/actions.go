package fleet

import (
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// Action is something that the caller has to do: a Send, a CloseLink or a replication.Save.
type Action any

// Send sends a message to another front end. Its body may be shared with other messages and must not be changed.
type Send struct {
	To          string // the name of the front end
	Incarnation uint64 // 0 for a control member, otherwise the attached front end's process that has dialed the link
	Kind        transport.Kind
	Bulk        bool // less urgent than other messages
	Body        []byte
}

// CloseLink closes a link of an attached front end.
type CloseLink struct{ Link Link }

// Link identifies the authenticated remote side of a link.
type Link struct {
	From         string          // the remote side's name
	Incarnation  uint64          // of its process
	ChallengedAt monotime.Micros // when it was challenged here
	Attached     bool            // it is an attached front end, which has dialed the link
	Zone         string          // of an attached front end
}
