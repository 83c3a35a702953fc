package peering

import (
	"chutechute/fleet/idempotency"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/membership"
)

// ReplicatedRecords is the status page of idempotent requests: the records in this front end's replica, and those of
// the requests that this front end itself is serving.
type ReplicatedRecords struct {
	Status     Status                           `json:"status"`
	Replicated []idempotency.RecordStatus       `json:"loads"`
	InProgress []idempotencyclient.RecordStatus `json:"held"`
}

// Status is the status page of a front end: its own state, and the state of the others as this one sees them.
type Status struct {
	Site            string          `json:"site"`
	Name            string          `json:"name"`
	Incarnation     string          `json:"incarnation"`
	ReplicaID       string          `json:"copy"`
	Durable         bool            `json:"lasting"` // the replica is stored on disk, not only in memory
	Group           string          `json:"group"`   // the Raft group's ID
	Role            string          `json:"role"`    // leader, voter, learner, none, failed or attached
	Leader          string          `json:"leader"`
	Term            uint64          `json:"term"`
	Applied         uint64          `json:"applied"`
	Digest          string          `json:"sum"`       // of the results of all commands up to Applied
	Divergent       int             `json:"differing"` // times another replica's digest differed from this one
	Elections       int             `json:"elections"`
	Commits         int             `json:"commits"`
	Snapshots       int             `json:"snapshots"`
	LeaderTransfers int             `json:"hand_overs"` // leader transfers from this replica because of a slow disk
	Relayed         int             `json:"relayed"`    // messages relayed for lack of a direct link
	Records         int             `json:"loads"`
	RecordBytes     int             `json:"load_bytes"`
	InProgress      int             `json:"held"`
	Error           string          `json:"error,omitempty"`
	Warning         string          `json:"warning,omitempty"`
	Replicas        []ReplicaStatus `json:"copies"`
	Members         []MemberStatus  `json:"members"`
	Attached        *ViewStatus     `json:"attached,omitempty"` // if front ends may attach
}

// ReplicaStatus is a replica of the replicated log.
type ReplicaStatus struct {
	ReplicaID string `json:"copy"`
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Voter     bool   `json:"votes"`
}

// MemberStatus is the state of another front end as this one sees it.
type MemberStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
	Linked      bool   `json:"link"`           // this front end has an established link to it
	Role        string `json:"role,omitempty"` // control or attached, if front ends may attach
	Home        string `json:"home,omitempty"` // of an attached front end: the control member that sends it the view
}

// ViewStatus is the state of this front end's view of all front ends.
type ViewStatus struct {
	Enabled       bool                `json:"on"`
	Home          string              `json:"home"`        // the control member that sends the view, or this one
	ViewAgeMS     int64               `json:"view_age_ms"` // since the home last confirmed the view; -1: never
	ViewDigest    string              `json:"view_digest"` // equal for equal views
	ViewLen       int                 `json:"view_len"`
	Targets       []string            `json:"targets,omitempty"` // the control members that an attached front end dials
	Links         int                 `json:"links"`             // number of attached front ends linked to this one
	Forwarded     int                 `json:"forwarded"`         // attached front ends' proposals passed on to the leader
	Undeliverable int                 `json:"undeliverable"`     // their messages, or those for them, without a route
	Counters      membership.Counters `json:"counters"`
}
