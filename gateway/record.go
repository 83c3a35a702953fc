package gateway

import (
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// IdempotencyStore vouches beyond this front end for keyed loads: what it has noted outlives the process. It only holds back; which
// engine a load goes to, and whether once more, stays the module's. Its calls back come between steps, never from within a
// call. Without a record nothing of this is done.
type IdempotencyStore interface {
	// Register notes a load that was taken. One of the entry's calls follows, unless it leaves before.
	Register(now monotime.Micros, e *Registration)
	// Authorize asks whether an attempt may begin; granted is called once, or not at all after the entry left.
	Authorize(now monotime.Micros, e *Registration, attempt int, engine string, granted func(now monotime.Micros, ok bool))
	// Commit notes a load's rows as its outcome. Over follows with what is kept.
	Commit(now monotime.Micros, e *Registration, rows []byte)
	// Release ends this front end's part in a load that was not kept. Nothing of it runs or will begin; ran says whether some
	// attempt may have.
	Release(now monotime.Micros, e *Registration, ran bool)
	// Transfer has another front end look after a load that runs, as this one ends. Leave may follow, and changes nothing then.
	Transfer(now monotime.Micros, e *Registration)
	// OutcomeUnknown says whether some attempt of the load may have begun, on whichever front end.
	OutcomeUnknown(e *Registration) bool
}

// Registration is a load on its way through the record.
type Registration struct {
	// Slot, Checked and Seen are the record's own.
	Slot    any
	Checked bool
	Seen    bool

	c     *Core
	r     *Request
	event scheduler.Request
	told  bool // the module has it
	begun bool // an attempt was handed to an engine's adapter
	ran   bool // an attempt that is over may have run
	kept  bool // its rows were handed to the record
	gone  bool // Leave was called
	// handed says that another front end was to look after it.
	handed bool
}

// Call is what the client sent.
func (e *Registration) Call() *Call { return e.r.Call }

// Deadline is when the request's final answer is due; nothing of it begins later.
func (e *Registration) Deadline() monotime.Micros { return e.r.deadline }

// UseIdempotencyStore has a record vouch for keyed loads.
func (c *Core) UseIdempotencyStore(r IdempotencyStore) { c.record = r }

// enter lets a load pass the record before the module hears of it; false where none vouches for it.
func (c *Core) enter(now monotime.Micros, r *Request, event scheduler.Request) bool {
	if c.record == nil || r.IdempotencyKey == "" || c.settings.Classes[event.Class].Effect != scheduler.IdempotentByKey {
		return false
	}
	r.entry = &Registration{c: c, r: r, event: event}
	c.record.Register(now, r.entry)
	return true
}

// Owned says that the load is this front end's and that nothing of its key stands before it: the module may have it.
func (e *Registration) Owned() {
	if !e.r.answered && !e.told {
		e.told = true
		e.c.events = append(e.c.events, e.event)
	}
}

// Suspend says that another front end has the load now, or that its turn has not come: the module is to let go of it.
func (e *Registration) Suspend() {
	if e.told {
		e.told = false
		e.c.events = append(e.c.events, scheduler.ClientDisconnected{ID: e.r.id})
	}
}

// Finish brings the load's outcome.
func (e *Registration) Finish(now monotime.Micros, served bool, rows []byte) {
	c, r := e.c, e.r
	if r.answered {
		return
	}
	if !e.kept {
		e.Suspend()
	}
	c.now = now
	if served {
		r.answered = true
		c.count.Served++
		c.trace.answered(r, "served", now)
		r.caller.Respond(rows)
	} else {
		r.fail(c)
	}
	c.forget(r)
}

// Reject turns the load away: nothing of it ran. After says when to come back.
func (e *Registration) Reject(now, after monotime.Micros) {
	if !e.r.answered {
		e.Suspend()
		e.c.now = now
		e.r.refuse(e.c, after)
		e.c.forget(e.r)
	}
}

// outlives says whether a load goes on though its client has gone: a repeat will ask for what became of it.
func (e *Registration) outlives() bool { return e != nil && (e.begun || e.kept) }

// doubtful says whether something of the load may have run or may run still, so that to call it refused would be untrue.
func (e *Registration) doubtful() bool { return e != nil && (e.ran || e.begun && e.r.out > 0) }

// nobody is the caller of a load whose client has gone.
type nobody struct{}

func (nobody) Respond([]byte)         {}
func (nobody) Reject(monotime.Micros) {}
func (nobody) Fail()                  {}

// expireEntry answers a load at its deadline that the module does not have; false for all others.
func (c *Core) expireEntry(r *Request) bool {
	e := r.entry
	if e == nil || e.told && !e.kept {
		return false
	}
	if e.kept || e.doubtful() || c.record.OutcomeUnknown(e) {
		r.fail(c)
	} else {
		r.refuse(c, busyAfter)
	}
	c.forget(r)
	return true
}

// grantedFor is how long the record's word that an attempt may begin is good for, from before it was asked. It is less than how
// long who takes over from this front end waits for a start that its engine knows nothing of (see package loads).
const grantedFor = 1900 * monotime.Second / 1000

// AbandonTimeout is how long an engine goes on with what nobody asks for: 2 s, and one call that is out may last 250 ms.
const AbandonTimeout = 2350 * monotime.Second / 1000

// Takeover is a load that another front end started and does not look after any more.
type Takeover struct {
	RequestID           string // the call of what was started
	Engine              string
	IdempotencyKey, Key string
	Class               string
	TTL                 monotime.Micros
}

// TakeOver looks after what another front end has started: its engine is asked for it, nothing of it is started. The record hears of its
// end as of any other. It gives nil where that call is open here already.
func (c *Core) TakeOver(now monotime.Micros, s Takeover) *Registration {
	if c.ids[s.RequestID] {
		return nil
	}
	r := &Request{Call: &Call{ID: s.RequestID, IdempotencyKey: s.IdempotencyKey, Key: s.Key, Class: s.Class, TTL: s.TTL}, id: c.newID(), seq: c.lastID,
		caller: nobody{}, taken: now, Priority: NoPriority, deadline: now + s.TTL - margin}
	c.open[r.id], c.ids[s.RequestID] = r, true
	r.due = c.after(r.deadline, func() { c.expire(r) })
	r.entry = &Registration{c: c, r: r, told: true, begun: true, ran: true}
	a := &Attempt{Request: r, Engine: s.Engine, Timeout: r.deadline - now, at: now, AlreadyRunning: true, Strict: true}
	r.attempts, r.out = append(r.attempts, a), 1
	c.out++
	c.engines.Start(a)
	return r.entry
}

// begin asks the record whether an attempt may begin, and hands it to the engines once it may. What was given up meanwhile
// has ended already, and is not handed on whatever the record says.
func (c *Core) begin(a *Attempt) {
	a.asking = true
	c.record.Authorize(c.now, a.entry, a.number, a.Engine, func(now monotime.Micros, ok bool) {
		if a.ended {
			return
		}
		a.asking = false
		if !ok || now >= a.deadline {
			c.AttemptEnded(now, a, scheduler.NotSent, nil, nil)
			return
		}
		a.entry.begun = true
		a.Timeout = min(a.Timeout, a.deadline-now)
		until := min(a.deadline, a.at+grantedFor)
		if a.StartBy == 0 || until < a.StartBy {
			a.StartBy = until
		}
		c.engines.Start(a)
	})
}

// settle hands a load's rows to the record; its client hears once they are kept.
func (c *Core) settle(now monotime.Micros, a *Attempt, rows []byte) {
	if !a.entry.kept {
		a.entry.kept = true
		c.statements.served(a.Request)
		c.record.Commit(now, a.entry, rows)
	}
}

// leave ends a load's part in the record with its request.
func (c *Core) leave(r *Request) {
	if e := r.entry; e != nil && !e.kept && !e.gone {
		e.gone = true
		c.record.Release(c.now, e, e.ran)
	}
}
