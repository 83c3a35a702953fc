package server

import (
	"log/slog"

	"chutechute/scheduler"
)

// handleNoConnection settles a job that has no connection. What was never posted never ran. One that drains refuses new
// connections and runs on, so the job waits for one of those that are left; that none is left proves nothing, as the
// last may have been reset on its way. A process that is gone has ended all at once, or is listed as gone, which is
// enough for what may run twice without harm, and for no other: there the key's next was sent too early. Else a
// connection may have come up too late, and another may come up in time: it is tried for until the engine has given
// the query up by itself. A DELETE that was left undelivered for one late connection had the next of its key start
// while the query ran.
func (p *enginePool) handleNoConnection(j *engineRequest, refused bool) {
	j.trace("no connection", "refused", refused)
	j.connection = nil
	j.engine.refusesConnections = refused
	if refused && j.connectionReset && j.attempt.Strict { // who answers there next may be another process, which knows nothing of it
		j.startUnconfirmed = true
	}
	switch e := j.engine; {
	case !j.startSent:
		p.finish(j, scheduler.NoConnection)
	case refused && e.establishedCount > 0:
		e.enqueue(j)
	case refused && j.connectionReset && !j.attempt.Strict && (e.removed || e.resetCount > 1):
		p.finish(j, scheduler.Reset)
		if next := e.dequeue(); next != nil {
			p.sendNext(next)
		}
	default:
		j.redialAt = p.server.host.TurnTime + redialDelay
	}
}

// handleBrokenCall settles a job whose call has no readable answer; arrived says that something came in its place, so
// that the call itself has come whole. No connection owns a query, and its engine gives its answer again, so
// it is asked after on another connection. One that comes spoilt again and again is given up.
func (p *enginePool) handleBrokenCall(j *engineRequest, arrived bool) {
	j.trace("broken", "arrived", arrived)
	j.connection = nil
	j.connectionReset = !arrived
	j.lastPolled = p.server.host.TurnTime // as far as its engine may know
	j.resumeCount++
	switch {
	case j.attempt == nil:
		p.finish(j, scheduler.Reset)
	case arrived && j.query.Dropping():
		p.finish(j, scheduler.Canceled)
	case j.resumeCount <= maxResumes:
		// A machine that was away ends its old connections when it is back, with what was sent meanwhile unread or
		// read by a process that is no more; to ask after it, or a DELETE, then tells nothing.
		// What came in place of a POST's answer may be a late copy of another, which says nothing of the POST either.
		j.startUnconfirmed = j.startUnconfirmed || j.query.Posting()
		j.query.Resume()
		p.sendNext(j)
	case !j.query.Dropping() && !j.startUnconfirmed:
		j.resumeCount = 0
		j.query.Drop()
		p.sendNext(j)
	} // else the engine gives it up unasked
}

// handleUnresponsive settles a job whose call has been met with silence. The machine may be gone, so only a new
// connection can tell; where none comes up the query is left until its engine has given it up. One that is
// not heard of twice is given up: what was asked may reach the engine late, so that waiting proves less than
// the answer to a DELETE. A POST may still be read, and a DELETE is not to overtake it.
func (p *enginePool) handleUnresponsive(j *engineRequest) {
	j.trace("unheard")
	p.server.core.EngineUnresponsive(j.engine.name)
	j.connection, j.connectionReset = nil, false
	j.resumeCount++
	switch {
	case j.attempt == nil || j.finalDelete || j.resumeCount > maxResumes || j.startUnconfirmed:
		return
	case j.query.Posting():
		j.startUnconfirmed = true
		j.query.Resume()
	case j.resumeCount > 1:
		j.query.Drop()
	}
	p.dial(j)
}

// trace logs what befell a job's call, at debug level.
func (j *engineRequest) trace(what string, more ...any) {
	if j.attempt != nil {
		slog.Debug(what, append(more, "call", j.attempt.ID, "engine", j.engine.name, "posted", j.startSent,
			"posting", j.query.Posting(), "dropping", j.query.Dropping(), "doubt", j.startUnconfirmed, "resumes", j.resumeCount)...)
	}
}

func (p *enginePool) finish(j *engineRequest, result scheduler.Result) {
	if j.finished {
		return
	}
	if c := j.connection; c != nil {
		c.request, j.connection = nil, nil
		if c.connecting {
			c.terminate()
		}
	}
	delete(p.requests, j)
	j.engine.requestCount--
	j.finished = true
	if j.attempt == nil {
		p.server.core.HealthCheckEnded(j.engine.name, result, p.server.host.TurnTime-j.startedAt, j.query.Load())
		return
	}
	delete(p.requestByAttempt, j.attempt)
	if p.server.cfg.Settings.ReportsCost {
		cost := j.query.Cost()
		j.attempt.WorkUsed, j.attempt.MemoryUsedMB = cost.Work, cost.MemoryMB
	}
	p.server.core.AttemptEnded(p.server.host.TurnTime, j.attempt, result, j.query.Rows(), j.query.Load())
}

// redial settles a job whose connection broke before it carried its call: one connection says nothing of the
// engine, so another is tried.
func (p *enginePool) redial(j *engineRequest) {
	if j.connection = nil; j.startSent {
		p.handleBrokenCall(j, false)
		return
	}
	if j.redialCount++; j.redialCount > maxRedials {
		p.handleNoConnection(j, false)
		return
	}
	p.sendNext(j)
}
