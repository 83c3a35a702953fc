// Package sockets runs a fleet over loopback sockets and measures its control traffic. Some control members are
// processes of the built program; all other front ends are hollow ones (peering.Hollow), many of them in each worker. A
// worker has front ends of one role only, so that processor time and memory can be attributed to a role. Workers are
// processes of the measuring tool itself, which receive requests and send replies as lines of JSON over pipes.
package sockets

import (
	"encoding/json"

	"chutechute/internal/monotime"
	"chutechute/internal/peering"
)

// op is the operation that a request asks a worker for.
type op string

const (
	opSetup   op = "setup"   // sets the fleet section of the installation
	opStart   op = "start"   // starts a front end; the reply has its incarnation
	opKill    op = "kill"    // ends a front end without a shutdown
	opPause   op = "pause"   // pauses a front end
	opSeen    op = "seen"    // counts the front ends that see all others
	opFigures op = "figures" // returns the counters and the use of resources
	opAwait   op = "await"   // replies once all front ends of the worker have seen a change
	opWaiting op = "waiting" // lists the front ends that have not seen a change yet
	opEnd     op = "end"     // ends the worker and its front ends
)

// request is one line sent to a worker.
type request struct {
	ID      int             `json:"id"`
	Op      op              `json:"op"`
	Section json.RawMessage `json:"section,omitempty"` // of opSetup: the installation
	Member  string          `json:"member,omitempty"`
	Zone    string          `json:"zone,omitempty"` // of opStart: the zone of an attached front end
	Seed    uint64          `json:"seed,omitempty"`
	Span    monotime.Micros `json:"span,omitempty"`    // of opPause
	Total   int             `json:"total,omitempty"`   // of opSeen: size of the fleet
	Change  *peering.Change `json:"change,omitempty"`  // of opAwait
	Collect bool            `json:"collect,omitempty"` // of opFigures: collect garbage before reading the memory
}

// reply is one line received from a worker.
type reply struct {
	ID          int             `json:"id"`
	Error       string          `json:"error,omitempty"`
	At          monotime.Micros `json:"at"` // the loop's time when the request was done
	Incarnation uint64          `json:"incarnation,omitempty"`
	Seen        int             `json:"seen,omitempty"`    // of opSeen: number of front ends that see all others
	Least       int             `json:"least,omitempty"`   // of opSeen: the lowest number that any of them sees
	SeenAt      monotime.Micros `json:"seen_at,omitempty"` // of opAwait; 0: no front end of this worker saw it
	Waiting     []string        `json:"waiting,omitempty"` // of opWaiting, as text
	Figures     *figures        `json:"figures,omitempty"`
}

// figures are the resources that a worker has used and the counters of its front ends, since their start.
type figures struct {
	CPU         monotime.Micros `json:"cpu"`      // of the process, user and system time
	Resident    int64           `json:"resident"` // bytes
	Heap        int64           `json:"heap"`     // bytes of allocated objects not yet freed
	Traffic     peering.Traffic `json:"traffic"`  // of all front ends of the worker, including killed ones
	Members     int             `json:"members"`  // running front ends
	Connections int             `json:"connections"`
	LongestTurn monotime.Micros `json:"longest_turn"` // of the loop, since the previous figures
}
