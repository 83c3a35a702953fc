// Package membership lets a fleet have more front ends than could all exchange heartbeats with one another. Control
// members are the front ends that the settings name; among them package heartbeat works as in a small fleet. An
// attached front end keeps links to two control members, sends a heartbeat over each, holds a lease with both, and
// receives the view, which lists all front ends of both roles, from one of them.
//
// Each control member is the home of the front ends attached to it. It keeps a table of them by leases on its own
// clock, replicates the table to all control members, merges all tables into one view, and serves that view as a
// snapshot and numbered changes. Versions and digests in the heartbeats show what was lost; gaps are filled from
// bounded logs, else by sending the parts that differ (anti-entropy).
//
// The view steers decisions: which front end to ask, which to replace, when to take over a request. Safety never rests
// on it, since silence does not prove death. One thing is certain: of two processes of one name, the one that answered
// the later challenge is the later one.
//
// Which of two processes of one name is the later is certain where one control member has challenged both. Otherwise it
// follows from the times of their challenges, which are reported by the sender's clock; each side estimates how far its
// own clock is ahead by the least difference seen between receiving and sending. A side that has a later process in its
// view shows an earlier one as Dead, even if a control member that missed the later one still reports the earlier.
//
// A control member that has restarted knows of front ends that died before only what the tables of the others' present
// processes contain: until those entries are removed, ten minutes after their end, its view may lack some that are Dead
// or have Left elsewhere.
//
// The caller that drives a Server or Client
//   - sends the messages that Actions returned before it sends the heartbeat that Versions goes into,
//   - closes the links that LinksToClose returns, and those over which a message was received that caused an error,
//   - reports the end of each link by LinkClosed with the same Link, and at a client each failed dial too, and
//   - drops what is queued for a process that it calls QueueFull for.
//
// The package is a stepped module without I/O, clock, goroutines or dependence on map order. All times are of this
// process's monotonic clock.
package membership

import "chutechute/internal/monotime"

// Role is what a front end is in the fleet.
type Role uint8

// The roles.
const (
	Control  Role = iota // named in the settings: takes part in the replicated record, and serves the view
	Attached             // not named: keeps links to two control members
)

// String returns the role's name as operators see it.
func (r Role) String() string {
	if r > Attached {
		return "unknown"
	}
	return [...]string{"control", "attached"}[r]
}

// State is how a front end is seen.
type State uint8

// The states.
const (
	Alive   State = iota // seen recently
	Suspect              // not seen anywhere for a while, or its home is absent
	Dead                 // not seen anywhere for long
	Left                 // announced that it leaves, and was not seen since
)

// String returns the state's name as operators see it.
func (s State) String() string {
	if s > Left {
		return "unknown"
	}
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// strength orders the states by how much they count where homes report different ones: a process that is alive at any
// home is alive, and one is dead only if no home reports another state.
func (s State) strength() int { return [...]int{Alive: 3, Left: 2, Suspect: 1, Dead: 0}[s] }

// Entry is one front end in the view.
type Entry struct {
	Name        string
	Zone        string
	Role        Role
	Incarnation uint64 // identifies the process; a restart has another
	State       State
	Home        string // the control member that serves its view; for a control member its own name
}

// ControlMember is a control member as package heartbeat sees it.
type ControlMember struct {
	Name            string
	Zone            string
	Incarnation     uint64          // 0: never seen
	State           State           // also Alive if only other control members receive its heartbeats
	IndirectlyAlive bool            // Alive, but only other control members receive its heartbeats
	ChallengedAt    monotime.Micros // when its process answered its first challenge here; 0 if not known
}

// Link is an authenticated link of an attached front end to this control member.
type Link struct {
	From         string
	Zone         string
	Incarnation  uint64
	ChallengedAt monotime.Micros // when this side challenged it
}

// Kind is the kind of a message; package transport gives each a kind of frame.
type Kind uint8

// The kinds.
const (
	Heartbeat   Kind = iota + 1 // attached to control
	ViewUpdate                  // control to attached: an answer to a heartbeat, changes or a snapshot
	TablePull                   // control to control: requests a table
	TableUpdate                 // control to control: changes or a snapshot of a table
)

// String returns the kind's name as operators see it.
func (k Kind) String() string {
	if k == 0 || k > TableUpdate {
		return "unknown"
	}
	return [...]string{"", "heartbeat", "view", "pull", "table"}[k]
}

// Message is a message to be sent. Its body may be shared with other messages and must not be changed.
type Message struct {
	To          string // the receiver's name
	Incarnation uint64 // 0: to a control member; else to that process of an attached front end
	Kind        Kind
	Bulk        bool // may wait behind others
	Body        []byte
}

// maxQueuedMessages bounds the messages that wait to be taken by Actions. Further ones are dropped; the versions in
// later messages show the loss.
const maxQueuedMessages = 1 << 16
