// Package attach lets a fleet have more front ends than may all hear one another. Control members are the front ends that the
// settings name; among them package member works as ever. An attached front end keeps links to two control members, sends a
// heartbeat over each, holds a lease with both, and receives the view, which is all front ends of both roles, from one of them.
//
// Each control member is the home of the front ends attached to it. It keeps a table of them by leases on its own clock,
// replicates the table to all control members, merges all tables into one view, and serves that as a snapshot and numbered
// changes. Versions and digests in the heartbeats show what was lost; gaps are filled from bounded logs, else by what differs.
//
// The view steers: whom to ask, whom to replace, when to look after a load. Nothing is made safe by it, since silence is not
// death. One thing is certain: of two processes of one name the one that answered the later challenge is the later one.
//
// Which of two processes of one name is the later is certain where one control member has challenged both. Otherwise it follows from
// the times of their challenges, which are told by the sender's clock; each side knows how far that is ahead by the least difference
// seen between sending and receiving. Who has a later process in view shows an earlier one, which a control member that missed the
// later still tells of, as Dead.
//
// A control member that has restarted knows of front ends that died before only what the tables of the others' present processes
// hold: until they are forgotten, ten minutes after their end, its view may lack some that are Dead or have Left elsewhere.
//
// Who drives it sends what Actions gave before the heartbeat that Versions goes into; closes the links that Close gives, and those
// whose message was an error; tells of each link's end by Unlinked with the same Link, and at a client of each failed dial too; and
// drops what waits for a process that it calls Refused for. The view's own type has the name View and a control member's role the name
// Control, so the kind of message is ViewPart and a control member of the settings is a ControlMember.
//
// It is a stepped module without I/O, clock, goroutines or map order. All times are of this process's monotonic clock.
package membership

import (
	"errors"

	"chutechute/internal/monotime"
)

// Role is what a front end is in the fleet.
type Role uint8

// The roles.
const (
	Control  Role = iota // named in the settings: keeps the record, and serves the view
	Attached             // not named: keeps links to two control members
)

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
	Alive   State = iota // it was heard of late
	Suspect              // it was heard nowhere for a while, or its control member is gone
	Dead                 // it was heard nowhere for long
	Left                 // it said that it leaves, and was not heard since
)

func (s State) String() string {
	if s > Left {
		return "unknown"
	}
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// Entry is one front end in the view.
type Entry struct {
	Name        string
	Zone        string
	Role        Role
	Incarnation uint64
	State       State
	Home        string // the control member that holds its lease and serves its view; for a control member its own name
}

// ControlMember is a control member as package member sees it.
type ControlMember struct {
	Name            string
	Zone            string
	Incarnation     uint64          // 0: never seen
	State           State           // Alive also for one that is heard only by others
	IndirectlyAlive bool            // Alive, but not heard here
	ChallengedAt    monotime.Micros // when its process answered its first challenge here; 0 where that is not known
}

// Link is a proven link of an attached front end to this control member.
type Link struct {
	From         string
	Zone         string
	Incarnation  uint64
	ChallengedAt monotime.Micros // when this side challenged it
}

// Kind says what a message is; package peer gives each a kind of frame of its own.
type Kind uint8

// The kinds.
const (
	Heartbeat   Kind = iota + 1 // attached to control
	ViewUpdate                  // control to attached: an answer to a heartbeat, changes or a snapshot
	TablePull                   // control to control: asks for a table
	TableUpdate                 // control to control: changes or a snapshot of a table
)

func (k Kind) String() string {
	if k == 0 || k > TableUpdate {
		return "unknown"
	}
	return [...]string{"", "heartbeat", "view", "pull", "table"}[k]
}

// Message is to be sent. Its body may be shared with other messages and must not be changed.
type Message struct {
	To          string
	Incarnation uint64 // 0: to a control member; else to that process of an attached front end
	Kind        Kind
	Bulk        bool // may wait behind others
	Body        []byte
}

// Config sets a server or a client. A span that is 0 gets its default.
type Config struct {
	Name        string
	Zone        string
	Incarnation uint64
	// ControlMembers are all control members that the settings name, with name and zone; this one too where it is one.
	ControlMembers    []ControlMember
	HeartbeatInterval monotime.Micros // between two heartbeats of an attached front end
	SuspectAfter      monotime.Micros // of silence
	DeadAfter         monotime.Micros // of silence
	// PauseThreshold is how much later than due a call comes where this process was stopped: what it has not heard meanwhile says nothing.
	PauseThreshold monotime.Micros
	BatchDelay     monotime.Micros // how long changes are collected
	MaxEntries     int             // entries that a view may have
	Seed           uint64          // for jitter; the same seed, the same run
}

// Defaults of a configuration's spans and bounds.
const (
	DefaultHeartbeatInterval monotime.Micros = 1_000_000
	DefaultSuspectAfter      monotime.Micros = 2_500_000
	DefaultDeadAfter         monotime.Micros = 4_000_000
	DefaultPauseThreshold    monotime.Micros = 600_000
	DefaultBatchDelay        monotime.Micros = 50_000
	DefaultMaxEntries                        = 8192
)

// withDefaults fills in what was left out.
func (c Config) withDefaults() Config {
	span := func(value *monotime.Micros, otherwise monotime.Micros) {
		if *value <= 0 {
			*value = otherwise
		}
	}
	span(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	span(&c.SuspectAfter, DefaultSuspectAfter)
	span(&c.DeadAfter, DefaultDeadAfter)
	span(&c.PauseThreshold, DefaultPauseThreshold)
	span(&c.BatchDelay, DefaultBatchDelay)
	if c.MaxEntries <= 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	return c
}

// Errors of a peer that does not keep to the form or to what its link has proven; the link is closed.
var (
	ErrMalformed      = errors.New("attach: malformed message")
	ErrUnexpectedKind = errors.New("attach: a message that this side does not take")
	ErrNameMismatch   = errors.New("attach: a name that is not the link's")
	ErrUnknownHome    = errors.New("attach: an unknown control member")
	ErrSuperseded     = errors.New("attach: a process whose name has a later one")
	ErrTooManyEntries = errors.New("attach: more entries than a view may have")
	ErrDigestMismatch = errors.New("attach: digests that never agree")
)
