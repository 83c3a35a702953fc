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

// engineConn is a connection to an engine; it carries one call at a time.
type engineConn struct {
	eventloop.Stream
	pool                      *enginePool
	engine                    *engine
	request                   *engineRequest // whose call is out; nil also while an answer that nobody waits for is to come
	abandonedPoll             *engineRequest // that was dropped while the answer to its question was to come
	busy                      bool           // a call is out
	connecting                bool
	shaking                   bool            // a part of connecting, once the connection has come up
	lastActivity              monotime.Micros // of the call, the dial or the last use
	overtakenSince            monotime.Micros // since when other answers have overtaken this one; 0: none has
	partialSince              monotime.Micros // since when the answer has come in part; 0: it has not
	callSize                  int             // bytes of the call
	duplicateResponsePossible bool            // more answers may be to come than calls are out
}

// reuseDelay is how long a connection rests before it carries another query.
func (c *engineConn) reuseDelay() monotime.Micros {
	if c.duplicateResponsePossible {
		return responseTimeout
	}
	return normalReuseDelay
}

// isOvertaken says that the engine has gone on to answer others when this call's answer was due.
func (c *engineConn) isOvertaken(now monotime.Micros) bool {
	switch {
	case c.engine.lastSeen < c.lastActivity+responseTimeout:
		return false
	case c.overtakenSince == 0: // after a standstill all answers come at once
		c.overtakenSince = now
	}
	return now-c.overtakenSince >= overtakenGrace
}

// send writes the next call of the connection's job.
func (c *engineConn) send() {
	j := c.request
	if j.startExpired() {
		c.request, j.connection = nil, nil
		c.pool.finish(j, scheduler.NotSent)
		c.release(true)
		return
	}
	b, err := c.Seal(j.query.Call())
	c.busy, c.lastActivity, c.callSize, c.partialSince, c.overtakenSince = true, c.pool.server.host.TurnTime, len(b), 0, 0
	if !j.query.Dropping() {
		j.lastPolled = c.lastActivity
	}
	c.pool.server.host.Counters.Calls++
	if err == nil {
		_, err = c.Out.Write(b)
	}
	if err == nil {
		err = c.Flush()
	}
	if c.Out.Len() < c.callSize {
		j.startSent = true
	}
	if err != nil {
		c.fail(false)
		return
	}
	c.UpdateInterest(true)
}

func (c *engineConn) Ready(events uint32) {
	if c.shaking {
		c.driveHandshake(events)
		return
	}
	if c.connecting {
		if err := eventloop.DialResult(c.FD); err != nil {
			j := c.request
			c.terminate()
			if j != nil && err == unix.ECONNREFUSED {
				c.pool.handleNoConnection(j, true)
			} else if j != nil {
				c.pool.redial(j)
			}
			return
		}
		c.engine.refusesConnections, c.engine.resetCount = false, 0
		if c.pool.usesTLS() {
			c.startHandshake()
			return
		}
		c.markEstablished()
		c.send()
		return
	}
	if events&unix.EPOLLOUT != 0 {
		if j := c.request; j.startExpired() && c.Out.Len() > 0 { // what is left of its start stays unwritten
			c.fail(false)
			return
		}
		err := c.Flush()
		if c.request != nil && c.Out.Len() < c.callSize {
			c.request.startSent = true
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
	more, err := c.readInput()
	if err != nil {
		c.failMalformed(err)
		return
	}
	if !c.busy && c.In.Len() > 0 { // a second copy, or a part of one: what follows it could be taken for the next query's answer
		slog.Debug("stray", "engine", c.engine.name, "ms", float64(c.pool.server.host.Clock.Now()-c.lastActivity)/1000)
		c.failMalformed(nil)
		return
	}
	for !c.Closed && c.In.Len() > 0 {
		r, ok, err := rest.NextResponse(c.In)
		if err != nil {
			c.failMalformed(err)
			return
		}
		if !ok {
			break
		}
		c.handleResponse(r, more)
	}
	switch {
	case c.Closed:
	case !more:
		c.fail(c.In.Len() > 0)
	case len(c.In.Space()) == 0: // the storage for all engines is taken
		c.fail(c.In.Len() > 0)
	case c.In.Len() > 0 && c.partialSince == 0:
		c.partialSince = c.pool.server.host.TurnTime
	}
}

// failMalformed ends a connection on which something came that is no answer to its call.
func (c *engineConn) failMalformed(err error) {
	c.pool.server.host.Counters.Spoilt++
	slog.Debug("engine", "engine", c.engine.name, "error", err)
	c.fail(true)
}

// handleResponse takes a whole answer; what follows goes out at once over the same connection.
func (c *engineConn) handleResponse(r rest.Response, more bool) {
	j := c.request
	c.engine.lastSeen, c.engine.resetCount = c.pool.server.host.TurnTime, 0
	result, ended, err := scheduler.Succeeded, false, error(nil)
	if j != nil {
		result, ended, err = j.query.Take(r)
	}
	if errors.Is(err, rest.ErrStray) { // what the DELETE ends may still run: it goes again over another connection
		c.pool.server.host.Counters.Spoilt++
		c.fail(false)
		return
	}
	if err != nil {
		c.failMalformed(err)
		return
	}
	// No news before it is time may be the last answer once more, and the one to this call still to come.
	c.duplicateResponsePossible = c.duplicateResponsePossible || r.Status == 202 && c.pool.server.host.TurnTime-c.lastActivity < longPollDuration-longPollTolerance
	c.busy, c.request, c.lastActivity, c.partialSince = false, nil, c.pool.server.host.TurnTime, 0
	room := c.pool.server.freeDescriptors() >= 0 || !c.pool.isReplaceable(c)
	usable := more && !r.Close && c.In.Len() == 0 && c.Out.Len() == 0 && room && c.PeerSilent()
	if j == nil {
		if j = c.abandonedPoll; j != nil { // it counts as asked after until now
			c.abandonedPoll, j.lastPolled = nil, c.pool.server.host.TurnTime
		}
		c.release(usable)
		return
	}
	j.connection, j.resumeCount = nil, 0
	c.pool.server.host.Counters.OddFacts += r.Odd
	if n := j.query.Note(); n != nil && j.attempt != nil && !ended {
		c.pool.server.core.ReportProgress(j.attempt, n.Kind, n.Value)
	}
	if ended && j.startUnconfirmed && !j.finalDelete && (result == scheduler.Errored || result == scheduler.Canceled) {
		j.trace("unknown")
		c.release(usable) // the engine knows nothing of it: what it has not read of the POST may still come, or another process has it
		return
	}
	if ended && result == scheduler.Errored {
		j.trace("errored", "status", r.Status)
	}
	j.startUnconfirmed = false
	if !ended && j.cancelAfterStart {
		j.query.Drop()
	}
	switch {
	case ended:
		c.release(usable)
		c.pool.finish(j, result)
	case usable && j.query.Polling() && len(c.engine.waitQueue) > 0:
		// Only one whose end is awaited takes its turn: pages to fetch and DELETEs would reach the client late.
		c.engine.enqueue(j)
		c.release(true)
	case usable:
		c.request, j.connection = j, c
		c.send()
	default:
		c.terminate()
		c.pool.sendNext(j)
	}
}

// release keeps a connection for another query, or ends it and gives the next job that waits for one another. Where no
// other may be had, as the engine drains or this is the last one, that job waits until this one has rested.
func (c *engineConn) release(usable bool) {
	e := c.engine
	if !usable || len(e.waitQueue) == 0 && e.removed || len(e.waitQueue) > 0 && !e.refusesConnections && c.pool.isReplaceable(c) {
		c.terminate()
		return
	}
	e.idle = append(e.idle, c)
	c.UpdateInterest(true)
}

// fail ends a broken connection and settles its job; arrived says that its call has come whole.
func (c *engineConn) fail(arrived bool) {
	j := c.request
	if e := c.engine; c.busy && !arrived {
		if c.pool.server.host.TurnTime-e.resetWindowStart > resetWindow {
			e.resetCount, e.resetWindowStart = 0, c.pool.server.host.TurnTime
		}
		e.resetCount++
	}
	c.terminate()
	switch {
	case j == nil:
	case j.startSent || j.attempt == nil:
		c.pool.handleBrokenCall(j, arrived)
	default:
		c.pool.redial(j)
	}
}

// markEstablished notes that the connection may carry calls.
func (c *engineConn) markEstablished() {
	c.connecting, c.shaking = false, false
	c.engine.establishedCount++
}

// terminate closes the connection and takes it out of the pool; its job, if any, is its caller's to settle.
func (c *engineConn) terminate() {
	c.Close()
	c.request = nil
	if _, ok := c.pool.connections[c]; !ok {
		return
	}
	delete(c.pool.connections, c)
	c.engine.connectionCount--
	if !c.connecting {
		c.engine.establishedCount--
	}
	defer func() {
		if j := c.engine.dequeue(); j != nil {
			c.pool.sendNext(j)
		}
	}()
	for i, other := range c.engine.idle {
		if other == c {
			c.engine.idle = append(c.engine.idle[:i], c.engine.idle[i+1:]...)
			break
		}
	}
}
