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

const maxCallSize = 512 << 10 // bytes of one call: the statement from a client's frame and the headers

// enginePool holds the connections to all engines and the requests sent over them. It implements gateway.EngineClient.
type enginePool struct {
	server           *Server
	bufferBudget     ring.Budget
	engines          map[string]*engine // by ID
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

// turnTime returns the time of the current turn.
func (p *enginePool) turnTime() monotime.Micros { return p.server.host.TurnTime }

// updateEndpoints applies the addresses and states of an event. Connections to an engine's former address are closed.
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

// updateEndpoint applies the address and the state of one engine.
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

// cancelUnsent ends the attempts that have not been sent yet to an engine that drains or is removed. While they wait
// for a connection, they could reach the engine too long after the update.
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
	if e == nil || e.draining && !attempt.AlreadyRunning {
		p.server.core.AttemptEnded(p.turnTime(), attempt, scheduler.NotSent, nil, nil)
		return
	}
	request := newStatementRequest(attempt, e, p.turnTime())
	p.register(request)
	p.sendNext(request)
}

// HealthCheck requests the load report of an engine.
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

// Cancel cancels an attempt. If the start has no response yet, the DELETE is sent after that response: a DELETE that
// overtook the start would find no query to cancel, and the query would run on. Otherwise the DELETE is sent at once,
// over another connection than the one that waits for the response to a poll.
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

// SetPriority changes the priority of an attempt. The engine receives it with the next call that can carry it.
func (p *enginePool) SetPriority(attempt *gateway.Attempt) {
	if request := p.requestByAttempt[attempt]; request != nil {
		request.query.SetPriority(attempt.Priority)
	}
}

// sendDelete sends the DELETE of a request over another connection.
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

// sendNext sends a request's next call over a reusable connection or a new one.
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
	// When no descriptors are available, the requests of an engine take turns on its connections. Without turns a query
	// that has no connection would not be polled, and its engine would abandon it. An engine without any connection
	// always gets one.
	if p.server.availableDescriptors() <= p.server.clientReserve() && e.connectionCount > 0 && !p.evictIdle() {
		e.enqueue(request)
		return
	}
	p.dial(request)
}

// sendWaiting sends the next call of the first request that waits for a connection to the engine.
func (p *enginePool) sendWaiting(e *engine) {
	if request := e.dequeue(); request != nil {
		p.sendNext(request)
	}
}

// dial opens a new connection for a request.
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
