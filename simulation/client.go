package simulation

import (
	"fmt"

	"chutechute/gateway"
	"chutechute/internal/history"
	"chutechute/internal/monotime"
)

const (
	// requestDelay is how long a client's request takes to any front end. It is always the same, so that requests
	// arrive in the order in which they were sent.
	requestDelay = 500 // µs
	// minResponseDelay and maxResponseDelay are how long a response takes to the client.
	minResponseDelay = 100 // µs
	maxResponseDelay = 2 * ms
	// clientTimeoutMargin is how long a client waits beyond the request's TTL.
	clientTimeoutMargin = 100 * ms
	// connectionCheckInterval is how soon a client notices that the process has ended to which it is connected.
	connectionCheckInterval = 5 * ms
	// estimatedCost is the cost that clients report for all requests.
	estimatedCost = 10 * ms
	// requestClass is the class of all requests.
	requestClass = "load"
)

// statementFormat is the statement of a request that runs for a number of milliseconds on an engine.
const statementFormat = "INSERT INTO s_1.t -- ms=%d"

// clientRequest is an idempotent request, which its client may send several times.
type clientRequest struct {
	idempotencyKey string
	orderKey       string // requests with the same one run one at a time, in order; empty: none
	statement      string
	ttl            monotime.Micros
	callsLeft      int // how often the client sends it at most, from now on
}

// call is a request that was sent once, whose client waits for the response.
type call struct {
	simulation *Simulation
	id         string
	request    clientRequest
	frontEnd   *FrontEnd
	process    *process         // to which the client is connected, nil if none ran
	submitted  *gateway.Request // nil before the request has arrived
	ended      bool
	onEnd      func(outcome string)
}

// send sends a request to a front end. onEnd is called with the outcome, one of package history.
func (s *Simulation) send(f *FrontEnd, request clientRequest, onEnd func(outcome string)) {
	s.callCount++
	c := &call{
		simulation: s,
		id:         fmt.Sprintf("%016x", s.callCount),
		request:    request,
		frontEnd:   f,
		process:    f.process,
		onEnd:      onEnd,
	}
	c.record(history.Event{Kind: history.RequestSent, Body: request.statement})
	if c.process == nil {
		c.respond(history.ConnectionLost, nil)
		return
	}
	s.after(requestDelay, func() { c.process.run(c.submit) })
	s.after(request.ttl+clientTimeoutMargin, c.timeOut)
	s.after(connectionCheckInterval, c.checkConnection)
}

// record adds an event of the call to the history.
func (c *call) record(event history.Event) {
	event.FrontEnd = c.frontEnd.name
	event.CallID = c.id
	event.IdempotencyKey = c.request.idempotencyKey
	event.OrderKey = c.request.orderKey
	c.simulation.History.Add(event)
}

// submit hands the request to the front end's core.
func (c *call) submit() {
	if c.ended {
		return // the client has closed its connection
	}
	var err error
	c.submitted, err = c.process.core.Submit(c.process.now(), &gateway.Call{
		ID:             c.id,
		Class:          requestClass,
		OrderKey:       c.request.orderKey,
		IdempotencyKey: c.request.idempotencyKey,
		TTL:            c.request.ttl,
		EstimatedWork:  estimatedCost,
		Statement:      []byte(c.request.statement),
	}, c)
	if err != nil {
		c.simulation.fail(err)
	}
	c.process.runLoop()
	c.simulation.reach(requestSubmitted, c.frontEnd)
}

// Respond delivers the rows of the result.
func (c *call) Respond(rows []byte) { c.respond(history.Succeeded, rows) }

// Reject delivers that nothing of the request has run or will run.
func (c *call) Reject(monotime.Micros) { c.respond(history.Rejected, nil) }

// Fail delivers that the request has no result and may have run.
func (c *call) Fail() { c.respond(history.Failed, nil) }

// respond sends the final response over the network.
func (c *call) respond(outcome string, rows []byte) {
	s := c.simulation
	body := string(rows)
	s.after(0, func() { s.reach(responseSent, c.frontEnd) })
	s.after(s.random.between(minResponseDelay, maxResponseDelay), func() { c.end(outcome, body) })
}

// end ends the call on the client's side, unless it has ended.
func (c *call) end(outcome, body string) {
	if c.ended {
		return
	}
	c.ended = true
	c.record(history.Event{Kind: history.RequestEnded, Outcome: outcome, Body: body})
	c.onEnd(outcome)
	c.simulation.reach(responseReceived, c.frontEnd)
}

// timeOut closes the client's connection, by which the front end cancels the request.
func (c *call) timeOut() {
	if c.ended {
		return
	}
	c.end(history.ConnectionLost, "")
	c.process.run(func() {
		if c.submitted != nil {
			c.process.core.Cancel(c.submitted)
			c.process.runLoop()
		}
	})
}

// checkConnection ends the call if the process has ended, as that closes its connections.
func (c *call) checkConnection() {
	switch {
	case c.ended:
	case !c.process.isAlive():
		c.end(history.ConnectionLost, "")
	default:
		c.simulation.after(connectionCheckInterval, c.checkConnection)
	}
}
