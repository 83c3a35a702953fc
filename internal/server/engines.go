package server

import (
	"log/slog"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"

	"chutechute/gateway"
	"chutechute/internal/discovery"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/rest"
	"chutechute/internal/ring"
	"chutechute/scheduler"
)

const (
	responseTimeout        = 300 * monotime.Millisecond  // an engine answers each call within 250 monotime.Millisecond
	silenceTimeout         = 1000 * monotime.Millisecond // and stands still for 600 at most, unless it is heard on other connections
	overtakenGrace         = 50 * monotime.Millisecond
	partialResponseTimeout = 100 * monotime.Millisecond // an answer comes at one go
	abandonTimeout         = gateway.AbandonTimeout
	redialDelay            = 100 * monotime.Millisecond
	resetWindow            = 50 * monotime.Millisecond // what ends in one moment is read within
	maxResumes             = 3                         // connections, one after another, on which a query is asked after again
	maxRedials             = 2                         // connections that may break before they carry anything of a query
	healthCheckTimeout     = 250 * monotime.Millisecond
	bufferIdleTimeout      = 1000 * monotime.Millisecond // idle connections hold no storage
	normalReuseDelay       = 50 * monotime.Millisecond   // that a connection rests between two queries: what crosses, a second answer too, does so within that
	longPollDuration       = 250 * monotime.Millisecond  // an engine that has no news says so after as long, no sooner
	longPollTolerance      = 50 * monotime.Millisecond
	maxCallSize            = 512 << 10 // bytes of one call: a client's frame and its headers
)

// enginePool is the connections to all engines and the queries that go over them.
type enginePool struct {
	server           *Server
	bufferBudget     ring.Budget
	engines          map[string]*engine
	connections      map[*engineConn]struct{}
	requests         map[*engineRequest]struct{}
	requestByAttempt map[*gateway.Attempt]*engineRequest
}

// engine is one engine, by its id: another may come to have its address.
type engine struct {
	name               string
	address            netip.AddrPort
	idle               []*engineConn // the last used one last
	connectionCount    int
	establishedCount   int // of conns, those that have come up; those that are dialled may all be refused
	requestCount       int
	lastSeen           monotime.Micros  // when it last answered anything
	draining           bool             // or is gone, by the list
	removed            bool             // and forgotten once nothing of it is left
	refusesConnections bool             // it took no connection when it was last asked for one
	resetCount         int              // connections that it ended under a call, in one moment and since it was last heard
	resetWindowStart   monotime.Micros  // when that was
	waitQueue          []*engineRequest // for a connection, where no descriptor is left: in turn
	now                func() monotime.Micros
}

// engineRequest is a query's way through its calls, over one connection after another.
type engineRequest struct {
	attempt          *gateway.Attempt // nil for a probe
	engine           *engine
	query            *rest.Query
	connection       *engineConn
	startedAt        monotime.Micros
	lastPolled       monotime.Micros // when the engine was last asked, if ever
	startSent        bool            // some of the POST may have reached the engine
	connectionReset  bool            // its last connection was ended by the engine
	startUnconfirmed bool            // the POST may not have been read yet, and may be later
	finalDelete      bool            // the DELETE that ends the doubt is out
	cancelAfterStart bool            // to be dropped once the POST is answered
	resumeCount      int             // since the last answer
	redialCount      int
	waiting          bool            // in its engine's line for a connection
	redialAt         monotime.Micros // when to try again for a connection, as none came up; 0: not
	finished         bool
}

func newEnginePool(s *Server) *enginePool {
	return &enginePool{server: s, engines: map[string]*engine{}, connections: map[*engineConn]struct{}{}, requests: map[*engineRequest]struct{}{},
		requestByAttempt: map[*gateway.Attempt]*engineRequest{}}
}

// updateEndpoints takes over the addresses of engines; connections to an old one are of no more use.
func (p *enginePool) updateEndpoints(event discovery.Event) {
	if event.Kind != scheduler.UpdateChanges {
		for _, e := range p.engines {
			e.removed = true // unless it is listed below
		}
	}
	for _, en := range event.Engines {
		e := p.engines[en.Engine]
		if e == nil {
			e = &engine{name: en.Engine, now: p.server.host.Clock.Now}
			p.engines[en.Engine] = e
		}
		slog.Debug("listed", "engine", en.Engine, "addr", en.Addr, "zone", en.Zone, "state", en.State, "started", en.Started)
		e.draining, e.removed = en.State != scheduler.Serving, en.State == scheduler.Removed
		if e.address != en.Addr {
			e.closeIdle()
		}
		e.address = en.Addr
		if en.State != scheduler.Serving {
			p.cancelUnsent(e)
		}
	}
	for _, e := range p.engines {
		if e.removed {
			e.closeIdle()
			p.cancelUnsent(e)
		}
	}
}

// closeIdle closes the idle connections.
func (e *engine) closeIdle() {
	for len(e.idle) > 0 {
		e.idle[0].terminate()
	}
}

// cancelUnsent takes back what an engine that drains or is gone has not been sent yet: what still waited for a
// connection could reach it too long after the news.
func (p *enginePool) cancelUnsent(e *engine) {
	for j := range p.requests {
		if j.engine == e && j.attempt != nil && !j.startSent {
			p.finish(j, scheduler.NotSent)
		}
	}
}

// Start sends an attempt to its engine.
func (p *enginePool) Start(a *gateway.Attempt) {
	e := p.engines[a.Engine]
	if e == nil {
		p.server.core.AttemptEnded(p.server.host.TurnTime, a, scheduler.NotSent, nil, nil)
		return
	}
	j := &engineRequest{attempt: a, engine: e, startedAt: p.server.host.TurnTime, query: rest.NewQuery(e.address.String(), rest.Start{ID: a.ID,
		Class: a.Class, Once: a.IdempotencyKey, Statement: a.Statement, Wait: a.Timeout, GrantMB: a.GrantMB, Priority: a.Priority})}
	if a.AlreadyRunning { // it may not have come to its engine yet, or never will
		j.startSent, j.startUnconfirmed, j.lastPolled = true, true, p.server.host.TurnTime
		j.query.Resume()
	}
	p.requestByAttempt[a] = j
	p.register(j)
	p.sendNext(j)
}

// HealthCheck asks an engine for its load.
func (p *enginePool) HealthCheck(name string) {
	e := p.engines[name]
	if e == nil {
		p.server.core.HealthCheckEnded(name, scheduler.NoConnection, 0, nil)
		return
	}
	j := &engineRequest{engine: e, startedAt: p.server.host.TurnTime, query: rest.NewProbe(e.address.String())}
	p.register(j)
	p.sendNext(j)
}

func (p *enginePool) register(j *engineRequest) {
	p.requests[j] = struct{}{}
	j.engine.requestCount++
}

// Cancel ends an attempt early. A start that has not been answered is waited for first, since a DELETE
// that overtook it would find nothing to give up and leave it running. Else the DELETE goes at once over
// another connection than the one on which the news is awaited.
func (p *enginePool) Cancel(a *gateway.Attempt) {
	j := p.requestByAttempt[a]
	switch {
	case j == nil:
	case !j.startSent:
		p.finish(j, scheduler.NotSent)
	case j.query.Posting() || j.startUnconfirmed:
		j.cancelAfterStart = true
	default:
		p.sendDelete(j)
	}
}

// SetPriority has the query know its new priority; its engine is told with the next call that can say so.
func (p *enginePool) SetPriority(a *gateway.Attempt) {
	if j := p.requestByAttempt[a]; j != nil {
		j.query.Renice(a.Priority)
	}
}

// sendDelete turns a job to its DELETE, on a connection that is free.
func (p *enginePool) sendDelete(j *engineRequest) {
	if c := j.connection; c != nil {
		c.request, j.connection, c.abandonedPoll = nil, nil, j
		if c.connecting {
			c.terminate()
		}
	}
	j.query.Drop()
	p.sendNext(j)
}

// sendNext gives a job's next call a connection.
func (p *enginePool) sendNext(j *engineRequest) {
	e := j.engine
	if j.waiting {
		return
	}
	if c := e.takeReusable(); c != nil {
		c.request, j.connection = j, c
		c.send()
		return
	}
	// Where all descriptors are taken, those that an engine has are shared out in turn: a query that went
	// unasked for want of one would be given up by its engine. An engine without any always gets one.
	if p.server.freeDescriptors() <= p.server.clientReserve() && e.connectionCount > 0 && !p.evictIdle() {
		e.enqueue(j)
		return
	}
	p.dial(j)
}

// takeReusable takes the last used of the connections that have rested long enough for another query.
func (e *engine) takeReusable() *engineConn {
	now := e.now()
	for i := len(e.idle) - 1; i >= 0; i = min(i, len(e.idle)) - 1 {
		c := e.idle[i]
		if now-c.lastActivity < c.reuseDelay() {
			continue
		}
		if !c.PeerSilent() {
			c.terminate() // which takes it out
			continue
		}
		e.idle, c.duplicateResponsePossible = append(e.idle[:i], e.idle[i+1:]...), false
		return c
	}
	return nil
}

// dial gives a job a new connection.
func (p *enginePool) dial(j *engineRequest) {
	e := j.engine
	fd, err := eventloop.Dial(e.address)
	if err != nil {
		p.handleNoConnection(j, err == unix.ECONNREFUSED)
		return
	}
	p.server.host.Counters.Dialled++
	slog.Debug("dial", "engine", e.name, "conns", e.connectionCount)
	c := &engineConn{Stream: eventloop.NewStream(p.server.host.Loop, fd, rest.MaxResponse, maxCallSize, &p.bufferBudget), pool: p, engine: e, request: j,
		connecting: true, lastActivity: p.server.host.TurnTime}
	j.connection = c
	c.Interest = unix.EPOLLOUT
	p.connections[c] = struct{}{}
	e.connectionCount++
	if err := p.server.host.Loop.Add(fd, c.Interest, c); err != nil {
		c.terminate()
		p.handleNoConnection(j, false)
	}
}

// freeDescriptor frees a descriptor for a client, if one can be had. Engines use what clients leave of theirs; a connection on
// which a query's end is awaited can go, since no connection owns a query: it is asked after in turn.
func (p *enginePool) freeDescriptor() bool {
	if p.evictIdle() {
		return true
	}
	for c := range p.connections {
		if j := c.request; j != nil && c.busy && j.query.Polling() && p.isReplaceable(c) {
			c.terminate()
			j.connection = nil
			p.sendNext(j)
			return true
		}
	}
	return false
}

// isReplaceable says whether a connection may be closed for its descriptor alone. One under a question about what may not run twice,
// or has others wait in order, may not: how long an engine goes on with a query is known only from what it was asked last. Nor may one
// to an engine that drains and has calls to get, as it takes no new ones, and what runs there could neither be asked after nor given
// up; and as the news of that may be late, not the last one that is up either.
func (p *enginePool) isReplaceable(c *engineConn) bool {
	e := c.engine
	switch {
	case e.requestCount == 0:
		return true
	case c.request != nil && c.request.attempt != nil && c.request.attempt.Strict:
		return false
	}
	return e.establishedCount > 1 && !e.draining && !e.refusesConnections
}

// evictIdle closes the connection that has been idle longest, of those that are replaceable.
func (p *enginePool) evictIdle() bool {
	var oldest *engineConn
	for _, e := range p.engines {
		if len(e.idle) > 0 && p.isReplaceable(e.idle[0]) && (oldest == nil || e.idle[0].lastActivity < oldest.lastActivity) {
			oldest = e.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.terminate()
	return true
}

// tick sees to what time alone brings: dials and calls that took too long, queries that engines have
// given up by now, and idle connections, which are closed well before the engine closes them so that no
// POST meets a closing one.
func (p *enginePool) tick() {
	now, s := p.server.host.TurnTime, p.server.cfg.Settings
	for c := range p.connections {
		age := now - c.lastActivity
		switch j := c.request; {
		case c.connecting && age >= s.DialTimeout:
			c.terminate()
			if j != nil {
				p.handleNoConnection(j, false)
			}
		case c.busy && c.partialSince != 0 && now-c.partialSince >= partialResponseTimeout:
			c.fail(true)
		case c.busy && (age >= silenceTimeout || c.isOvertaken(now)):
			c.terminate()
			if j != nil {
				p.handleUnresponsive(j)
			}
		case !c.busy && !c.connecting && age >= s.ConnIdle/2:
			c.terminate()
		case !c.busy && !c.connecting && age >= bufferIdleTimeout:
			c.FreeBuffers()
		}
	}
	for name, e := range p.engines {
		for len(e.waitQueue) > 0 && slices.ContainsFunc(e.idle, func(c *engineConn) bool { return now-c.lastActivity >= c.reuseDelay() }) {
			if j := e.dequeue(); j != nil {
				p.sendNext(j)
			}
		}
		if e.removed && e.connectionCount == 0 && e.requestCount == 0 {
			delete(p.engines, name)
		}
	}
	for j := range p.requests {
		switch {
		case j.attempt == nil && now-j.startedAt >= healthCheckTimeout:
			p.finish(j, scheduler.TimedOut)
		case j.startSent && (j.connection == nil || j.cancelAfterStart || j.query.Dropping()) && now-j.lastPolled >= abandonTimeout:
			if j.connection != nil {
				j.connection.terminate()
				j.connection = nil
			}
			if j.startUnconfirmed && !j.finalDelete { // if the POST has come late after all, this ends it
				j.finalDelete, j.lastPolled = true, now-abandonTimeout+silenceTimeout
				j.query.Drop()
				p.dial(j)
				continue
			}
			p.finish(j, scheduler.Reset)
		case j.redialAt != 0 && now >= j.redialAt:
			j.redialAt = 0
			p.sendNext(j)
		}
	}
}

// startExpired says that a start may not be written any more. It reads the clock anew: the process may have stood still since this
// turn began, and others may hold the attempt for over by now.
func (j *engineRequest) startExpired() bool {
	return j != nil && j.attempt != nil && j.attempt.StartBy != 0 && j.query.Posting() && j.engine.now() >= j.attempt.StartBy
}

// enqueue puts a job at the end of the line for a connection.
func (e *engine) enqueue(j *engineRequest) {
	if !j.waiting {
		j.waiting = true
		e.waitQueue = append(e.waitQueue, j)
	}
}

// dequeue takes the first job that waits for a connection.
func (e *engine) dequeue() *engineRequest {
	for len(e.waitQueue) > 0 {
		j := e.waitQueue[0]
		e.waitQueue = e.waitQueue[1:]
		j.waiting = false
		if !j.finished {
			return j
		}
	}
	return nil
}
