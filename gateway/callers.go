package gateway

import (
	"log/slog"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/monotime"
)

// callers identifies and authorizes the callers of requests. Where it has no guard, every caller may do everything.
type callers struct {
	guard *identity.Guard // nil where callers are not identified
}

// ConfigureIdentity sets the options by which calls must prove their callers' identity; with nil they need not any
// more. Tokens verified before stay valid and requests stay open. The error names the key of an invalid option;
// nothing has changed then.
func (c *Core) ConfigureIdentity(o *identity.Options) error {
	if o == nil {
		c.callers.guard = nil
		return nil
	}
	classes := c.settings.ClassNames()
	if c.callers.guard != nil {
		return c.callers.guard.Apply(*o, classes)
	}
	guard, err := identity.New(*o, classes, token.Verifier{})
	if err != nil {
		return err
	}
	c.callers.guard = guard
	return nil
}

// Guard returns what identifies and authorizes callers; nil where callers are not identified.
func (c *Core) Guard() *identity.Guard { return c.callers.guard }

// identify returns the caller of a call, the zero value where callers are not identified.
func (c *callers) identify(now monotime.Micros, call *Call) (identity.Caller, error) {
	if c.guard == nil {
		return identity.Caller{}, nil
	}
	proof := &call.Credentials
	caller, err := c.guard.Authenticate(proof.Token, proof.Certificate, proof.ClientAddress, now, proof.WallTime)
	if err != nil {
		c.logDenied(now, call, err)
	}
	return caller, err
}

// admit authorizes a call and counts it as open until release. The call gets its caller's tenant.
func (c *callers) admit(now monotime.Micros, caller identity.Caller, call *Call) error {
	if c.guard == nil {
		return nil
	}
	tenant, err := c.guard.Authorize(caller, call.Tenant, call.Class, call.TableGroup)
	if err == nil {
		call.Tenant = tenant
		err = c.guard.Acquire(caller, now)
	}
	if err != nil {
		c.logDenied(now, call, err)
	}
	return err
}

// release ends the count of an admitted call.
func (c *callers) release(caller identity.Caller) {
	if c.guard != nil && caller.Name != "" {
		c.guard.Release(caller)
	}
}

// logDenied logs a call that was denied, at a limited rate. The call's proof is never logged.
func (c *callers) logDenied(now monotime.Micros, call *Call, err error) {
	suppressed, ok := c.guard.AllowLogEntry(now)
	if !ok {
		return
	}
	slog.Warn("request denied",
		slog.String("request_id", call.ID),
		slog.String("class", call.Class),
		slog.Any("error", err),
		slog.Int("suppressed", suppressed))
}
