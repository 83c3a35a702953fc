package peering

import (
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/gateway"
	"chutechute/internal/counters"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

// Host is a program's event loop with its time and its counters.
type Host struct {
	Loop     *eventloop.Loop
	Clock    eventloop.Clock
	TurnTime monotime.Micros // the time of the present turn
	Counters counters.Set
}

// NewHost returns a host over a loop, with the present time as that of its turn.
func NewHost(loop *eventloop.Loop) Host {
	h := Host{Loop: loop, Clock: eventloop.NewClock()}
	h.TurnTime = h.Clock.Now()
	return h
}

// Program is what a Peering needs of the program that it runs in: of a server, or of a Hollow, which has no clients and
// no engines.
type Program struct {
	Host           *Host
	Seed           uint64
	Post           func(func())       // runs a function on the loop; may be called from any goroutine
	Core           *gateway.Core      // nil in a hollow front end
	Settings       *settings.Settings // nil in a hollow front end
	Draining       func() bool        // reports whether a planned end has begun
	MaxDescriptors int                // descriptors that the program may have open; 0: no limit
}

// takeoverCore returns what takes over requests of other front ends.
func (p *Program) takeoverCore() idempotencyclient.TakeoverHandler {
	if p.Core == nil {
		return takeoverRefuser{}
	}
	return p.Core
}

// takeoverRefuser takes over no request.
type takeoverRefuser struct{}

// TakeOver refuses a request: it returns no registration.
func (takeoverRefuser) TakeOver(monotime.Micros, gateway.Takeover) *gateway.Registration { return nil }
