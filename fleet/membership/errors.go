package membership

import "errors"

// Errors of a peer whose messages are malformed, or are not what its link has been authenticated for. The link is to be
// closed. Receive methods return errors that wrap one of these.
var (
	// ErrMalformed is the error of bytes that are not a valid message.
	ErrMalformed = errors.New("membership: malformed message")
	// ErrUnexpectedKind is the error of a kind of message that this side does not receive.
	ErrUnexpectedKind = errors.New("membership: unexpected kind of message")
	// ErrNameMismatch is the error of a name that is not the link's, or that may not attach.
	ErrNameMismatch = errors.New("membership: name does not match the link")
	// ErrUnknownHome is the error of a control member that the settings do not name.
	ErrUnknownHome = errors.New("membership: unknown control member")
	// ErrSuperseded is the error of a process whose name has a later one.
	ErrSuperseded = errors.New("membership: process superseded by a later one of its name")
	// ErrTooManyEntries is the error of more entries than a view may have.
	ErrTooManyEntries = errors.New("membership: too many entries")
	// ErrDigestMismatch is the error of digests that do not agree even after repairs.
	ErrDigestMismatch = errors.New("membership: digests never agree")
)
