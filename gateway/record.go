package gateway

import (
	"chutechute/scheduler"
)

// Record vouches beyond this front end for keyed loads: what it has noted outlives the process. It only holds back; which
// engine a load goes to, and whether once more, stays the module's. Its calls back come between steps, never from within a
// call. Without a record nothing of this is done.
type Record interface {
	// Enter notes a load that was taken. One of the entry's calls follows, unless it leaves before.
	Enter(now Micros, e *Entry)
	// Begin asks whether an attempt may begin; granted is called once, or not at all after the entry left.
	Begin(now Micros, e *Entry, attempt int, engine string, granted func(now Micros, ok bool))
	// Keep notes a load's rows as its outcome. Over follows with what is kept.
	Keep(now Micros, e *Entry, rows []byte)
	// Leave ends this front end's part in a load that was not kept. Nothing of it runs or will begin; ran says whether some
	// attempt may have.
	Leave(now Micros, e *Entry, ran bool)
	// HandOn has another front end look after a load that runs, as this one ends. Leave may follow, and changes nothing then.
	HandOn(now Micros, e *Entry)
	// Doubt says whether some attempt of the load may have begun, on whichever front end.
	Doubt(e *Entry) bool
}

// Entry is a load on its way through the record.
type Entry struct {
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
func (e *Entry) Call() *Call { return e.r.Call }

// Deadline is when the request's final answer is due; nothing of it begins later.
func (e *Entry) Deadline() Micros { return e.r.deadline }

// UseRecord has a record vouch for keyed loads.
func (c *Core) UseRecord(r Record) { c.record = r }

// enter lets a load pass the record before the module hears of it; false where none vouches for it.
func (c *Core) enter(now Micros, r *Request, event scheduler.Request) bool {
	if c.record == nil || r.Once == "" || c.settings.Classes[event.Class].Repeat != scheduler.Keyed {
		return false
	}
	r.entry = &Entry{c: c, r: r, event: event}
	c.record.Enter(now, r.entry)
	return true
}

// Mine says that the load is this front end's and that nothing of its key stands before it: the module may have it.
func (e *Entry) Mine() {
	if !e.r.answered && !e.told {
		e.told = true
		e.c.events = append(e.c.events, e.event)
	}
}

// Yield says that another front end has the load now, or that its turn has not come: the module is to let go of it.
func (e *Entry) Yield() {
	if e.told {
		e.told = false
		e.c.events = append(e.c.events, scheduler.Gone{ID: e.r.id})
	}
}

// Over brings the load's outcome.
func (e *Entry) Over(now Micros, served bool, rows []byte) {
	c, r := e.c, e.r
	if r.answered {
		return
	}
	if !e.kept {
		e.Yield()
	}
	c.now = now
	if served {
		r.answered = true
		c.count.Served++
		c.trace.answered(r, "served", now)
		r.caller.Served(rows)
	} else {
		r.fail(c)
	}
	c.forget(r)
}

// Turn turns the load away: nothing of it ran. After says when to come back.
func (e *Entry) Turn(now, after Micros) {
	if !e.r.answered {
		e.Yield()
		e.c.now = now
		e.r.refuse(e.c, after)
		e.c.forget(e.r)
	}
}

// outlives says whether a load goes on though its client has gone: a repeat will ask for what became of it.
func (e *Entry) outlives() bool { return e != nil && (e.begun || e.kept) }

// doubtful says whether something of the load may have run or may run still, so that to call it refused would be untrue.
func (e *Entry) doubtful() bool { return e != nil && (e.ran || e.begun && e.r.out > 0) }

// nobody is the caller of a load whose client has gone.
type nobody struct{}

func (nobody) Served([]byte)  {}
func (nobody) Refused(Micros) {}
func (nobody) Failed()        {}

// expireEntry answers a load at its deadline that the module does not have; false for all others.
func (c *Core) expireEntry(r *Request) bool {
	e := r.entry
	if e == nil || e.told && !e.kept {
		return false
	}
	if e.kept || e.doubtful() || c.record.Doubt(e) {
		r.fail(c)
	} else {
		r.refuse(c, busyAfter)
	}
	c.forget(r)
	return true
}

// grantedFor is how long the record's word that an attempt may begin is good for, from before it was asked. It is less than how
// long who takes over from this front end waits for a start that its engine knows nothing of (see package loads).
const grantedFor = 1900 * scheduler.Second / 1000

// Unasked is how long an engine goes on with what nobody asks for: 2 s, and one call that is out may last 250 ms.
const Unasked = 2350 * scheduler.Second / 1000

// Succession is a load that another front end started and does not look after any more.
type Succession struct {
	Run       string // the call of what was started
	Engine    string
	Once, Key string
	Class     string
	TTL       Micros
}

// Succeed looks after what another front end has started: its engine is asked for it, nothing of it is started. The record hears of its
// end as of any other. It gives nil where that call is open here already.
func (c *Core) Succeed(now Micros, s Succession) *Entry {
	if c.ids[s.Run] {
		return nil
	}
	r := &Request{Call: &Call{ID: s.Run, Once: s.Once, Key: s.Key, Class: s.Class, TTL: s.TTL}, id: c.newID(), seq: c.lastID,
		caller: nobody{}, taken: now, Priority: NoPriority, deadline: now + s.TTL - margin}
	c.open[r.id], c.ids[s.Run] = r, true
	r.due = c.after(r.deadline, func() { c.expire(r) })
	r.entry = &Entry{c: c, r: r, told: true, begun: true, ran: true}
	a := &Attempt{Request: r, Engine: s.Engine, Wait: r.deadline - now, at: now, Running: true, Strict: true}
	r.attempts, r.out = append(r.attempts, a), 1
	c.out++
	c.engines.Start(a)
	return r.entry
}

// begin asks the record whether an attempt may begin, and hands it to the engines once it may. What was given up meanwhile
// has ended already, and is not handed on whatever the record says.
func (c *Core) begin(a *Attempt) {
	a.asking = true
	c.record.Begin(c.now, a.entry, a.number, a.Engine, func(now Micros, ok bool) {
		if a.ended {
			return
		}
		a.asking = false
		if !ok || now >= a.deadline {
			c.Ended(now, a, scheduler.NotSent, nil, nil)
			return
		}
		a.entry.begun = true
		a.Wait = min(a.Wait, a.deadline-now)
		until := min(a.deadline, a.at+grantedFor)
		if a.Until == 0 || until < a.Until {
			a.Until = until
		}
		c.engines.Start(a)
	})
}

// settle hands a load's rows to the record; its client hears once they are kept.
func (c *Core) settle(now Micros, a *Attempt, rows []byte) {
	if !a.entry.kept {
		a.entry.kept = true
		c.statements.served(a.Request)
		c.record.Keep(now, a.entry, rows)
	}
}

// leave ends a load's part in the record with its request.
func (c *Core) leave(r *Request) {
	if e := r.entry; e != nil && !e.kept && !e.gone {
		e.gone = true
		c.record.Leave(c.now, e, e.ran)
	}
}
