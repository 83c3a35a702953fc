package identity

import (
	"fmt"

	"chutechute/internal/monotime"
)

// Reason tells why a call was denied. Its text stands in answers to clients.
type Reason string

// The reasons for which a call is denied.
const (
	// NoCredentials means that the call has neither a token nor a client certificate.
	NoCredentials Reason = "no proof"
	// InvalidToken means that the token can't be read or is not signed by a valid key.
	InvalidToken Reason = "bad proof"
	// NotValidNow means that the token or certificate is expired, not yet valid, for another audience or revoked, or that
	// the token's key is no longer valid.
	NotValidNow Reason = "outdated"
	// UnknownCaller means that no rule maps the token or certificate to a caller.
	UnknownCaller Reason = "unknown"
	// CallerMismatch means that token and certificate stand for two callers.
	CallerMismatch Reason = "disagreement"
	// TenantMismatch means that the call claims another tenant than its caller's.
	TenantMismatch Reason = "other tenant"
	// PermissionDenied means that the caller has no right to the class or the group, or that a right denies them.
	PermissionDenied Reason = "no right"
	// CeilingReached means that the caller's ceiling is reached. The call may be sent again later.
	CeilingReached Reason = "too many"
	// SignatureBudgetExhausted means that the budget of signature checks is exhausted. The call may be sent again later.
	SignatureBudgetExhausted Reason = "busy"
)

// Denied is the error of a call that was not admitted. The call never ran.
type Denied struct {
	Reason     Reason
	Caller     string          // the caller's name, where it is known
	Detail     string          // for operators and clients; never a credential
	RetryAfter monotime.Micros // after which the call may be sent again; 0 where it would be denied again
}

// Error returns the reason, the caller and the detail.
func (d *Denied) Error() string {
	text := "identity: " + string(d.Reason)
	if d.Caller != "" {
		text += fmt.Sprintf(": %q", d.Caller)
	}
	if d.Detail != "" {
		text += ": " + d.Detail
	}
	return text + "; it never ran"
}
