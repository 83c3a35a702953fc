package peering

import (
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/gateway"
	"chutechute/internal/counters"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

// Host is a program's event loop with its clock and counters.
type Host struct {
	Loop     *eventloop.Loop
	Clock    eventloop.Clock
	TurnTime monotime.Micros // the time at which the current turn started
	Counters counters.Set
}

// NewHost returns a host for an event loop, with TurnTime set to the current time.
func NewHost(loop *eventloop.Loop) Host {
	h := Host{Loop: loop, Clock: eventloop.NewClock()}
	h.TurnTime = h.Clock.Now()
	return h
}

// Program is what a Peering needs from the program that it runs in: a server, or a Hollow, which has no clients and
// engines.
type Program struct {
	Host           *Host
	Seed           uint64
	Post           func(func())       // runs a function on the loop; may be called from any goroutine
	Core           *gateway.Core      // nil in a hollow front end
	Settings       *settings.Settings // nil in a hollow front end
	Draining       func() bool        // reports whether the graceful shutdown has begun
	MaxDescriptors int                // maximum number of open file descriptors; 0: no limit
}

// takeoverCore returns the handler that takes over other front ends' requests.
func (p *Program) takeoverCore() idempotencyclient.TakeoverHandler {
	if p.Core == nil {
		return noTakeover{}
	}
	return p.Core
}

// noTakeover is the handler of a front end without a gateway core, which takes over no requests.
type noTakeover struct{}

// TakeOver returns nil, as the request is not taken over.
func (noTakeover) TakeOver(monotime.Micros, gateway.Takeover) *gateway.Registration { return nil }
