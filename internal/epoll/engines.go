package epoll

import (
	"errors"
	"log/slog"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"

	"chutechute/decide"
	"chutechute/gateway"
	"chutechute/internal/journal"
	"chutechute/internal/rest"
	"chutechute/internal/ring"
)

const (
	answerWithin = 300 * ms  // an engine answers each call within 250 ms
	silentAfter  = 1000 * ms // and stands still for 600 at most, unless it is heard on other connections
	suspectFor   = 50 * ms
	partAfter    = 100 * ms // an answer comes at one go
	unaskedAfter = gateway.Unasked
	redialAfter  = 100 * ms
	atOnce       = 50 * ms // what ends in one moment is read within
	mostResumes  = 3       // connections, one after another, on which a query is asked after again
	mostRedials  = 2       // connections that may break before they carry anything of a query
	probeWait    = 250 * ms
	freeAfter    = 1000 * ms // idle connections hold no storage
	restFor      = 50 * ms   // that a connection rests between two queries: what crosses, a second answer too, does so within that
	newsAfter    = 250 * ms  // an engine that has no news says so after as long, no sooner
	newsSlack    = 50 * ms
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
	heard   Micros // when it last answered anything
	drains  bool   // or is gone, by the list
	removed bool   // and forgotten once nothing of it is left
	refused bool   // it took no connection when it was last asked for one
	cuts    int    // connections that it ended under a call, in one moment and since it was last heard
	cutAt   Micros // when that was
	waiting []*job // for a connection, where no descriptor is left: in turn
	now     func() Micros
}

// job is a query's way through its calls, over one connection after another.
type job struct {
	attempt *gateway.Attempt // nil for a probe
	engine  *engine
	query   *rest.Query
	conn    *conn
	begun   Micros
	asked   Micros // when the engine was last asked, if ever
	posted  bool   // some of the POST may have reached the engine
	cut     bool   // its last connection was ended by the engine
	doubt   bool   // the POST may not have been read yet, and may be later
	last    bool   // the DELETE that ends the doubt is out
	giveUp  bool   // to be dropped once the POST is answered
	resumes int    // since the last answer
	redials int
	queued  bool   // in its engine's line for a connection
	retry   Micros // when to try again for a connection, as none came up; 0: not
	done    bool
}

// conn is a connection to an engine; it carries one call at a time.
type conn struct {
	stream
	p          *pool
	engine     *engine
	job        *job // whose call is out; nil also while an answer that nobody waits for is to come
	asking     *job // that was dropped while the answer to its question was to come
	busy       bool // a call is out
	connecting bool
	shaking    bool   // a part of connecting, once the connection has come up
	since      Micros // of the call, the dial or the last use
	suspect    Micros // since when other answers have overtaken this one; 0: none has
	part       Micros // since when the answer has come in part; 0: it has not
	size       int    // bytes of the call
	unsure     bool   // more answers may be to come than calls are out
}

func newPool(s *Server) *pool {
	return &pool{s: s, engines: map[string]*engine{}, conns: map[*conn]struct{}{}, jobs: map[*job]struct{}{},
		byTry: map[*gateway.Attempt]*job{}}
}

// listed takes over the addresses of engines; connections to an old one are of no more use.
func (p *pool) listed(event journal.Event) {
	if event.Kind != decide.ListChanges {
		for _, e := range p.engines {
			e.removed = true // unless it is listed below
		}
	}
	for _, en := range event.Engines {
		e := p.engines[en.Engine]
		if e == nil {
			e = &engine{name: en.Engine, now: p.s.clock.now}
			p.engines[en.Engine] = e
		}
		slog.Debug("listed", "engine", en.Engine, "addr", en.Addr, "zone", en.Zone, "state", en.State, "started", en.Started)
		e.drains, e.removed = en.State != decide.Serving, en.State == decide.Removed
		if e.addr != en.Addr {
			e.hangUp()
		}
		e.addr = en.Addr
		if en.State != decide.Serving {
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
			p.finish(j, decide.NotSent)
		}
	}
}

// Start sends an attempt to its engine.
func (p *pool) Start(a *gateway.Attempt) {
	e := p.engines[a.Engine]
	if e == nil {
		p.s.core.Ended(p.s.now, a, decide.NotSent, nil, nil)
		return
	}
	j := &job{attempt: a, engine: e, begun: p.s.now, query: rest.NewQuery(e.addr.String(), rest.Start{ID: a.ID,
		Class: a.Class, Once: a.Once, Statement: a.Statement, Wait: a.Wait, GrantMB: a.GrantMB, Priority: a.Priority})}
	if a.Running { // it may not have come to its engine yet, or never will
		j.posted, j.doubt, j.asked = true, true, p.s.now
		j.query.Resume()
	}
	p.byTry[a] = j
	p.add(j)
	p.carry(j)
}

// Probe asks an engine for its load.
func (p *pool) Probe(name string) {
	e := p.engines[name]
	if e == nil {
		p.s.core.Probed(name, decide.NoConnection, 0, nil)
		return
	}
	j := &job{engine: e, begun: p.s.now, query: rest.NewProbe(e.addr.String())}
	p.add(j)
	p.carry(j)
}

func (p *pool) add(j *job) {
	p.jobs[j] = struct{}{}
	j.engine.jobs++
}

// GiveUp ends an attempt early. A start that has not been answered is waited for first, since a DELETE
// that overtook it would find nothing to give up and leave it running. Else the DELETE goes at once over
// another connection than the one on which the news is awaited.
func (p *pool) GiveUp(a *gateway.Attempt) {
	j := p.byTry[a]
	switch {
	case j == nil:
	case !j.posted:
		p.finish(j, decide.NotSent)
	case j.query.Posting() || j.doubt:
		j.giveUp = true
	default:
		p.drop(j)
	}
}

// Renice has the query know its new priority; its engine is told with the next call that can say so.
func (p *pool) Renice(a *gateway.Attempt) {
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
		if !c.quiet() {
			c.end() // which takes it out
			continue
		}
		e.idle, c.unsure = append(e.idle[:i], e.idle[i+1:]...), false
		return c
	}
	return nil
}

// rest is how long a connection rests before it carries another query.
func (c *conn) rest() Micros {
	if c.unsure {
		return answerWithin
	}
	return restFor
}

// dial gives a job a new connection.
func (p *pool) dial(j *job) {
	e := j.engine
	fd, err := dial(e.addr)
	if err != nil {
		p.lost(j, err == unix.ECONNREFUSED)
		return
	}
	p.s.count.Dialled++
	slog.Debug("dial", "engine", e.name, "conns", e.conns)
	c := &conn{stream: newStream(p.s.loop, fd, rest.MaxResponse, maxCall, &p.budget), p: p, engine: e, job: j,
		connecting: true, since: p.s.now}
	j.conn = c
	c.want = unix.EPOLLOUT
	p.conns[c] = struct{}{}
	e.conns++
	if err := p.s.loop.add(fd, c.want, c); err != nil {
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

// lost settles a job that has no connection. What was never posted never ran. One that drains refuses new
// connections and runs on, so the job waits for one of those that are left; that none is left proves nothing, as the
// last may have been reset on its way. A process that is gone has ended all at once, or is listed as gone, which is
// enough for what may run twice without harm, and for no other: there the key's next was sent too early. Else a
// connection may have come up too late, and another may come up in time: it is tried for until the engine has given
// the query up by itself. A DELETE that was left undelivered for one late connection had the next of its key start
// while the query ran.
func (p *pool) lost(j *job, refused bool) {
	j.trace("no connection", "refused", refused)
	j.conn = nil
	j.engine.refused = refused
	if refused && j.cut && j.attempt.Strict { // who answers there next may be another process, which knows nothing of it
		j.doubt = true
	}
	switch e := j.engine; {
	case !j.posted:
		p.finish(j, decide.NoConnection)
	case refused && e.up > 0:
		e.wait(j)
	case refused && j.cut && !j.attempt.Strict && (e.removed || e.cuts > 1):
		p.finish(j, decide.Reset)
		if next := e.next(); next != nil {
			p.carry(next)
		}
	default:
		j.retry = p.s.now + redialAfter
	}
}

// broken settles a job whose call has no readable answer; arrived says that something came in its place, so
// that the call itself has come whole. No connection owns a query, and its engine gives its answer again, so
// it is asked after on another connection. One that comes spoilt again and again is given up.
func (p *pool) broken(j *job, arrived bool) {
	j.trace("broken", "arrived", arrived)
	j.conn = nil
	j.cut = !arrived
	j.asked = p.s.now // as far as its engine may know
	j.resumes++
	switch {
	case j.attempt == nil:
		p.finish(j, decide.Reset)
	case arrived && j.query.Dropping():
		p.finish(j, decide.Canceled)
	case j.resumes <= mostResumes:
		// A machine that was away ends its old connections when it is back, with what was sent meanwhile unread or
		// read by a process that is no more; to ask after it, or a DELETE, then tells nothing.
		// What came in place of a POST's answer may be a late copy of another, which says nothing of the POST either.
		j.doubt = j.doubt || j.query.Posting()
		j.query.Resume()
		p.carry(j)
	case !j.query.Dropping() && !j.doubt:
		j.resumes = 0
		j.query.Drop()
		p.carry(j)
	} // else the engine gives it up unasked
}

// unheard settles a job whose call has been met with silence. The machine may be gone, so only a new
// connection can tell; where none comes up the query is left until its engine has given it up. One that is
// not heard of twice is given up: what was asked may reach the engine late, so that waiting proves less than
// the answer to a DELETE. A POST may still be read, and a DELETE is not to overtake it.
func (p *pool) unheard(j *job) {
	j.trace("unheard")
	p.s.core.Unheard(j.engine.name)
	j.conn, j.cut = nil, false
	j.resumes++
	switch {
	case j.attempt == nil || j.last || j.resumes > mostResumes || j.doubt:
		return
	case j.query.Posting():
		j.doubt = true
		j.query.Resume()
	case j.resumes > 1:
		j.query.Drop()
	}
	p.dial(j)
}

// trace logs what befell a job's call, at debug level.
func (j *job) trace(what string, more ...any) {
	if j.attempt != nil {
		slog.Debug(what, append(more, "call", j.attempt.ID, "engine", j.engine.name, "posted", j.posted,
			"posting", j.query.Posting(), "dropping", j.query.Dropping(), "doubt", j.doubt, "resumes", j.resumes)...)
	}
}

func (p *pool) finish(j *job, result decide.Result) {
	if j.done {
		return
	}
	if c := j.conn; c != nil {
		c.job, j.conn = nil, nil
		if c.connecting {
			c.end()
		}
	}
	delete(p.jobs, j)
	j.engine.jobs--
	j.done = true
	if j.attempt == nil {
		p.s.core.Probed(j.engine.name, result, p.s.now-j.begun, j.query.Load())
		return
	}
	delete(p.byTry, j.attempt)
	if p.s.cfg.Settings.TellsCost {
		cost := j.query.Cost()
		j.attempt.Spent, j.attempt.NeededMB = cost.Work, cost.MemoryMB
	}
	p.s.core.Ended(p.s.now, j.attempt, result, j.query.Rows(), j.query.Load())
}

// tick sees to what time alone brings: dials and calls that took too long, queries that engines have
// given up by now, and idle connections, which are closed well before the engine closes them so that no
// POST meets a closing one.
func (p *pool) tick() {
	now, s := p.s.now, p.s.cfg.Settings
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
			c.free()
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
			p.finish(j, decide.TimedOut)
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
			p.finish(j, decide.Reset)
		case j.retry != 0 && now >= j.retry:
			j.retry = 0
			p.carry(j)
		}
	}
}

// passedOver says that the engine has gone on to answer others when this call's answer was due.
func (c *conn) passedOver(now Micros) bool {
	switch {
	case c.engine.heard < c.since+answerWithin:
		return false
	case c.suspect == 0: // after a standstill all answers come at once
		c.suspect = now
	}
	return now-c.suspect >= suspectFor
}

// late says that a start may not be written any more. It reads the clock anew: the process may have stood still since this
// turn began, and others may hold the attempt for over by now.
func (j *job) late() bool {
	return j != nil && j.attempt != nil && j.attempt.Until != 0 && j.query.Posting() && j.engine.now() >= j.attempt.Until
}

// call writes the next call of the connection's job.
func (c *conn) call() {
	j := c.job
	if j.late() {
		c.job, j.conn = nil, nil
		c.p.finish(j, decide.NotSent)
		c.release(true)
		return
	}
	b, err := c.seal(j.query.Call())
	c.busy, c.since, c.size, c.part, c.suspect = true, c.p.s.now, len(b), 0, 0
	if !j.query.Dropping() {
		j.asked = c.since
	}
	c.p.s.count.Calls++
	if err == nil {
		_, err = c.out.Write(b)
	}
	if err == nil {
		err = c.flush()
	}
	if c.out.Len() < c.size {
		j.posted = true
	}
	if err != nil {
		c.fail(false)
		return
	}
	c.watch(true)
}

func (c *conn) ready(events uint32) {
	if c.shaking {
		c.shake(events)
		return
	}
	if c.connecting {
		if err := dialled(c.fd); err != nil {
			j := c.job
			c.end()
			if j != nil && err == unix.ECONNREFUSED {
				c.p.lost(j, true)
			} else if j != nil {
				c.p.unsent(j)
			}
			return
		}
		c.engine.refused, c.engine.cuts = false, 0
		if c.p.shakes() {
			c.greet()
			return
		}
		c.cameUp()
		c.call()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		if j := c.job; j.late() && c.out.Len() > 0 { // what is left of its start stays unwritten
			c.fail(false)
			return
		}
		err := c.flush()
		if c.job != nil && c.out.Len() < c.size {
			c.job.posted = true
		}
		if err != nil {
			c.fail(false)
			return
		}
		c.watch(true)
	}
	if events&^unix.EPOLLOUT == 0 {
		return
	}
	more, err := c.fill()
	if err != nil {
		c.spoilt(err)
		return
	}
	if !c.busy && c.in.Len() > 0 { // a second copy, or a part of one: what follows it could be taken for the next query's answer
		slog.Debug("stray", "engine", c.engine.name, "ms", float64(c.p.s.clock.now()-c.since)/1000)
		c.spoilt(nil)
		return
	}
	for !c.closed && c.in.Len() > 0 {
		r, ok, err := rest.NextResponse(c.in)
		if err != nil {
			c.spoilt(err)
			return
		}
		if !ok {
			break
		}
		c.answer(r, more)
	}
	switch {
	case c.closed:
	case !more:
		c.fail(c.in.Len() > 0)
	case len(c.in.Space()) == 0: // the storage for all engines is taken
		c.fail(c.in.Len() > 0)
	case c.in.Len() > 0 && c.part == 0:
		c.part = c.p.s.now
	}
}

// spoilt ends a connection on which something came that is no answer to its call.
func (c *conn) spoilt(err error) {
	c.p.s.count.Spoilt++
	slog.Debug("engine", "engine", c.engine.name, "error", err)
	c.fail(true)
}

// answer takes a whole answer; what follows goes out at once over the same connection.
func (c *conn) answer(r rest.Response, more bool) {
	j := c.job
	c.engine.heard, c.engine.cuts = c.p.s.now, 0
	result, ended, err := decide.Done, false, error(nil)
	if j != nil {
		result, ended, err = j.query.Take(r)
	}
	if errors.Is(err, rest.ErrStray) { // what the DELETE ends may still run: it goes again over another connection
		c.p.s.count.Spoilt++
		c.fail(false)
		return
	}
	if err != nil {
		c.spoilt(err)
		return
	}
	// No news before it is time may be the last answer once more, and the one to this call still to come.
	c.unsure = c.unsure || r.Status == 202 && c.p.s.now-c.since < newsAfter-newsSlack
	c.busy, c.job, c.since, c.part = false, nil, c.p.s.now, 0
	room := c.p.s.unused() >= 0 || !c.p.replaceable(c)
	usable := more && !r.Close && c.in.Len() == 0 && c.out.Len() == 0 && room && c.quiet()
	if j == nil {
		if j = c.asking; j != nil { // it counts as asked after until now
			c.asking, j.asked = nil, c.p.s.now
		}
		c.release(usable)
		return
	}
	j.conn, j.resumes = nil, 0
	c.p.s.count.OddFacts += r.Odd
	if n := j.query.Note(); n != nil && j.attempt != nil && !ended {
		c.p.s.core.Noted(j.attempt, n.Kind, n.Value)
	}
	if ended && j.doubt && !j.last && (result == decide.Errored || result == decide.Canceled) {
		j.trace("unknown")
		c.release(usable) // the engine knows nothing of it: what it has not read of the POST may still come, or another process has it
		return
	}
	if ended && result == decide.Errored {
		j.trace("errored", "status", r.Status)
	}
	j.doubt = false
	if !ended && j.giveUp {
		j.query.Drop()
	}
	switch {
	case ended:
		c.release(usable)
		c.p.finish(j, result)
	case usable && j.query.Polling() && len(c.engine.waiting) > 0:
		// Only one whose end is awaited takes its turn: pages to fetch and DELETEs would reach the client late.
		c.engine.wait(j)
		c.release(true)
	case usable:
		c.job, j.conn = j, c
		c.call()
	default:
		c.end()
		c.p.carry(j)
	}
}

// release keeps a connection for another query, or ends it and gives the next job that waits for one another. Where no
// other may be had, as the engine drains or this is the last one, that job waits until this one has rested.
func (c *conn) release(usable bool) {
	e := c.engine
	if !usable || len(e.waiting) == 0 && e.removed || len(e.waiting) > 0 && !e.refused && c.p.replaceable(c) {
		c.end()
		return
	}
	e.idle = append(e.idle, c)
	c.watch(true)
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

// fail ends a broken connection and settles its job; arrived says that its call has come whole.
func (c *conn) fail(arrived bool) {
	j := c.job
	if e := c.engine; c.busy && !arrived {
		if c.p.s.now-e.cutAt > atOnce {
			e.cuts, e.cutAt = 0, c.p.s.now
		}
		e.cuts++
	}
	c.end()
	switch {
	case j == nil:
	case j.posted || j.attempt == nil:
		c.p.broken(j, arrived)
	default:
		c.p.unsent(j)
	}
}

// unsent settles a job whose connection broke before it carried its call: one connection says nothing of the
// engine, so another is tried.
func (p *pool) unsent(j *job) {
	if j.conn = nil; j.posted {
		p.broken(j, false)
		return
	}
	if j.redials++; j.redials > mostRedials {
		p.lost(j, false)
		return
	}
	p.carry(j)
}

// cameUp notes that the connection may carry calls.
func (c *conn) cameUp() {
	c.connecting, c.shaking = false, false
	c.engine.up++
}

// end closes the connection and takes it out of the pool; its job, if any, is its caller's to settle.
func (c *conn) end() {
	c.close()
	c.job = nil
	if _, ok := c.p.conns[c]; !ok {
		return
	}
	delete(c.p.conns, c)
	c.engine.conns--
	if !c.connecting {
		c.engine.up--
	}
	defer func() {
		if j := c.engine.next(); j != nil {
			c.p.carry(j)
		}
	}()
	for i, other := range c.engine.idle {
		if other == c {
			c.engine.idle = append(c.engine.idle[:i], c.engine.idle[i+1:]...)
			break
		}
	}
}
