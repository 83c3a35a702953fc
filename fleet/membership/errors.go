package membership

import "errors"

// Errors of the methods that receive messages, which may wrap them. Each means that a message is invalid or does not
// match the identity for which its link was authenticated; the link must be closed.
var (
	// ErrMalformed is returned for a message that cannot be decoded or is invalid.
	ErrMalformed = errors.New("membership: malformed message")
	// ErrUnexpectedKind is returned for a message of a kind that the receiver does not handle.
	ErrUnexpectedKind = errors.New("membership: unexpected kind of message")
	// ErrNameMismatch is returned for a name that does not match the link, or that may not attach.
	ErrNameMismatch = errors.New("membership: name does not match the link")
	// ErrUnknownHome is returned for a control member that is not in the settings.
	ErrUnknownHome = errors.New("membership: unknown control member")
	// ErrSuperseded is returned for a process that a later one of its name has superseded.
	ErrSuperseded = errors.New("membership: process superseded by a later one of the same name")
	// ErrTooManyEntries is returned for more entries than a view may have.
	ErrTooManyEntries = errors.New("membership: too many entries")
	// ErrDigestMismatch is returned if digests still differ after repairs.
	ErrDigestMismatch = errors.New("membership: persistent digest mismatch")
)
