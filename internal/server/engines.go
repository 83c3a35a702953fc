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
	answerWithin = 300 * monotime.Millisecond  // an engine answers each call within 250 monotime.Millisecond
	silentAfter  = 1000 * monotime.Millisecond // and stands still for 600 at most, unless it is heard on other connections
	suspectFor   = 50 * monotime.Millisecond
	partAfter    = 100 * monotime.Millisecond // an answer comes at one go
	unaskedAfter = gateway.AbandonTimeout
	redialAfter  = 100 * monotime.Millisecond
	atOnce       = 50 * monotime.Millisecond // what ends in one moment is read within
	mostResumes  = 3                         // connections, one after another, on which a query is asked after again
	mostRedials  = 2                         // connections that may break before they carry anything of a query
	probeWait    = 250 * monotime.Millisecond
	freeAfter    = 1000 * monotime.Millisecond // idle connections hold no storage
	restFor      = 50 * monotime.Millisecond   // that a connection rests between two queries: what crosses, a second answer too, does so within that
	newsAfter    = 250 * monotime.Millisecond  // an engine that has no news says so after as long, no sooner
	newsSlack    = 50 * monotime.Millisecond
	maxCall      = 512 << 10 // bytes of one call: a client's frame and its headers
)

// pool is the connections to all engines and the queries that go over them.
type pool struct {
	s       *Server
	budget  ring.Budget
	engines map[string]*engine
	conns   map[*conn]struct{}
	jobs    map[*job]struct{}
	byTry   map[*gateway.Attempt]*job
}

// engine is one engine, by its id: another may come to have its address.
type engine struct {
	name    string
	addr    netip.AddrPort
	idle    []*conn // the last used one last
	conns   int
	up      int // of conns, those that have come up; those that are dialled may all be refused
	jobs    int
	heard   monotime.Micros // when it last answered anything
	drains  bool            // or is gone, by the list
	removed bool            // and forgotten once nothing of it is left
	refused bool            // it took no connection when it was last asked for one
	cuts    int             // connections that it ended under a call, in one moment and since it was last heard
	cutAt   monotime.Micros // when that was
	waiting []*job          // for a connection, where no descriptor is left: in turn
	now     func() monotime.Micros
}

// job is a query's way through its calls, over one connection after another.
type job struct {
	attempt *gateway.Attempt // nil for a probe
	engine  *engine
	query   *rest.Query
	conn    *conn
	begun   monotime.Micros
	asked   monotime.Micros // when the engine was last asked, if ever
	posted  bool            // some of the POST may have reached the engine
	cut     bool            // its last connection was ended by the engine
	doubt   bool            // the POST may not have been read yet, and may be later
	last    bool            // the DELETE that ends the doubt is out
	giveUp  bool            // to be dropped once the POST is answered
	resumes int             // since the last answer
	redials int
	queued  bool            // in its engine's line for a connection
	retry   monotime.Micros // when to try again for a connection, as none came up; 0: not
	done    bool
}

func newPool(s *Server) *pool {
	return &pool{s: s, engines: map[string]*engine{}, conns: map[*conn]struct{}{}, jobs: map[*job]struct{}{},
		byTry: map[*gateway.Attempt]*job{}}
}

// listed takes over the addresses of engines; connections to an old one are of no more use.
func (p *pool) listed(event discovery.Event) {
	if event.Kind != scheduler.UpdateChanges {
		for _, e := range p.engines {
			e.removed = true // unless it is listed below
		}
	}
	for _, en := range event.Engines {
		e := p.engines[en.Engine]
		if e == nil {
			e = &engine{name: en.Engine, now: p.s.Clock.Now}
			p.engines[en.Engine] = e
		}
		slog.Debug("listed", "engine", en.Engine, "addr", en.Addr, "zone", en.Zone, "state", en.State, "started", en.Started)
		e.drains, e.removed = en.State != scheduler.Serving, en.State == scheduler.Removed
		if e.addr != en.Addr {
			e.hangUp()
		}
		e.addr = en.Addr
		if en.State != scheduler.Serving {
			p.withdraw(e)
		}
	}
	for _, e := range p.engines {
		if e.removed {
			e.hangUp()
			p.withdraw(e)
		}
	}
}

// hangUp closes the idle connections.
func (e *engine) hangUp() {
	for len(e.idle) > 0 {
		e.idle[0].end()
	}
}

// withdraw takes back what an engine that drains or is gone has not been sent yet: what still waited for a
// connection could reach it too long after the news.
func (p *pool) withdraw(e *engine) {
	for j := range p.jobs {
		if j.engine == e && j.attempt != nil && !j.posted {
			p.finish(j, scheduler.NotSent)
		}
	}
}

// Start sends an attempt to its engine.
func (p *pool) Start(a *gateway.Attempt) {
	e := p.engines[a.Engine]
	if e == nil {
		p.s.core.AttemptEnded(p.s.TurnTime, a, scheduler.NotSent, nil, nil)
		return
	}
	j := &job{attempt: a, engine: e, begun: p.s.TurnTime, query: rest.NewQuery(e.addr.String(), rest.Start{ID: a.ID,
		Class: a.Class, Once: a.IdempotencyKey, Statement: a.Statement, Wait: a.Timeout, GrantMB: a.GrantMB, Priority: a.Priority})}
	if a.AlreadyRunning { // it may not have come to its engine yet, or never will
		j.posted, j.doubt, j.asked = true, true, p.s.TurnTime
		j.query.Resume()
	}
	p.byTry[a] = j
	p.add(j)
	p.carry(j)
}

// HealthCheck asks an engine for its load.
func (p *pool) HealthCheck(name string) {
	e := p.engines[name]
	if e == nil {
		p.s.core.HealthCheckEnded(name, scheduler.NoConnection, 0, nil)
		return
	}
	j := &job{engine: e, begun: p.s.TurnTime, query: rest.NewProbe(e.addr.String())}
	p.add(j)
	p.carry(j)
}

func (p *pool) add(j *job) {
	p.jobs[j] = struct{}{}
	j.engine.jobs++
}

// Cancel ends an attempt early. A start that has not been answered is waited for first, since a DELETE
// that overtook it would find nothing to give up and leave it running. Else the DELETE goes at once over
// another connection than the one on which the news is awaited.
func (p *pool) Cancel(a *gateway.Attempt) {
	j := p.byTry[a]
	switch {
	case j == nil:
	case !j.posted:
		p.finish(j, scheduler.NotSent)
	case j.query.Posting() || j.doubt:
		j.giveUp = true
	default:
		p.drop(j)
	}
}

// SetPriority has the query know its new priority; its engine is told with the next call that can say so.
func (p *pool) SetPriority(a *gateway.Attempt) {
	if j := p.byTry[a]; j != nil {
		j.query.Renice(a.Priority)
	}
}

// drop turns a job to its DELETE, on a connection that is free.
func (p *pool) drop(j *job) {
	if c := j.conn; c != nil {
		c.job, j.conn, c.asking = nil, nil, j
		if c.connecting {
			c.end()
		}
	}
	j.query.Drop()
	p.carry(j)
}

// carry gives a job's next call a connection.
func (p *pool) carry(j *job) {
	e := j.engine
	if j.queued {
		return
	}
	if c := e.rested(); c != nil {
		c.job, j.conn = j, c
		c.call()
		return
	}
	// Where all descriptors are taken, those that an engine has are shared out in turn: a query that went
	// unasked for want of one would be given up by its engine. An engine without any always gets one.
	if p.s.unused() <= p.s.headroom() && e.conns > 0 && !p.evict() {
		e.wait(j)
		return
	}
	p.dial(j)
}

// rested takes the last used of the connections that have rested long enough for another query.
func (e *engine) rested() *conn {
	now := e.now()
	for i := len(e.idle) - 1; i >= 0; i = min(i, len(e.idle)) - 1 {
		c := e.idle[i]
		if now-c.since < c.rest() {
			continue
		}
		if !c.PeerSilent() {
			c.end() // which takes it out
			continue
		}
		e.idle, c.unsure = append(e.idle[:i], e.idle[i+1:]...), false
		return c
	}
	return nil
}

// dial gives a job a new connection.
func (p *pool) dial(j *job) {
	e := j.engine
	fd, err := eventloop.Dial(e.addr)
	if err != nil {
		p.lost(j, err == unix.ECONNREFUSED)
		return
	}
	p.s.Counters.Dialled++
	slog.Debug("dial", "engine", e.name, "conns", e.conns)
	c := &conn{Stream: eventloop.NewStream(p.s.Loop, fd, rest.MaxResponse, maxCall, &p.budget), p: p, engine: e, job: j,
		connecting: true, since: p.s.TurnTime}
	j.conn = c
	c.Interest = unix.EPOLLOUT
	p.conns[c] = struct{}{}
	e.conns++
	if err := p.s.Loop.Add(fd, c.Interest, c); err != nil {
		c.end()
		p.lost(j, false)
	}
}

// makeRoom frees a descriptor for a client, if one can be had. Engines use what clients leave of theirs; a connection on
// which a query's end is awaited can go, since no connection owns a query: it is asked after in turn.
func (p *pool) makeRoom() bool {
	if p.evict() {
		return true
	}
	for c := range p.conns {
		if j := c.job; j != nil && c.busy && j.query.Polling() && p.replaceable(c) {
			c.end()
			j.conn = nil
			p.carry(j)
			return true
		}
	}
	return false
}

// replaceable says whether a connection may be closed for its descriptor alone. One under a question about what may not run twice,
// or has others wait in order, may not: how long an engine goes on with a query is known only from what it was asked last. Nor may one
// to an engine that drains and has calls to get, as it takes no new ones, and what runs there could neither be asked after nor given
// up; and as the news of that may be late, not the last one that is up either.
func (p *pool) replaceable(c *conn) bool {
	e := c.engine
	switch {
	case e.jobs == 0:
		return true
	case c.job != nil && c.job.attempt != nil && c.job.attempt.Strict:
		return false
	}
	return e.up > 1 && !e.drains && !e.refused
}

// evict closes the connection that has been idle longest, of those that are replaceable.
func (p *pool) evict() bool {
	var oldest *conn
	for _, e := range p.engines {
		if len(e.idle) > 0 && p.replaceable(e.idle[0]) && (oldest == nil || e.idle[0].since < oldest.since) {
			oldest = e.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.end()
	return true
}

// tick sees to what time alone brings: dials and calls that took too long, queries that engines have
// given up by now, and idle connections, which are closed well before the engine closes them so that no
// POST meets a closing one.
func (p *pool) tick() {
	now, s := p.s.TurnTime, p.s.cfg.Settings
	for c := range p.conns {
		age := now - c.since
		switch j := c.job; {
		case c.connecting && age >= s.DialTimeout:
			c.end()
			if j != nil {
				p.lost(j, false)
			}
		case c.busy && c.part != 0 && now-c.part >= partAfter:
			c.fail(true)
		case c.busy && (age >= silentAfter || c.passedOver(now)):
			c.end()
			if j != nil {
				p.unheard(j)
			}
		case !c.busy && !c.connecting && age >= s.ConnIdle/2:
			c.end()
		case !c.busy && !c.connecting && age >= freeAfter:
			c.FreeBuffers()
		}
	}
	for name, e := range p.engines {
		for len(e.waiting) > 0 && slices.ContainsFunc(e.idle, func(c *conn) bool { return now-c.since >= c.rest() }) {
			if j := e.next(); j != nil {
				p.carry(j)
			}
		}
		if e.removed && e.conns == 0 && e.jobs == 0 {
			delete(p.engines, name)
		}
	}
	for j := range p.jobs {
		switch {
		case j.attempt == nil && now-j.begun >= probeWait:
			p.finish(j, scheduler.TimedOut)
		case j.posted && (j.conn == nil || j.giveUp || j.query.Dropping()) && now-j.asked >= unaskedAfter:
			if j.conn != nil {
				j.conn.end()
				j.conn = nil
			}
			if j.doubt && !j.last { // if the POST has come late after all, this ends it
				j.last, j.asked = true, now-unaskedAfter+silentAfter
				j.query.Drop()
				p.dial(j)
				continue
			}
			p.finish(j, scheduler.Reset)
		case j.retry != 0 && now >= j.retry:
			j.retry = 0
			p.carry(j)
		}
	}
}

// late says that a start may not be written any more. It reads the clock anew: the process may have stood still since this
// turn began, and others may hold the attempt for over by now.
func (j *job) late() bool {
	return j != nil && j.attempt != nil && j.attempt.StartBy != 0 && j.query.Posting() && j.engine.now() >= j.attempt.StartBy
}

// wait puts a job at the end of the line for a connection.
func (e *engine) wait(j *job) {
	if !j.queued {
		j.queued = true
		e.waiting = append(e.waiting, j)
	}
}

// next takes the first job that waits for a connection.
func (e *engine) next() *job {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.queued = false
		if !j.done {
			return j
		}
	}
	return nil
}
