// Package membership tracks the members of a fleet that is too large for all front ends to exchange heartbeats with one
// another. Control members are the front ends that the settings name; they exchange heartbeats by package heartbeat, as
// all front ends of a small fleet do. An attached front end keeps links to two control members, sends heartbeats over
// both, holds a lease at each, and receives the view, which lists all front ends of both roles, from one of them.
//
// Each control member is the home of the front ends attached to it. It tracks their leases by its own clock in a table,
// replicates that table to all control members, merges the tables of all homes into one view, and serves the view as a
// snapshot and numbered batches of changes. Heartbeats carry versions and digests, by which a receiver detects lost
// messages. What it lacks is resent from a bounded log or, if the log does not reach back far enough, by sending the
// parts that differ (anti-entropy).
//
// The view guides decisions: which front end to send a message to, which one to replace, when to take over a request.
// Safety never depends on it, since a process that sends nothing may still be running. Only one fact is certain: of two
// processes of one name, the one that answered the later challenge is the later one.
//
// This order is certain where one control member has challenged both processes. Otherwise it is derived from the
// times of their challenges, which are reported by the sender's clock. Each side estimates the offset between the two
// clocks as the smallest difference seen between the receive and send times of a message. A side whose view has a later
// process shows an earlier one as Dead, even if a control member that missed the later one still reports the earlier
// one as alive.
//
// Of the front ends that ended before a control member restarted, it learns only those that are still in the tables of
// the other control members' current processes. Until those entries are removed, ten minutes after the front ends
// ended, its view may lack some that are Dead or Left in other views.
//
// The caller that drives a Server or Client
//   - sends the messages from TakeMessages before it sends the heartbeat that carries the result of Versions,
//   - closes the links from TakeLinksToClose, and each link over which it received a message that Receive,
//     ReceiveFromControl or ReceiveVersions rejected with an error,
//   - calls LinkClosed for each closed link, with the same Link at a Server, and at a Client also for each failed dial,
//   - drops all messages that are queued for a process when it calls QueueFull for that process.
//
// The package does no I/O, reads no clock, starts no goroutines and does not depend on map order. All times are of this
// process's monotonic clock.
package membership

import "chutechute/internal/monotime"

// Role is the role of a front end in the fleet.
type Role uint8

// The roles.
const (
	Control  Role = iota // named in the settings; may have a replica of the replicated log, and serves the view
	Attached             // not named in the settings; keeps links to two control members
)

// String returns the role's name as operators see it.
func (r Role) String() string {
	if r > Attached {
		return "unknown"
	}
	return [...]string{"control", "attached"}[r]
}

// State is the state of a front end as seen by others.
type State uint8

// The states.
const (
	Alive   State = iota // seen by a home within SuspectAfter
	Suspect              // not seen by any home for SuspectAfter, or its home is absent
	Dead                 // not seen by any home for at least DeadAfter, or its home was absent for absentHomeTimeout
	Left                 // announced its shutdown and was then not seen for SuspectAfter
)

// String returns the state's name as operators see it.
func (s State) String() string {
	if s > Left {
		return "unknown"
	}
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// precedence ranks the states for merging different reports about one process; the highest wins. A process that is
// Alive at any home is Alive, and it is Dead only if no home reports another state.
func (s State) precedence() int { return [...]int{Alive: 3, Left: 2, Suspect: 1, Dead: 0}[s] }

// Entry is one front end in the view.
type Entry struct {
	Name        string
	Zone        string
	Role        Role
	Incarnation uint64 // identifies the process; each restart gets a new one
	State       State
	Home        string // the control member that serves its view; a control member is its own home
}

// ControlMember is a control member as package heartbeat sees it.
type ControlMember struct {
	Name            string
	Zone            string
	Incarnation     uint64          // 0: never seen
	State           State           // Alive also if only other control members receive its heartbeats
	IndirectlyAlive bool            // Alive, but only other control members receive its heartbeats
	ChallengedAt    monotime.Micros // when this side sent the first challenge that its process answered; 0 if unknown
}

// Link is an authenticated link of an attached front end to this control member.
type Link struct {
	From         string
	Zone         string
	Incarnation  uint64
	ChallengedAt monotime.Micros // when this side sent the challenge for the link
}

// Kind is the kind of a message. Package transport has a frame kind for each.
type Kind uint8

// The kinds.
const (
	Heartbeat   Kind = iota + 1 // from an attached front end to a control member
	ViewUpdate                  // from a control member to an attached front end: an answer, changes or full buckets
	TablePull                   // between control members: requests a table or its changes
	TableUpdate                 // between control members: changes or a snapshot of a table
)

// String returns the kind's name as operators see it.
func (k Kind) String() string {
	if k == 0 || k > TableUpdate {
		return "unknown"
	}
	return [...]string{"", "heartbeat", "view", "pull", "table"}[k]
}

// Message is a message to send. Its body may be shared with other messages and must not be modified.
type Message struct {
	To          string // name of the receiver
	Incarnation uint64 // 0 if To is a control member, else the receiving process of an attached front end
	Kind        Kind
	Bulk        bool // may be sent after messages that are not bulk
	Body        []byte
}

// maxQueuedMessages limits the messages that wait for TakeMessages. Further ones are dropped; receivers detect the loss
// by the versions in later messages.
const maxQueuedMessages = 1 << 16
