package peering

import (
	"chutechute/fleet/idempotency"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/membership"
)

// ReplicatedRecords is the page of all idempotent requests: those in this front end's replica, and those that this
// front end itself is serving.
type ReplicatedRecords struct {
	Status     Status                           `json:"status"`
	Replicated []idempotency.RecordStatus       `json:"loads"`
	InProgress []idempotencyclient.RecordStatus `json:"held"`
}

// Status is the page of a front end's own state, and of the others' as this one sees them.
type Status struct {
	Site            string          `json:"site"`
	Name            string          `json:"name"`
	Incarnation     string          `json:"incarnation"`
	ReplicaID       string          `json:"copy"`
	Durable         bool            `json:"lasting"` // the replica is stored on disk, not in memory only
	Group           string          `json:"group"`   // the replication group's ID
	Role            string          `json:"role"`    // leader, voter, learner, none or failed; attached
	Leader          string          `json:"leader"`
	Term            uint64          `json:"term"`
	Applied         uint64          `json:"applied"`
	Digest          string          `json:"sum"`       // digest of the responses of all commands up to Applied
	Divergent       int             `json:"differing"` // times that another replica's digest was a different one
	Elections       int             `json:"elections"`
	Commits         int             `json:"commits"`
	Snapshots       int             `json:"snapshots"`
	LeaderTransfers int             `json:"hand_overs"` // leadership transfers away from here, as the disk was slow
	Relayed         int             `json:"relayed"`    // messages sent by way of a third front end
	Records         int             `json:"loads"`
	RecordBytes     int             `json:"load_bytes"`
	InProgress      int             `json:"held"`
	Error           string          `json:"error,omitempty"`
	Warning         string          `json:"warning,omitempty"`
	Replicas        []ReplicaStatus `json:"copies"`
	Members         []MemberStatus  `json:"members"`
	Attached        *ViewStatus     `json:"attached,omitempty"` // where front ends may attach
}

// ReplicaStatus is one replica of the records.
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
	Role        string `json:"role,omitempty"` // control or attached, where front ends may attach
	Home        string `json:"home,omitempty"` // of an attached one: the control member that sends it its view
}

// ViewStatus is the state of this front end's view of all front ends.
type ViewStatus struct {
	Enabled       bool                `json:"on"`
	Home          string              `json:"home"`        // the control member that sends the view, or is this one
	ViewAgeMS     int64               `json:"view_age_ms"` // since the home confirmed the view; -1: never
	ViewDigest    string              `json:"view_digest"` // equal for equal views
	ViewLen       int                 `json:"view_len"`
	Targets       []string            `json:"targets,omitempty"` // the control members that an attached one dials
	Links         int                 `json:"links"`             // attached front ends linked to this one
	Forwarded     int                 `json:"forwarded"`         // proposals of theirs that were forwarded
	Undeliverable int                 `json:"undeliverable"`     // messages for them, or of theirs, that found no link
	Counters      membership.Counters `json:"counters"`
}
