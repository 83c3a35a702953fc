package identity

import (
	"fmt"

	"chutechute/internal/monotime"
)

// Reason is why a request was denied. Its text is sent to clients.
type Reason string

// The reasons for denying a request.
const (
	// NoCredentials means that the request has neither a token nor a client certificate.
	NoCredentials Reason = "no proof"
	// InvalidToken means that the token is malformed, too long or not signed with a valid key.
	InvalidToken Reason = "bad proof"
	// NotValidNow means that the token or certificate is expired, not yet valid, for another audience or revoked, that
	// the token has no expiry, or that its key is no longer valid.
	NotValidNow Reason = "outdated"
	// UnknownCaller means that no rule maps the token or certificate to a caller.
	UnknownCaller Reason = "unknown"
	// CallerMismatch means that the token and the certificate identify different callers.
	CallerMismatch Reason = "disagreement"
	// TenantMismatch means that the request names another tenant than its caller's.
	TenantMismatch Reason = "other tenant"
	// PermissionDenied means that no right allows the caller this class and table group, or that a right denies them.
	PermissionDenied Reason = "no right"
	// CeilingReached means that the caller's ceiling is reached. The request may be retried later.
	CeilingReached Reason = "too many"
	// SignatureBudgetExhausted means that no signature check is left in the budget. The request may be retried later.
	SignatureBudgetExhausted Reason = "busy"
)

// Denied is the error for a request that was denied. The request never ran.
type Denied struct {
	Reason     Reason
	Caller     string          // the caller's name, if known
	Detail     string          // for operators and clients; never contains a credential
	RetryAfter monotime.Micros // time after which a retry may succeed; 0 if it would be denied again
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
