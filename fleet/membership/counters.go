package membership

import (
	"errors"
	"fmt"
)

// Counters count events since the start. A Server and a Client each use those that apply to them.
type Counters struct {
	Heartbeats         int // sent by a client or received by a server
	Pushes             int // batches of changes sent, counted for each subscriber, or applied by a client
	PushBytes          int // encoded bytes of the pushes
	Changes            int // changed entries published by a server or applied by a client
	Snapshots          int // snapshots of the full view sent or received
	SnapshotBytes      int // encoded bytes of the snapshots
	DigestRepairs      int // messages sent or received with the buckets whose digests differed
	RepairBytes        int // encoded bytes of the digest repairs
	CatchUps           int // updates that a server sent from its log
	Gaps               int // gaps detected in the changes of a table or of the view
	StaleEpochs        int // messages from or about an earlier process of a control member
	UnknownHomes       int // messages that name a control member that is not in the settings
	NameMismatches     int `json:"WrongNames"` // names that do not match the link or may not attach
	Oversized          int // views, tables or front ends above the limit
	Malformed          int // messages that could not be decoded or are invalid
	TableDigestRepairs int `json:"SumRepairs"`    // pulls of a full table because the digest differed
	DigestMismatches   int `json:"Disagreements"` // failed digest checks of the view or of a table
	RateLimited        int `json:"Limited"`       // updates and pulls withheld by a rate limit
	Damped             int // changes delayed by the rate limit of their name
	SelfSuspicions     int `json:"Doubts"`         // times that a home suspected itself to be partitioned
	FullQueues         int `json:"Refused"`        // times that the queue of a link was full
	Superseded         int `json:"Replaced"`       // processes superseded by a later one of their name
	LateOfSuperseded   int `json:"LateOfReplaced"` // messages and links rejected because their process is superseded
	Pauses             int // detected pauses of this process
	Expired            int // leases that ended because the front end became Dead
	TablePushes        int // batches of the home's table sent, counted for each control member
	TableSnapshots     int // full tables sent
	Pulls              int // pulls of tables sent
	HomeChanges        int // changes of a client's home
	LostControlMembers int `json:"Losses"` // control members that a client dropped from a slot
	ClosedLinks        int // links that the server decided to close
}

// countInvalid counts a message that could not be decoded.
func (c *Counters) countInvalid(err error) {
	if errors.Is(err, ErrTooManyEntries) {
		c.Oversized++
		return
	}
	c.Malformed++
}

// unknownHome counts a message that names an unknown control member, and returns the error for it.
func (c *Counters) unknownHome(name string) error {
	c.UnknownHomes++
	return fmt.Errorf("%w: %q", ErrUnknownHome, name)
}

// unexpectedKind counts a message of a kind that this side does not receive, and returns the error for it.
func (c *Counters) unexpectedKind(kind Kind) error {
	c.Malformed++
	return fmt.Errorf("%w: %s", ErrUnexpectedKind, kind)
}
