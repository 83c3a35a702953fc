// Package gateway is the core of the front end. It owns the open requests, their attempts and all timers
// of the decisions; it turns calls, which are of no protocol, into events of the decision module, and the
// module's actions into commands to its adapters. It sees to it that each request gets one final answer.
// It does no input or output and reads no clock.
package gateway

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"chutechute/identity"
	"chutechute/internal/counters"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
	"chutechute/statement"
)

const (
	// margin is how long before the client gives up its final answer is due, for the loop and the wire.
	margin = 60 * monotime.Second / 1000
	// busyAfter is when a client turned away for want of room may come back.
	busyAfter = monotime.Second / 2
)

// Call is a request as the core sees it. ID, Once and Statement go to engines byte for byte. Class may be left
// out where statements are read.
type Call struct {
	ID, Class, Tenant, Key, IdempotencyKey string
	TTL                                    monotime.Micros // how long the client waits, from the request's last byte
	Cost                                   monotime.Micros // 0: not told
	MemoryMB                               float64
	Statement                              []byte
	Group                                  int // of tables; Take finds it
	Proof                                  Proof

	toldCost, toldMB float64 // what the client told, where Take has filled in the rest
}

// Proof is what a call shows of who it comes from. It counts only where callers are identified.
type Proof struct {
	Token       string
	Certificate *identity.Certificate // of the connection; nil without one
	Address     uint64                // the client's, as a number
	Wall        monotime.Micros       // the system's clock, which may step, in Unix time
}

// Responder waits for the final answer to one request; one of the three is called, once.
type Responder interface {
	Respond(rows []byte)
	Reject(after monotime.Micros)
	Fail()
}

// EngineClient carries out attempts. Each Start and Probe is answered by Ended and Probed, which may come
// from within the call.
type EngineClient interface {
	Start(a *Attempt)
	// Cancel ends an attempt early: Ended follows once it is known not to run any more.
	Cancel(a *Attempt)
	// SetPriority has the engine know the priority that the attempt's request has now.
	SetPriority(a *Attempt)
	HealthCheck(engine string)
}

// Request is an open request.
type Request struct {
	*Call
	seq      uint64 // in the order in which requests came
	id       uint64
	caller   Responder
	taken    monotime.Micros
	deadline monotime.Micros // when its final answer is due
	due      *timer          // for that
	answered bool
	strict   bool // of its attempts
	grantMB  float64
	// Priority is what engines are told; NoPriority where they heed none.
	Priority int
	// completion is what was read of the statement; nil where that is off.
	completion *statement.Completion
	from       identity.Caller
	attempts   []*Attempt
	out        int           // attempts that have not ended
	entry      *Registration // in the record; nil where none vouches for it
}

// NoPriority is that of requests whose engines heed none.
const NoPriority = -1

// Attempt is one send of a request to an engine.
type Attempt struct {
	*Request
	Engine         string
	Timeout        monotime.Micros // how long the front end will wait
	GrantMB        float64
	StartBy        monotime.Micros // no byte of its start is written later; 0: no such bound
	AlreadyRunning bool            // another front end started it: it is asked after, and not started
	// Strict says that nothing may begin after it on the word of a connection alone: a second execution does harm, or others wait
	// in order. It is over once its engine says so, has been told to drop it, or has not been asked after it for 2 s.
	Strict bool
	// WorkUsed and NeededMB are what its engine says that it took; 0 where it does not.
	WorkUsed     monotime.Micros
	MemoryUsedMB float64

	number  int
	asking  bool // the record has not said yet whether it may begin
	at      monotime.Micros
	due     *timer           // of its time-out; nil without one
	reason  scheduler.Result // of giving it up; Done while it is not
	dropped bool
	ended   bool
}

// Limits are what the core may hold.
type Limits struct {
	MaxOpen           int // requests
	MaxStatementBytes int // bytes of their statements
}

// Core is one front end.
type Core struct {
	settings *settings.Settings
	module   *scheduler.Scheduler
	engines  EngineClient
	count    *counters.Set

	now        monotime.Micros
	seed       uint64
	lastID     uint64
	lastTimer  uint64
	events     []scheduler.Event
	open       map[uint64]*Request
	ids        map[string]bool // the clients' ids of open requests
	held       int             // bytes of their statements
	out        int             // attempts that have not ended
	bounds     Limits
	timers     timers
	statements statements
	callers    callers
	acting     bool       // the module's actions are being carried out
	late       []*Request // cancelled meanwhile
	trace      trace
	record     IdempotencyStore // nil where none vouches for loads
	denials    denials
}

// New builds a front end's core.
func New(s *settings.Settings, seed uint64, bounds Limits, engines EngineClient, count *counters.Set) (*Core, error) {
	module, err := scheduler.New(s.Config, seed)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	read, err := newStatements(s.Classes)
	if err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return &Core{settings: s, module: module, engines: engines, count: count, seed: seed, bounds: bounds,
		open: map[uint64]*Request{}, ids: map[string]bool{}, statements: read, trace: newTrace()}, nil
}

// SetLimits puts other bounds into force; what is open stays.
func (c *Core) SetLimits(b Limits) { c.bounds = b }

// Errors of Take.
var (
	ErrUnknownClass     = errors.New("unknown class")
	ErrUnknownTenant    = errors.New("unknown tenant")
	ErrNoTimeLeft       = errors.New("no time left")
	ErrDuplicateID      = errors.New("a request with that id is open")
	ErrNoIdempotencyKey = errors.New("no idempotency key in a keyed class")
)

// Submit takes a request in whose last byte came now. The answer goes to caller, which is not called if
// there is an error.
func (c *Core) Submit(now monotime.Micros, call *Call, caller Responder) (*Request, error) {
	from, err := c.callers.identify(now, call)
	if err != nil {
		return nil, err
	}
	bare := call.Class == "" && c.statements.complete
	class, ok := c.settings.ClassOf[call.Class]
	if !ok && !bare {
		return nil, ErrUnknownClass
	}
	tenant := -1
	if call.Tenant != "" {
		if tenant, ok = c.settings.TenantOf[call.Tenant]; !ok {
			return nil, ErrUnknownTenant
		}
	}
	if call.TTL <= 0 {
		return nil, ErrNoTimeLeft
	}
	if call.IdempotencyKey == "" && !c.statements.complete && c.settings.Classes[class].Effect == scheduler.IdempotentByKey {
		return nil, ErrNoIdempotencyKey // engines could not tell its repeats
	}
	if c.ids[call.ID] {
		return nil, ErrDuplicateID
	}
	read, err := c.statements.read(call, class, !bare)
	if err != nil {
		return nil, fmt.Errorf("statement: %w", err)
	}
	if err := c.callers.enter(now, from, call); err != nil {
		return nil, err
	}
	if call.Tenant != "" {
		tenant = c.settings.TenantOf[call.Tenant]
	}
	c.count.Taken++
	r := &Request{Call: call, id: c.newID(), seq: c.lastID, caller: caller, taken: now, deadline: now + call.TTL - margin,
		completion: read, from: from, Priority: NoPriority}
	if len(c.open) >= c.bounds.MaxOpen || c.held+len(call.Statement) > c.bounds.MaxStatementBytes {
		r.refuse(c, busyAfter)
		c.callers.leave(from)
		return r, nil
	}
	c.open[r.id] = r
	c.ids[call.ID] = true
	c.held += len(call.Statement)
	event := scheduler.Request{ID: r.id, Class: class, Tenant: tenant, Key: call.Key,
		Deadline: r.deadline, EstimatedWork: call.Cost, MemoryMB: call.MemoryMB, Group: call.Group}
	if read != nil {
		event.Class, event.NonIdempotent, event.NoRetry = read.Class, read.Unsafe, read.Single
		event.EstimatedHere, event.MeasureLatency = read.Guessed, true
	}
	r.strict = event.NonIdempotent || c.settings.Classes[event.Class].Effect != scheduler.Idempotent || c.settings.Classes[event.Class].Ordered
	r.due = c.after(r.deadline, func() { c.expire(r) })
	if !c.enter(now, r, event) {
		c.events = append(c.events, event)
	}
	return r, nil
}

// newID is the next of a sequence without repeats that differs from start to start.
func (c *Core) newID() uint64 {
	c.lastID++
	return c.seed ^ c.lastID*0x9e3779b97f4a7c15 // an odd multiplier: no repeats
}

// Cancel frees a request whose client no longer waits: it gets no answer, and its attempt is given up.
func (c *Core) Cancel(r *Request) {
	if c.acting { // an answer could not be written: what the module has decided of this request comes first
		c.late = append(c.late, r)
		return
	}
	if r.answered {
		return
	}
	if r.entry.outlives() {
		c.count.Cancelled++
		r.caller = nobody{}
		return
	}
	r.answered = true
	c.count.Cancelled++
	c.events = append(c.events, scheduler.ClientDisconnected{ID: r.id})
	c.giveUp(r, scheduler.Canceled)
	c.forget(r)
}

// expire sees to the final answer of a request whose time is up.
func (c *Core) expire(r *Request) {
	if r.answered {
		return
	}
	c.count.Expired++
	if c.expireEntry(r) {
		return
	}
	c.events = append(c.events, scheduler.ClientDisconnected{ID: r.id, AnswerDue: true})
	c.giveUp(r, scheduler.TimedOut)
}

// ExpireAll ends all that is open, as at its deadline, in the order in which it came. A load that runs and that a record vouches for
// is not called off: another front end is to look after it.
func (c *Core) ExpireAll() {
	list := slices.SortedFunc(maps.Values(c.open), func(a, b *Request) int { return cmp.Compare(a.seq, b.seq) })
	for _, r := range list {
		if e := r.entry; e != nil && e.begun && !e.kept && !r.answered && !e.handed {
			e.handed = true
			c.count.Expired++
			c.record.Transfer(c.now, e)
			r.fail(c)
			continue
		}
		c.expire(r)
	}
}

func (c *Core) giveUp(r *Request, reason scheduler.Result) {
	for _, a := range r.attempts {
		c.drop(a, reason)
	}
}

func (c *Core) drop(a *Attempt, reason scheduler.Result) {
	if a.ended || a.dropped {
		return
	}
	a.dropped, a.reason = true, reason
	if a.asking { // nothing of it was handed on, and nothing will be
		c.AttemptEnded(c.now, a, scheduler.NotSent, nil, nil)
		return
	}
	c.engines.Cancel(a)
}

// AttemptEnded tells how an attempt ended. A time-out is not its end: it is out until the engine is known to
// have been told. What had ended well before that is still served.
func (c *Core) AttemptEnded(now monotime.Micros, a *Attempt, result scheduler.Result, rows []byte, load *scheduler.LoadReport) {
	if a.ended {
		return
	}
	if a.AlreadyRunning && result.NeverRan() { // it was not asked after here, which says nothing of what runs there
		c.after(now+AbandonTimeout, func() { c.AttemptEnded(c.now, a, scheduler.Reset, nil, nil) })
		return
	}
	a.ended = true
	c.cancel(a.due)
	c.out--
	a.out--
	if a.dropped && result != scheduler.Succeeded && !result.NeverRan() {
		result = a.reason
	}
	c.tally(result)
	c.trace.ended(a, result, now-a.at)
	final := a.answered
	switch {
	case result == scheduler.Succeeded && a.entry != nil:
		final = true
		c.settle(now, a, rows)
	case a.entry != nil && !result.NeverRan():
		a.entry.ran = true
	case result == scheduler.Succeeded && !a.answered:
		a.answered, final = true, true
		c.count.Served++
		c.statements.served(a.Request)
		c.trace.answered(a.Request, "served", now)
		a.caller.Respond(rows)
	}
	if a.AlreadyRunning && result != scheduler.Succeeded { // the module does not have it, and nobody waits for an answer to it
		a.answered = true
	}
	c.events = append(c.events, scheduler.Outcome{ID: a.id, Attempt: a.number, Engine: a.Engine, Result: result,
		Elapsed: now - a.at, Final: final, Load: load, WorkUsed: a.WorkUsed, MemoryUsedMB: a.MemoryUsedMB})
	if final { // nobody waits for a second copy
		c.giveUp(a.Request, scheduler.Canceled)
	}
	c.forget(a.Request)
}

// HealthCheckEnded answers a probe.
func (c *Core) HealthCheckEnded(engine string, result scheduler.Result, elapsed monotime.Micros, load *scheduler.LoadReport) {
	c.events = append(c.events, scheduler.HealthCheckResult{Engine: engine, Result: result, Elapsed: elapsed, Load: load})
}

// EngineUnresponsive tells that an engine did not answer in time.
func (c *Core) EngineUnresponsive(engine string) {
	c.events = append(c.events, scheduler.EngineUnresponsive{Engine: engine})
}

// UpdateEndpoints brings news of the list of engines.
func (c *Core) UpdateEndpoints(kind scheduler.UpdateKind, entries []scheduler.Endpoint) {
	c.events = append(c.events, scheduler.EndpointUpdate{Kind: kind, Entries: entries})
}

// Pending says whether events wait for the next step.
func (c *Core) Pending() bool { return len(c.events) > 0 }

// Idle says whether no request is open and no attempt is out.
func (c *Core) Idle() bool { return len(c.open) == 0 && c.out == 0 }

// Step lets the timers that are due fire, hands the module all that has happened and carries out what it
// decides.
func (c *Core) Step(now monotime.Micros) {
	c.now = now
	for len(c.timers) > 0 && c.timers[0].at <= now {
		heap.Pop(&c.timers).(*timer).fire()
	}
	for len(c.events) > 0 {
		events := c.events
		c.events = nil
		c.acting = true
		for _, action := range c.module.Step(now, events) {
			c.act(action)
		}
		c.acting = false
		clear(c.statements.ended)
		late := c.late
		c.late = nil
		for _, r := range late {
			c.Cancel(r)
		}
	}
}

// Next is when the next timer is due; false where none is set.
func (c *Core) Next() (monotime.Micros, bool) {
	if len(c.timers) == 0 {
		return 0, false
	}
	return c.timers[0].at, true
}

func (c *Core) act(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.StartAttempt:
		c.send(a)
	case scheduler.AttemptParameters:
		if r := c.open[a.ID]; r != nil {
			r.grantMB = a.GrantMB
			c.renice(r, a.Priority)
		}
	case scheduler.Cancel:
		if r := c.open[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			c.drop(r.attempts[a.Attempt], scheduler.Canceled)
		}
	case scheduler.Reject:
		if r := c.open[a.ID]; r != nil && !r.answered {
			if r.entry.doubtful() {
				r.fail(c)
			} else {
				if a.Budget != "" {
					c.denials.add(Denial{At: c.now, RequestID: r.ID, Budget: a.Budget, RetryAfter: a.After})
				}
				r.refuse(c, a.After)
			}
			c.forget(r)
		}
	case scheduler.Fail:
		if r := c.open[a.ID]; r != nil && !r.answered {
			r.fail(c)
			c.forget(r)
		}
	case scheduler.HealthCheck:
		c.count.Probes++
		c.engines.HealthCheck(a.Engine)
	case scheduler.SetTimer:
		c.after(a.At, func() { c.events = append(c.events, scheduler.Timer{Token: a.Token}) })
	case scheduler.LatencyMeasurement:
		c.statements.measured(a, c.now)
	case scheduler.Log:
		slog.Info(a.Text)
	}
}

// renice takes over a request's priority, for what already runs too.
func (c *Core) renice(r *Request, priority int) {
	if !c.settings.Priorities || r.Priority == priority {
		return
	}
	r.Priority = priority
	for _, a := range r.attempts {
		if !a.ended && !a.dropped && !a.asking {
			c.engines.SetPriority(a)
		}
	}
}

// ReportProgress brings an engine's word on a running attempt. What comes after its end, or where engines send none, says nothing.
func (c *Core) ReportProgress(a *Attempt, kind scheduler.ProgressKind, value float64) {
	if a.ended || a.dropped || c.settings.ProgressInterval <= 0 {
		return
	}
	c.count.Notes++
	c.events = append(c.events, scheduler.ProgressReport{ID: a.id, Attempt: a.number, Engine: a.Engine, Kind: kind, Value: value})
}

func (r *Request) refuse(c *Core, after monotime.Micros) {
	r.answered = true
	c.count.Refused++
	c.trace.answered(r, "refused", c.now)
	r.caller.Reject(after)
}

func (r *Request) fail(c *Core) {
	r.answered = true
	c.count.Failed++
	c.trace.answered(r, "failed", c.now)
	r.caller.Fail()
}

func (c *Core) send(s scheduler.StartAttempt) {
	r := c.open[s.ID]
	if r == nil {
		return
	}
	a := &Attempt{Request: r, Engine: s.Engine, GrantMB: r.grantMB, number: len(r.attempts), at: c.now,
		StartBy: s.StartBy}
	a.Timeout, a.Strict = r.deadline-c.now, r.strict
	if s.Timeout > 0 && s.Timeout < a.Timeout {
		a.Timeout = s.Timeout
		a.due = c.after(c.now+a.Timeout, func() { c.drop(a, scheduler.TimedOut) })
	}
	r.attempts = append(r.attempts, a)
	r.out++
	c.out++
	c.count.Sent++
	c.trace.sent(a)
	if r.entry != nil {
		c.begin(a)
		return
	}
	c.engines.Start(a)
}

// forget lets go of a request that is answered and has nothing out.
func (c *Core) forget(r *Request) {
	if r.answered && r.out == 0 && c.open[r.id] == r {
		delete(c.open, r.id)
		delete(c.ids, r.ID)
		c.held -= len(r.Statement)
		c.callers.leave(r.from)
		c.cancel(r.due)
		c.leave(r)
	}
}

func (c *Core) tally(r scheduler.Result) {
	n := c.count
	*[...]*int{scheduler.Succeeded: &n.Done, scheduler.Errored: &n.Errored, scheduler.Rejected: &n.Full, scheduler.TimedOut: &n.TimedOut,
		scheduler.NoConnection: &n.NoConnection, scheduler.Reset: &n.Reset, scheduler.Canceled: &n.Dropped,
		scheduler.NotSent: &n.NotSent}[r]++
}
