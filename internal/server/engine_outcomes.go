package server

import (
	"log/slog"

	"chutechute/scheduler"
)

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
		p.finish(j, scheduler.NoConnection)
	case refused && e.up > 0:
		e.wait(j)
	case refused && j.cut && !j.attempt.Strict && (e.removed || e.cuts > 1):
		p.finish(j, scheduler.Reset)
		if next := e.next(); next != nil {
			p.carry(next)
		}
	default:
		j.retry = p.s.TurnTime + redialAfter
	}
}

// broken settles a job whose call has no readable answer; arrived says that something came in its place, so
// that the call itself has come whole. No connection owns a query, and its engine gives its answer again, so
// it is asked after on another connection. One that comes spoilt again and again is given up.
func (p *pool) broken(j *job, arrived bool) {
	j.trace("broken", "arrived", arrived)
	j.conn = nil
	j.cut = !arrived
	j.asked = p.s.TurnTime // as far as its engine may know
	j.resumes++
	switch {
	case j.attempt == nil:
		p.finish(j, scheduler.Reset)
	case arrived && j.query.Dropping():
		p.finish(j, scheduler.Canceled)
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
	p.s.core.EngineUnresponsive(j.engine.name)
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

func (p *pool) finish(j *job, result scheduler.Result) {
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
		p.s.core.HealthCheckEnded(j.engine.name, result, p.s.TurnTime-j.begun, j.query.Load())
		return
	}
	delete(p.byTry, j.attempt)
	if p.s.cfg.Settings.ReportsCost {
		cost := j.query.Cost()
		j.attempt.WorkUsed, j.attempt.MemoryUsedMB = cost.Work, cost.MemoryMB
	}
	p.s.core.AttemptEnded(p.s.TurnTime, j.attempt, result, j.query.Rows(), j.query.Load())
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
