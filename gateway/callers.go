package gateway

import (
	"log/slog"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/monotime"
)

// callers is the core's side of who calls; all may do all where it is off.
type callers struct {
	guard *identity.Guard // nil where it is off
}

// IdentifyCallers has calls prove who they come from, by these options; nil takes that back. What was verified and what is
// open stay. An error names the faulty key, and nothing changes.
func (c *Core) IdentifyCallers(o *identity.Options) error {
	if o == nil {
		c.callers.guard = nil
		return nil
	}
	classes := c.settings.ClassNames()
	if c.callers.guard != nil {
		return c.callers.guard.Apply(*o, classes)
	}
	guard, err := identity.New(*o, classes, token.Verifier{})
	if err == nil {
		c.callers.guard = guard
	}
	return err
}

// Guard is what decides on callers; nil where that is off.
func (c *Core) Guard() *identity.Guard { return c.callers.guard }

// identify says who a call comes from. Where callers are identified a call is of its caller's tenant.
func (s *callers) identify(now monotime.Micros, call *Call) (identity.Caller, error) {
	if s.guard == nil {
		return identity.Caller{}, nil
	}
	caller, err := s.guard.Identify(call.Proof.Token, call.Proof.Certificate, call.Proof.Address, now, call.Proof.Wall)
	return caller, s.audited(now, call, err)
}

// enter says whether the caller may send the call, and counts it in.
func (s *callers) enter(now monotime.Micros, caller identity.Caller, call *Call) error {
	if s.guard == nil {
		return nil
	}
	tenant, err := s.guard.Authorize(caller, call.Tenant, call.Class, call.Group)
	if err == nil {
		call.Tenant = tenant
		err = s.guard.Enter(caller, now)
	}
	return s.audited(now, call, err)
}

func (s *callers) leave(caller identity.Caller) {
	if s.guard != nil && caller.Name != "" {
		s.guard.Leave(caller)
	}
}

// audited logs a refusal, as far as its budget goes. The proof is never part of it.
func (s *callers) audited(now monotime.Micros, call *Call, err error) error {
	if err != nil {
		if silenced, ok := s.guard.Audit(now); ok {
			slog.Warn("refused", "call", call.ID, "op", call.Class, "error", err, "silenced", silenced)
		}
	}
	return err
}
