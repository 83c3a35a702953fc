package epoll

import (
	"time"

	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/gateway"
	"chutechute/internal/counters"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

// host is the loop of a program with its time and counters.
type host struct {
	loop  *loop
	clock clock
	now   monotime.Micros // of this turn
	count counters.Set
}

func newHost(l *loop) host {
	h := host{loop: l, clock: clock{time.Now()}}
	h.now = h.clock.now()
	return h
}

// program is what the links to other front ends need of the program that they run in: a Server, or a Hollow without clients,
// engines and decisions.
type program struct {
	host     *host
	seed     uint64
	post     func(func())       // runs something on the loop; from any goroutine
	core     *gateway.Core      // nil in a hollow front end
	settings *settings.Settings // nil without a core
	draining func() bool        // a planned end has begun
	sockets  int                // descriptors that the program may have; 0: no bound
}

// successor is what takes over loads of other front ends.
func (p *program) successor() idempotencyclient.Core {
	if p.core == nil {
		return noSuccessor{}
	}
	return p.core
}

// noSuccessor takes over no load.
type noSuccessor struct{}

// TakeOver refuses a load.
func (noSuccessor) TakeOver(monotime.Micros, gateway.Takeover) *gateway.Registration { return nil }
