package server

import (
	"log/slog"

	"golang.org/x/sys/unix"

	"chutechute/gateway"
	"chutechute/internal/counters"
	"chutechute/internal/discovery"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/rest"
	"chutechute/internal/ring"
	"chutechute/scheduler"
)

const maxCallSize = 512 << 10 // bytes of one call: a client's frame and its headers

// enginePool is the connection pool to all engines, with the requests that go over it. It is the gateway's
// EngineClient.
type enginePool struct {
	server           *Server
	bufferBudget     ring.Budget
	engines          map[string]*engine // by id
	connections      map[*engineConn]struct{}
	requests         map[*engineRequest]struct{}
	requestByAttempt map[*gateway.Attempt]*engineRequest
}

// newEnginePool returns a pool without engines.
func newEnginePool(s *Server) *enginePool {
	return &enginePool{
		server:           s,
		engines:          map[string]*engine{},
		connections:      map[*engineConn]struct{}{},
		requests:         map[*engineRequest]struct{}{},
		requestByAttempt: map[*gateway.Attempt]*engineRequest{},
	}
}

// counters returns the counters of the server.
func (p *enginePool) counters() *counters.Set { return &p.server.host.Counters }

// turnTime returns the time of this turn of the loop.
func (p *enginePool) turnTime() monotime.Micros { return p.server.host.TurnTime }

// updateEndpoints takes over the addresses and states of engines; connections to a former address are of no more use.
func (p *enginePool) updateEndpoints(event discovery.Event) {
	if event.Kind != scheduler.UpdateChanges {
		for _, e := range p.engines {
			e.removed = true // unless it is listed below
		}
	}
	for _, listed := range event.Engines {
		p.updateEndpoint(listed)
	}
	for _, e := range p.engines {
		if e.removed {
			e.closeIdle()
			p.cancelUnsent(e)
		}
	}
}

// updateEndpoint takes over the address and the state of an engine.
func (p *enginePool) updateEndpoint(listed discovery.Engine) {
	e := p.engines[listed.Engine]
	if e == nil {
		e = &engine{name: listed.Engine, readClock: p.server.host.Clock.Now}
		p.engines[listed.Engine] = e
	}
	slog.Debug("endpoint updated",
		slog.String("engine", listed.Engine),
		slog.Any("address", listed.Address),
		slog.String("zone", listed.Zone),
		slog.Any("state", listed.State),
		slog.Int64("started_us", listed.Started))
	e.draining, e.removed = listed.State != scheduler.Serving, listed.State == scheduler.Removed
	if e.address != listed.Address {
		e.closeIdle()
	}
	e.address = listed.Address
	if e.draining {
		p.cancelUnsent(e)
	}
}

// cancelUnsent takes back the attempts that an engine which drains or is removed has not been sent yet: those that
// still wait for a connection could reach it too long after the update.
func (p *enginePool) cancelUnsent(e *engine) {
	for request := range p.requests {
		if request.engine == e && !request.isHealthCheck() && !request.startSent {
			p.finish(request, scheduler.NotSent)
		}
	}
}

// Start sends an attempt to its engine.
func (p *enginePool) Start(attempt *gateway.Attempt) {
	e := p.engines[attempt.Engine]
	if e == nil {
		p.server.core.AttemptEnded(p.turnTime(), attempt, scheduler.NotSent, nil, nil)
		return
	}
	request := newStatementRequest(attempt, e, p.turnTime())
	p.register(request)
	p.sendNext(request)
}

// HealthCheck asks an engine for its load.
func (p *enginePool) HealthCheck(name string) {
	e := p.engines[name]
	if e == nil {
		p.server.core.HealthCheckEnded(name, scheduler.NoConnection, 0, nil)
		return
	}
	request := &engineRequest{engine: e, startedAt: p.turnTime(), query: rest.NewHealthCheck(e.address.String())}
	p.register(request)
	p.sendNext(request)
}

// Cancel cancels an attempt. The response to its start is awaited first, since a DELETE that overtook the start would
// find no query to cancel and leave it running. Else the DELETE goes at once, over another connection than the one on
// which the response to a poll is awaited.
func (p *enginePool) Cancel(attempt *gateway.Attempt) {
	request := p.requestByAttempt[attempt]
	switch {
	case request == nil:
	case !request.startSent:
		p.finish(request, scheduler.NotSent)
	case request.query.StartPending() || request.startUnconfirmed:
		request.cancelAfterStart = true
	default:
		p.sendDelete(request)
	}
}

// SetPriority changes the priority of an attempt; its engine gets it with the next call that can carry it.
func (p *enginePool) SetPriority(attempt *gateway.Attempt) {
	if request := p.requestByAttempt[attempt]; request != nil {
		request.query.SetPriority(attempt.Priority)
	}
}

// sendDelete has a request go on with its DELETE, over a connection that is free.
func (p *enginePool) sendDelete(request *engineRequest) {
	if c := request.detach(); c != nil {
		c.abandonedPoll = request
		if c.isConnecting() {
			c.terminate()
		}
	}
	request.query.Cancel()
	p.sendNext(request)
}

// sendNext sends a request's next call over a reusable connection, or over a new one.
func (p *enginePool) sendNext(request *engineRequest) {
	e := request.engine
	if request.isWaiting {
		return
	}
	if c := e.takeReusable(); c != nil {
		request.assign(c)
		c.send()
		return
	}
	// Where all descriptors are taken, those that an engine has are shared in turn: a query that was not polled for
	// want of one would be abandoned by its engine. An engine without any always gets one.
	if p.server.freeDescriptors() <= p.server.clientReserve() && e.connectionCount > 0 && !p.evictIdle() {
		e.enqueue(request)
		return
	}
	p.dial(request)
}

// sendWaiting sends the next call of the first request that waits for a connection to an engine.
func (p *enginePool) sendWaiting(e *engine) {
	if request := e.dequeue(); request != nil {
		p.sendNext(request)
	}
}

// dial gives a request a new connection.
func (p *enginePool) dial(request *engineRequest) {
	e := request.engine
	fd, err := eventloop.Dial(e.address)
	if err != nil {
		p.handleNoConnection(request, err == unix.ECONNREFUSED)
		return
	}
	p.counters().EngineDials++
	slog.Debug("dialing engine", slog.String("engine", e.name), slog.Int("connections", e.connectionCount))
	c := &engineConn{
		Stream:       eventloop.NewStream(p.server.host.Loop, fd, rest.MaxResponse, maxCallSize, &p.bufferBudget),
		pool:         p,
		engine:       e,
		state:        engineDialing,
		lastActivity: p.turnTime(),
	}
	request.assign(c)
	c.Interest = unix.EPOLLOUT
	p.connections[c] = struct{}{}
	e.connectionCount++
	if err := p.server.host.Loop.Add(fd, c.Interest, c); err != nil {
		c.terminate()
		p.handleNoConnection(request, false)
	}
}
