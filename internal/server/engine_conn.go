package server

import (
	"golang.org/x/sys/unix"

	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

const (
	normalReuseDelay = 50 * monotime.Millisecond // what crosses a response, a second copy of it too, comes within it
	// longPollDuration is after how long an engine that has no news of a query responds so, and not sooner.
	longPollDuration  = 250 * monotime.Millisecond
	longPollTolerance = 50 * monotime.Millisecond
)

// engineConnState is what a connection to an engine is doing.
type engineConnState int

const (
	engineDialing engineConnState = iota
	engineHandshaking
	engineIdle
	engineBusy // a call is in flight
)

// engineConn is a connection to an engine; it carries one call at a time.
type engineConn struct {
	eventloop.Stream
	pool          *enginePool
	engine        *engine
	state         engineConnState
	request       *engineRequest  // whose call it carries; nil also where nobody awaits the response
	abandonedPoll *engineRequest  // that has left the connection with the response to its poll still to come
	lastActivity  monotime.Micros // when the call was sent, the dial began or the last response came

	callSize              int             // bytes of the call
	partialSince          monotime.Micros // since when the response has been incomplete; 0: it is not
	overtakenSince        monotime.Micros // since when other responses have overtaken this one; 0: none has
	staleResponsePossible bool            // more responses may be to come than calls are in flight
}

// isConnecting says whether the connection is not established yet.
func (c *engineConn) isConnecting() bool { return c.state <= engineHandshaking }

// isRested says whether an idle connection may carry another query by now.
func (c *engineConn) isRested(now monotime.Micros) bool {
	delay := normalReuseDelay
	if c.staleResponsePossible {
		delay = responseTimeout
	}
	return now-c.lastActivity >= delay
}

// isOvertaken says whether the engine has gone on to respond to others when the response to this call was due.
func (c *engineConn) isOvertaken(now monotime.Micros) bool {
	if c.engine.lastSeen < c.lastActivity+responseTimeout {
		return false
	}
	if c.overtakenSince == 0 { // after a standstill all responses come at once
		c.overtakenSince = now
	}
	return now-c.overtakenSince >= overtakenGrace
}

// Ready goes on with the dial or the handshake, writes the rest of the call, and handles the responses that have come.
func (c *engineConn) Ready(events uint32) {
	switch c.state {
	case engineHandshaking:
		c.driveHandshake(events)
		return
	case engineDialing:
		c.finishDial()
		return
	}
	if isWritable(events) && !c.flushCall() {
		return
	}
	if isReadable(events) {
		c.readResponses()
	}
}

// finishDial goes on once the dial has succeeded or failed.
func (c *engineConn) finishDial() {
	if err := eventloop.DialResult(c.FD); err != nil {
		c.failDial(err)
		return
	}
	c.engine.refusesConnections, c.engine.resetCount = false, 0
	if c.pool.usesTLS() {
		c.startHandshake()
		return
	}
	c.markEstablished()
	c.send()
}

// failDial closes a connection that could not be established.
func (c *engineConn) failDial(err error) {
	request := c.request
	c.terminate()
	switch {
	case request == nil:
	case err == unix.ECONNREFUSED:
		c.pool.handleNoConnection(request, true)
	default:
		c.pool.redial(request)
	}
}

// markEstablished notes that the connection may carry calls.
func (c *engineConn) markEstablished() {
	c.state = engineIdle
	c.engine.establishedCount++
}

// send writes the next call of the connection's request.
func (c *engineConn) send() {
	request := c.request
	if request.isStartExpired() {
		request.detach()
		c.pool.finish(request, scheduler.NotSent)
		c.release(true)
		return
	}
	call, err := c.Encode(request.query.Call())
	c.state, c.lastActivity, c.callSize = engineBusy, c.pool.turnTime(), len(call)
	c.partialSince, c.overtakenSince = 0, 0
	if !request.query.Canceling() {
		request.lastPolled = c.lastActivity
	}
	c.pool.counters().EngineCalls++
	if err == nil {
		_, err = c.Out.Write(call)
	}
	if err == nil {
		err = c.Flush()
	}
	c.finishFlush(err)
}

// flushCall writes what is left of the call; it returns false where the connection was closed.
func (c *engineConn) flushCall() bool {
	if c.request.isStartExpired() && c.Out.Len() > 0 { // what is left of the start stays unwritten
		c.fail(false)
		return false
	}
	return c.finishFlush(c.Flush())
}

// finishFlush notes whether some of the call was sent, and fails the connection with an error. It returns false where
// the connection was closed.
func (c *engineConn) finishFlush(err error) bool {
	if c.request != nil && c.Out.Len() < c.callSize {
		c.request.startSent = true
	}
	if err != nil {
		c.fail(false)
		return false
	}
	c.UpdateInterest(true)
	return true
}

// release keeps a connection for another query, or closes it and gives the next request that waits for one another.
// Where no other may be had, as the engine drains or this is the last one, that request waits until this one may carry
// another query.
func (c *engineConn) release(reusable bool) {
	e := c.engine
	isUnneeded := len(e.waiters) == 0 && e.removed
	isReplacedForWaiter := len(e.waiters) > 0 && !e.refusesConnections && c.pool.isReplaceable(c)
	if !reusable || isUnneeded || isReplacedForWaiter {
		c.terminate()
		return
	}
	e.idle = append(e.idle, c)
	c.UpdateInterest(true)
}

// fail closes a broken connection and goes on with its request; arrived says that the call has arrived whole.
func (c *engineConn) fail(arrived bool) {
	request := c.request
	if c.state == engineBusy && !arrived {
		c.engine.countReset(c.pool.turnTime())
	}
	c.terminate()
	switch {
	case request == nil:
	case request.startSent || request.isHealthCheck():
		c.pool.handleBrokenCall(request, arrived)
	default:
		c.pool.redial(request)
	}
}

// terminate closes the connection at once and takes it out of the pool, which lets the next request that waits for one
// go on. What becomes of the connection's own request is the caller's to decide.
func (c *engineConn) terminate() {
	c.Close()
	c.request = nil
	if _, ok := c.pool.connections[c]; !ok {
		return
	}
	delete(c.pool.connections, c)
	c.engine.connectionCount--
	if !c.isConnecting() {
		c.engine.establishedCount--
	}
	c.engine.removeIdle(c)
	c.pool.sendWaiting(c.engine)
}
