package membership

import (
	"errors"
	"fmt"
)

// Counters count what happened since the start; each side uses those that concern it.
type Counters struct {
	Heartbeats         int // sent by a client, received by a server
	Pushes             int // batches of changes, one for each subscriber they were sent to, or applied by a client
	PushBytes          int // of them
	Changes            int // of entries published, or applied by a client
	Snapshots          int // of the full view, sent or applied
	SnapshotBytes      int // of them
	DigestRepairs      int // buckets of the view whose digests differed, sent or applied
	RepairBytes        int // of them
	CatchUps           int // clients that resumed from the log
	Gaps               int // in the changes of a table or of the view
	StaleEpochs        int // messages of, or about, a superseded process of a control member
	UnknownHomes       int // messages that name a control member that the settings do not
	NameMismatches     int `json:"WrongNames"` // names that are not the link's, or that are a control member's
	Oversized          int // views, tables or front ends beyond the limit
	Malformed          int // messages that could not be decoded or are not valid
	TableDigestRepairs int `json:"SumRepairs"`    // tables whose digest differed at the same version
	DigestMismatches   int `json:"Disagreements"` // digests that did not agree after changes, or after buckets
	RateLimited        int `json:"Limited"`       // snapshots, repairs and pulls put off by a rate limit
	Damped             int // changes put off by the rate limit of one name
	SelfSuspicions     int `json:"Doubts"`         // times that a home suspected itself to be cut off
	FullQueues         int `json:"Refused"`        // queues that were full
	Superseded         int `json:"Replaced"`       // processes whose name came back with a later one
	LateOfSuperseded   int `json:"LateOfReplaced"` // messages and links of such processes
	Pauses             int // of this process
	Expired            int // leases that ended in Dead
	TablePushes        int // batches of a table, one for each control member
	TableSnapshots     int // of a full table, sent
	Pulls              int // of a table, sent
	HomeChanges        int // of a client
	LostControlMembers int `json:"Losses"` // control members that a client lost
	ClosedLinks        int // closed by this side's decision
}

// countInvalid counts a message that caused an error of decoding.
func (c *Counters) countInvalid(err error) {
	if errors.Is(err, ErrTooManyEntries) {
		c.Oversized++
		return
	}
	c.Malformed++
}

// unknownHome counts a control member that the settings do not name, and returns its error.
func (c *Counters) unknownHome(name string) error {
	c.UnknownHomes++
	return fmt.Errorf("%w: %q", ErrUnknownHome, name)
}

// unexpectedKind counts a message that this side does not receive, and returns its error.
func (c *Counters) unexpectedKind(kind Kind) error {
	c.Malformed++
	return fmt.Errorf("%w: %s", ErrUnexpectedKind, kind)
}
