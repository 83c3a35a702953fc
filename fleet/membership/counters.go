package membership

// Counters count what happened since the start; each side uses those that concern it.
type Counters struct {
	Heartbeats         int // sent by a client, received by a server
	Pushes             int // batches of changes, one for each subscriber they were sent to, or applied by a client
	PushBytes          int // of them
	Changes            int // of entries published, or applied by a client
	Snapshots          int // of the whole view, sent or applied
	SnapshotBytes      int // of them
	DigestRepairs      int // parts of the view whose digests differed, sent or applied
	RepairBytes        int // of them
	CatchUps           int // clients that resumed from the log
	Gaps               int // in the changes of a table or of the view
	StaleEpochs        int // messages of, or about, a past process of a control member
	UnknownHomes       int // messages that name a control member that the settings do not
	NameMismatches     int `json:"WrongNames"` // names that are not the link's, or that are a control member's
	Oversized          int // views, tables or front ends beyond the bound
	Malformed          int // messages that are none
	SumRepairs         int // tables whose sum differed at the same version
	DigestMismatches   int `json:"Disagreements"` // digests that did not agree after changes, or a part of the view
	RateLimited        int `json:"Limited"`       // snapshots and repairs put off by the bounded rate
	Damped             int // changes put off by the bounded rate of one name
	SelfSuspicions     int `json:"Doubts"`         // times that a home doubted itself
	FullQueues         int `json:"Refused"`        // queues that were full
	Superseded         int `json:"Replaced"`       // processes whose name came back with a later one
	LateOfSuperseded   int `json:"LateOfReplaced"` // messages and links of such processes
	Pauses             int // of this process
	Expired            int // leases that ended in Dead
	TablePushes        int // batches of a table, one for each control member
	TableSnapshots     int // of a whole table, sent
	Pulls              int // of a table, sent
	HomeChanges        int // of a client
	LostControlMembers int `json:"Losses"` // control members that a client lost
	ClosedLinks        int // on this side's wish
}
