package gateway

import (
	"log/slog"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/monotime"
)

// callers identifies and authorizes the callers of requests. Without a guard, every request is allowed.
type callers struct {
	guard *identity.Guard // nil if callers are not identified
}

// ConfigureIdentity sets the options for the identification and authorization of callers; nil turns both off. Tokens
// that were verified before stay verified, and open requests stay open. If an option is invalid, nothing changes and
// the error names the option's key.
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

// Guard returns the guard that identifies and authorizes callers; nil if callers are not identified.
func (c *Core) Guard() *identity.Guard { return c.callers.guard }

// identify returns the caller of a request; the zero value if callers are not identified.
func (c *callers) identify(now monotime.Micros, call *Call) (identity.Caller, error) {
	if c.guard == nil {
		return identity.Caller{}, nil
	}
	credentials := &call.Credentials
	caller, err := c.guard.Authenticate(credentials.Token, credentials.Certificate, credentials.ClientAddress, now,
		credentials.WallTime)
	if err != nil {
		c.logDenied(now, call, err)
	}
	return caller, err
}

// admit authorizes a request, sets its tenant to that of its caller, and counts it against the caller's limits until
// release.
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

// release stops counting an admitted request against its caller's limits.
func (c *callers) release(caller identity.Caller) {
	if c.guard != nil && caller.Name != "" {
		c.guard.Release(caller)
	}
}

// logDenied logs a denied request, at a limited rate. It never logs the request's credentials.
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
