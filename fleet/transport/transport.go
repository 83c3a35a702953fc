// Package transport implements the protocol of a link between two front ends: the framing, the handshake that
// identifies and authenticates both sides, and the send queue. It works on bytes that its caller reads and writes, and
// does no I/O itself.
//
// A link carries messages from the dialer to the listener only. Two control members therefore have two links, one for
// each direction, and either can fail without the other. The exception is the link that an attached front end dials,
// which carries messages in both directions.
//
// A link guarantees neither delivery nor order: a message may be lost with its connection, delayed or duplicated.
package transport

import "errors"

// Kind is the type of the message that a frame carries.
type Kind byte

// The kinds of frames. Challenge, Hello and Welcome are the handshake.
const (
	Challenge        Kind = iota + 1 // from the listener: a nonce
	Hello                            // from the dialer: its identity, authenticated by a MAC
	Welcome                          // from the listener: its identity, authenticated by a MAC
	ControlHeartbeat                 // between control members
	Replication                      // between replicas
	Proposal                         // a command for the replicated log
	Response                         // the result of a proposal
	Notification                     // state that a front end waits for may have changed
	Bootstrap                        // the initial members of a new replicated log
	Relay                            // a message of another kind, relayed by a third front end

	// Messages of attached front ends and of the control members that serve them; see package membership.

	AttachedHeartbeat // from an attached front end
	ViewUpdate        // to an attached front end
	TablePull         // a request for a table, between control members
	TableUpdate       // the table of a control member's attached front ends, or changes of it
	Forward           // an attached front end's proposal, or a response or notification for it, between control members

	endOfKinds
)

// kindNames holds the operator-facing names of the kinds.
var kindNames = [endOfKinds]string{"", "challenge", "hello", "welcome", "status", "ledger", "ask", "answer", "note",
	"found", "relay", "heartbeat", "view", "pull", "table", "forward"}

// valid reports whether k is a known kind.
func (k Kind) valid() bool { return k != 0 && k < endOfKinds }

// String returns the kind's operator-facing name, or "unknown" if k is not a known kind.
func (k Kind) String() string {
	if !k.valid() {
		return "unknown"
	}
	return kindNames[k]
}

// Message is a message received over a link, reassembled from its frames.
type Message struct {
	Kind Kind
	Body []byte
}

// Protocol errors. The link must be closed after one.
var (
	ErrFrameLength     = errors.New("transport: length out of range")
	ErrUnknownKind     = errors.New("transport: unknown kind of frame")
	ErrFragmentOrder   = errors.New("transport: fragment out of order")
	ErrUnexpectedFrame = errors.New("transport: unexpected frame")
)

// Handshake errors. The link must be closed after one.
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
