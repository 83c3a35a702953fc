// Package transport is the link between two front ends: frames, the handshake that names and authenticates both sides,
// and the send queue. It is fed bytes and does no I/O.
//
// A link carries messages in one direction, from the side that dialed to the side that listens, so that two control
// members have two links and each direction can fail alone. Only the link that an attached front end has dialed carries
// messages in both directions.
//
// A link guarantees neither delivery nor order: a message may be lost with its connection, be late, or arrive twice.
package transport

import "errors"

// Kind is what a frame carries.
type Kind byte

// The kinds of frames. Challenge, Hello and Welcome are the handshake.
const (
	Challenge        Kind = iota + 1 // from the listener: a nonce
	Hello                            // from the dialer: its identity and the proof of it
	Welcome                          // from the listener: its identity and the proof of it
	ControlHeartbeat                 // between control members
	Replication                      // between replicas
	Proposal                         // a command for the replicated log
	Response                         // the response to a proposal
	Notification                     // that what a front end waits for may have changed
	Bootstrap                        // the first members of a new replicated log
	Relay                            // a message of another kind, by way of a third front end

	// Kinds of attached front ends and the control members that serve them; see package membership.

	AttachedHeartbeat // from an attached front end
	ViewUpdate        // to an attached front end
	TablePull         // asks a control member for a table
	TableUpdate       // a table of one control member's attached front ends
	Forward           // a proposal, response or notification of an attached front end, between control members

	endOfKinds
)

// kindNames are the names that operators see.
var kindNames = [endOfKinds]string{"", "challenge", "hello", "welcome", "status", "ledger", "ask", "answer", "note",
	"found", "relay", "heartbeat", "view", "pull", "table", "forward"}

// valid reports whether there is such a kind.
func (k Kind) valid() bool { return k != 0 && k < endOfKinds }

// String returns the kind's name as operators see it, "unknown" for a number that is none.
func (k Kind) String() string {
	if !k.valid() {
		return "unknown"
	}
	return kindNames[k]
}

// Message is one message of a link.
type Message struct {
	Kind Kind
	Body []byte
}

// Errors of a remote side that violates the framing. The link is to be closed.
var (
	ErrFrameLength     = errors.New("transport: length out of range")
	ErrUnknownKind     = errors.New("transport: unknown kind of frame")
	ErrFragmentOrder   = errors.New("transport: fragment out of order")
	ErrUnexpectedFrame = errors.New("transport: unexpected frame")
)

// Errors of a handshake. The link is to be closed.
var (
	ErrAuthentication   = errors.New("transport: authentication failed")
	ErrSiteMismatch     = errors.New("transport: remote side belongs to another site")
	ErrNameMismatch     = errors.New("transport: unexpected front end")
	ErrNoCommonVersion  = errors.New("transport: no common protocol version")
	ErrSettingsMismatch = errors.New("transport: settings differ")
	ErrSelfConnection   = errors.New("transport: connected to this process itself")
	ErrRoleMismatch     = errors.New("transport: role mismatch")
	ErrAtCapacity       = errors.New("transport: no capacity for another attached front end")
)
