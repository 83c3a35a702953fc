package server

import (
	"errors"
	"log/slog"

	"golang.org/x/sys/unix"

	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/rest"
	"chutechute/scheduler"
)

// conn is a connection to an engine; it carries one call at a time.
type conn struct {
	eventloop.Stream
	p          *pool
	engine     *engine
	job        *job // whose call is out; nil also while an answer that nobody waits for is to come
	asking     *job // that was dropped while the answer to its question was to come
	busy       bool // a call is out
	connecting bool
	shaking    bool            // a part of connecting, once the connection has come up
	since      monotime.Micros // of the call, the dial or the last use
	suspect    monotime.Micros // since when other answers have overtaken this one; 0: none has
	part       monotime.Micros // since when the answer has come in part; 0: it has not
	size       int             // bytes of the call
	unsure     bool            // more answers may be to come than calls are out
}

// rest is how long a connection rests before it carries another query.
func (c *conn) rest() monotime.Micros {
	if c.unsure {
		return answerWithin
	}
	return restFor
}

// passedOver says that the engine has gone on to answer others when this call's answer was due.
func (c *conn) passedOver(now monotime.Micros) bool {
	switch {
	case c.engine.heard < c.since+answerWithin:
		return false
	case c.suspect == 0: // after a standstill all answers come at once
		c.suspect = now
	}
	return now-c.suspect >= suspectFor
}

// call writes the next call of the connection's job.
func (c *conn) call() {
	j := c.job
	if j.late() {
		c.job, j.conn = nil, nil
		c.p.finish(j, scheduler.NotSent)
		c.release(true)
		return
	}
	b, err := c.Seal(j.query.Call())
	c.busy, c.since, c.size, c.part, c.suspect = true, c.p.s.TurnTime, len(b), 0, 0
	if !j.query.Dropping() {
		j.asked = c.since
	}
	c.p.s.Counters.Calls++
	if err == nil {
		_, err = c.Out.Write(b)
	}
	if err == nil {
		err = c.Flush()
	}
	if c.Out.Len() < c.size {
		j.posted = true
	}
	if err != nil {
		c.fail(false)
		return
	}
	c.UpdateInterest(true)
}

func (c *conn) Ready(events uint32) {
	if c.shaking {
		c.shake(events)
		return
	}
	if c.connecting {
		if err := eventloop.DialResult(c.FD); err != nil {
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
		if j := c.job; j.late() && c.Out.Len() > 0 { // what is left of its start stays unwritten
			c.fail(false)
			return
		}
		err := c.Flush()
		if c.job != nil && c.Out.Len() < c.size {
			c.job.posted = true
		}
		if err != nil {
			c.fail(false)
			return
		}
		c.UpdateInterest(true)
	}
	if events&^unix.EPOLLOUT == 0 {
		return
	}
	more, err := c.fill()
	if err != nil {
		c.spoilt(err)
		return
	}
	if !c.busy && c.In.Len() > 0 { // a second copy, or a part of one: what follows it could be taken for the next query's answer
		slog.Debug("stray", "engine", c.engine.name, "ms", float64(c.p.s.Clock.Now()-c.since)/1000)
		c.spoilt(nil)
		return
	}
	for !c.Closed && c.In.Len() > 0 {
		r, ok, err := rest.NextResponse(c.In)
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
	case c.Closed:
	case !more:
		c.fail(c.In.Len() > 0)
	case len(c.In.Space()) == 0: // the storage for all engines is taken
		c.fail(c.In.Len() > 0)
	case c.In.Len() > 0 && c.part == 0:
		c.part = c.p.s.TurnTime
	}
}

// spoilt ends a connection on which something came that is no answer to its call.
func (c *conn) spoilt(err error) {
	c.p.s.Counters.Spoilt++
	slog.Debug("engine", "engine", c.engine.name, "error", err)
	c.fail(true)
}

// answer takes a whole answer; what follows goes out at once over the same connection.
func (c *conn) answer(r rest.Response, more bool) {
	j := c.job
	c.engine.heard, c.engine.cuts = c.p.s.TurnTime, 0
	result, ended, err := scheduler.Succeeded, false, error(nil)
	if j != nil {
		result, ended, err = j.query.Take(r)
	}
	if errors.Is(err, rest.ErrStray) { // what the DELETE ends may still run: it goes again over another connection
		c.p.s.Counters.Spoilt++
		c.fail(false)
		return
	}
	if err != nil {
		c.spoilt(err)
		return
	}
	// No news before it is time may be the last answer once more, and the one to this call still to come.
	c.unsure = c.unsure || r.Status == 202 && c.p.s.TurnTime-c.since < newsAfter-newsSlack
	c.busy, c.job, c.since, c.part = false, nil, c.p.s.TurnTime, 0
	room := c.p.s.unused() >= 0 || !c.p.replaceable(c)
	usable := more && !r.Close && c.In.Len() == 0 && c.Out.Len() == 0 && room && c.PeerSilent()
	if j == nil {
		if j = c.asking; j != nil { // it counts as asked after until now
			c.asking, j.asked = nil, c.p.s.TurnTime
		}
		c.release(usable)
		return
	}
	j.conn, j.resumes = nil, 0
	c.p.s.Counters.OddFacts += r.Odd
	if n := j.query.Note(); n != nil && j.attempt != nil && !ended {
		c.p.s.core.ReportProgress(j.attempt, n.Kind, n.Value)
	}
	if ended && j.doubt && !j.last && (result == scheduler.Errored || result == scheduler.Canceled) {
		j.trace("unknown")
		c.release(usable) // the engine knows nothing of it: what it has not read of the POST may still come, or another process has it
		return
	}
	if ended && result == scheduler.Errored {
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
	c.UpdateInterest(true)
}

// fail ends a broken connection and settles its job; arrived says that its call has come whole.
func (c *conn) fail(arrived bool) {
	j := c.job
	if e := c.engine; c.busy && !arrived {
		if c.p.s.TurnTime-e.cutAt > atOnce {
			e.cuts, e.cutAt = 0, c.p.s.TurnTime
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

// cameUp notes that the connection may carry calls.
func (c *conn) cameUp() {
	c.connecting, c.shaking = false, false
	c.engine.up++
}

// end closes the connection and takes it out of the pool; its job, if any, is its caller's to settle.
func (c *conn) end() {
	c.Close()
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
