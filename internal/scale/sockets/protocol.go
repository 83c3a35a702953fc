// Package sockets runs a fleet over loopback sockets and measures its control traffic: processes of the built program as control
// members, and beside them hollow front ends (peering.Hollow), many a process, so that a role's processor time and memory can be told
// from the other's. The processes of hollow front ends are the tool itself, which is told what to do over a pipe.
package sockets

import (
	"encoding/json"

	"chutechute/internal/monotime"
	"chutechute/internal/peering"
)

// op is what a process of hollow front ends is asked to do.
type op string

const (
	opSetup   op = "setup"   // takes the fleet's section
	opStart   op = "start"   // starts a front end; the reply has its incarnation
	opKill    op = "kill"    // ends one without a word
	opPause   op = "pause"   // has one stand still for a span
	opSeen    op = "seen"    // how many see all others
	opFigures op = "figures" // what was counted so far
	opAwait   op = "await"   // replies once all have seen a change
	opWaiting op = "waiting" // who has not seen which change
	opEnd     op = "end"     // ends all and the process
)

// request is one line to a process of hollow front ends.
type request struct {
	ID      int             `json:"id"`
	Op      op              `json:"op"`
	Section json.RawMessage `json:"section,omitempty"` // of opSetup: the installation's
	Member  string          `json:"member,omitempty"`
	Zone    string          `json:"zone,omitempty"` // of opStart: of one that is attached
	Seed    uint64          `json:"seed,omitempty"`
	Span    monotime.Micros `json:"span,omitempty"`    // of opPause
	Total   int             `json:"total,omitempty"`   // of opSeen: how many there are
	Change  *peering.Change `json:"change,omitempty"`  // of opAwait
	Collect bool            `json:"collect,omitempty"` // of opFigures: garbage is collected before memory is read
}

// reply is one line from it.
type reply struct {
	ID          int             `json:"id"`
	Error       string          `json:"error,omitempty"`
	At          monotime.Micros `json:"at"` // the loop's time when it was done
	Incarnation uint64          `json:"incarnation,omitempty"`
	Seen        int             `json:"seen,omitempty"`    // of opSeen: how many see all
	Least       int             `json:"least,omitempty"`   // of opSeen: the least that any sees
	SeenAt      monotime.Micros `json:"seen_at,omitempty"` // of opAwait; 0: none was here to see it
	Waiting     []string        `json:"waiting,omitempty"` // of opWaiting, in words
	Figures     *figures        `json:"figures,omitempty"`
}

// figures are what a process has used and its front ends have counted since they started.
type figures struct {
	CPU         monotime.Micros `json:"cpu"`      // of the process, user and system
	Resident    int64           `json:"resident"` // bytes
	Heap        int64           `json:"heap"`     // bytes allocated and not freed
	Traffic     peering.Traffic `json:"traffic"`  // of all front ends here together, those ended too
	Members     int             `json:"members"`
	Connections int             `json:"connections"`
	LongestTurn monotime.Micros `json:"longest_turn"` // of the loop, since the last figures
}
