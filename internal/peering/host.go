package peering

import (
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/gateway"
	"chutechute/internal/counters"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

// Host is the loop of a program with its time and counters.
type Host struct {
	Loop     *eventloop.Loop
	Clock    eventloop.Clock
	TurnTime monotime.Micros // of this turn
	Counters counters.Set
}

func NewHost(l *eventloop.Loop) Host {
	h := Host{Loop: l, Clock: eventloop.NewClock()}
	h.TurnTime = h.Clock.Now()
	return h
}

// Program is what the links to other front ends need of the program that they run in: a Server, or a Hollow without clients,
// engines and decisions.
type Program struct {
	Host           *Host
	Seed           uint64
	Post           func(func())       // runs something on the loop; from any goroutine
	Core           *gateway.Core      // nil in a hollow front end
	Settings       *settings.Settings // nil without a core
	Draining       func() bool        // a planned end has begun
	MaxDescriptors int                // descriptors that the program may have; 0: no bound
}

// successor is what takes over loads of other front ends.
func (p *Program) successor() idempotencyclient.Core {
	if p.Core == nil {
		return noSuccessor{}
	}
	return p.Core
}

// noSuccessor takes over no load.
type noSuccessor struct{}

// TakeOver refuses a load.
func (noSuccessor) TakeOver(monotime.Micros, gateway.Takeover) *gateway.Registration { return nil }
