package identity

import (
	"fmt"

	"chutechute/internal/monotime"
)

// Reason is why a call was turned away.
type Reason string

// The reasons.
const (
	NoProof      Reason = "no proof"     // neither token nor certificate
	BadProof     Reason = "bad proof"    // not signed by a key that holds, or not to be read
	Outdated     Reason = "outdated"     // expired, not yet valid, or revoked
	Unknown      Reason = "unknown"      // proven, but no rule maps it to a caller
	Disagreement Reason = "disagreement" // token and certificate stand for two callers
	OtherTenant  Reason = "other tenant" // the call claims a tenant that is not its caller's
	NoRight      Reason = "no right"     // for the class or the group
	TooMany      Reason = "too many"     // above a ceiling; may come back
	Busy         Reason = "busy"         // the budget for signatures is used up; may come back
)

// Denied is a call that was turned away before it was taken: it never ran.
type Denied struct {
	Reason Reason
	Caller string          // as far as known
	Detail string          // never holds a proof
	After  monotime.Micros // when to come back; 0 where that would change nothing
}

func (d *Denied) Error() string {
	s := "identity: " + string(d.Reason)
	if d.Caller != "" {
		s += fmt.Sprintf(": %q", d.Caller)
	}
	if d.Detail != "" {
		s += ": " + d.Detail
	}
	return s + "; it never ran"
}
