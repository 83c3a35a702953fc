package server

import (
	"golang.org/x/sys/unix"

	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

const (
	normalReuseDelay = 50 * monotime.Millisecond // late data, such as a duplicate response, arrives within this time
	// longPollDuration is how long an engine waits before it responds to a poll that the query is still running.
	longPollDuration  = 250 * monotime.Millisecond
	longPollTolerance = 50 * monotime.Millisecond
)

// engineConnState is the state of a connection to an engine.
type engineConnState int

const (
	engineDialing engineConnState = iota
	engineHandshaking
	engineIdle
	engineBusy // a call is in flight
)

// engineConn is a connection to an engine. It carries one call at a time.
type engineConn struct {
	eventloop.Stream
	pool          *enginePool
	engine        *engine
	state         engineConnState
	request       *engineRequest  // whose call is in flight; nil also if the response is no longer awaited
	abandonedPoll *engineRequest  // the request that was detached while the response to its poll was pending
	lastActivity  monotime.Micros // when the call was sent, the dial started or the last response was received

	callSize              int             // bytes of the current call
	partialSince          monotime.Micros // when the incomplete response was first seen; 0: there is none
	overtakenSince        monotime.Micros // when other calls were noticed to have overtaken this one; 0: none
	staleResponsePossible bool            // more responses may arrive than calls are in flight
}

// isConnecting reports whether the connection is not established yet.
func (c *engineConn) isConnecting() bool { return c.state <= engineHandshaking }

// reuseDelayElapsed reports whether an idle connection has been idle long enough to carry another query.
func (c *engineConn) reuseDelayElapsed(now monotime.Micros) bool {
	delay := normalReuseDelay
	if c.staleResponsePossible {
		delay = responseTimeout
	}
	return now-c.lastActivity >= delay
}

// isOvertaken reports whether the engine has responded to other calls, for overtakenGrace, since the response to this
// call was due.
func (c *engineConn) isOvertaken(now monotime.Micros) bool {
	if c.engine.lastSeen < c.lastActivity+responseTimeout {
		return false
	}
	if c.overtakenSince == 0 { // after a pause all responses arrive together, so the others get a short time to arrive
		c.overtakenSince = now
	}
	return now-c.overtakenSince >= overtakenGrace
}

// Ready continues the dial or the handshake, writes the rest of the call and handles the received responses.
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

// finishDial handles the success or failure of the dial.
func (c *engineConn) finishDial() {
	if err := eventloop.DialResult(c.FD); err != nil {
		c.failDial(err)
		return
	}
	c.engine.refusesConnections = false
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

// markEstablished records that the connection may carry calls.
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

// flushCall writes the rest of the call. It returns false if the connection was closed.
func (c *engineConn) flushCall() bool {
	if c.request.isStartExpired() && c.Out.Len() > 0 { // the rest of the start must no longer be written
		c.fail(false)
		return false
	}
	return c.finishFlush(c.Flush())
}

// finishFlush records whether part of the call was sent, and fails the connection if err is not nil. It returns false
// if the connection was closed.
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

// release keeps the connection for another query, or closes it so that the next waiting request gets a new one. If no
// new connection may replace it, because the engine drains or this connection is the last one, the waiting request
// waits until this connection may carry another query.
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

// fail closes a broken connection and continues its request. malformed reports whether something else was received in
// place of the response.
func (c *engineConn) fail(malformed bool) {
	request := c.request
	c.terminate()
	switch {
	case request == nil:
	case request.startSent || request.isHealthCheck():
		c.pool.handleBrokenCall(request, malformed)
	default:
		c.pool.redial(request)
	}
}

// terminate closes the connection at once and removes it from the pool, so that the next waiting request can proceed.
// The caller decides what happens to the connection's own request. A call in flight is given up: what the engine has
// not received of it must not arrive later, when its attempt may count as ended.
func (c *engineConn) terminate() {
	if c.state == engineBusy {
		c.Abort()
	} else {
		c.Close()
	}
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
