package simulation

import (
	"fmt"

	"chutechute/gateway"
	"chutechute/internal/history"
	"chutechute/internal/monotime"
)

const (
	// requestDelay is the network delay of a client's request to any front end. It is constant, so that requests arrive
	// in the order in which they were sent.
	requestDelay = 500 // µs
	// minResponseDelay and maxResponseDelay bound the network delay of a response to a client.
	minResponseDelay = 100 // µs
	maxResponseDelay = 2 * ms
	// clientTimeoutMargin is how much longer a client waits than the timeout that it sends with the request.
	clientTimeoutMargin = 100 * ms
	// connectionCheckInterval is the time within which a client notices that the process to which it is connected has
	// ended.
	connectionCheckInterval = 5 * ms
	// estimatedWork is the estimated work that clients report for all requests.
	estimatedWork = 10 * ms
	// requestClass is the class of all requests.
	requestClass = "load"
)

// statementFormat is the format of all statements. Its parameter is the execution time on an engine in milliseconds.
const statementFormat = "INSERT INTO s_1.t -- ms=%d"

// clientRequest is a request that is idempotent by key, which its client may send several times.
type clientRequest struct {
	idempotencyKey string
	orderKey       string // empty: none
	statement      string
	clientTimeout  monotime.Micros
	callsLeft      int // how many times the client may still send it, including the next call
}

// call is one sending of a request by a client, which waits for the response.
type call struct {
	simulation *Simulation
	id         string
	request    clientRequest
	frontEnd   *FrontEnd
	process    *process         // the process to which the client is connected; nil if none ran
	submitted  *gateway.Request // nil until the request has arrived
	ended      bool
	onEnd      func(outcome string)
}

// send sends a request to a front end. It calls onEnd with the outcome, which is one of those that package history
// defines.
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
	s.after(request.clientTimeout+clientTimeoutMargin, c.timeOut)
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

// submit submits the request to the front end's core.
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
		ClientTimeout:  c.request.clientTimeout,
		EstimatedWork:  estimatedWork,
		Statement:      []byte(c.request.statement),
	}, c)
	if err != nil {
		c.simulation.fail(err)
	}
	c.process.runTurn()
	c.simulation.reachCrashPoint(requestSubmitted, c.frontEnd)
}

// Respond sends the rows of a successful request to the client.
func (c *call) Respond(rows []byte) { c.respond(history.Succeeded, rows) }

// Reject tells the client that no part of the request has run or will run.
func (c *call) Reject(monotime.Micros) { c.respond(history.Rejected, nil) }

// Fail tells the client that the request failed and may have run.
func (c *call) Fail() { c.respond(history.Failed, nil) }

// respond sends the final response over the network.
func (c *call) respond(outcome string, rows []byte) {
	s := c.simulation
	body := string(rows)
	s.after(0, func() { s.reachCrashPoint(responseSent, c.frontEnd) })
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
	c.simulation.reachCrashPoint(responseReceived, c.frontEnd)
}

// timeOut closes the client's connection, which makes the front end cancel the request.
func (c *call) timeOut() {
	if c.ended {
		return
	}
	c.end(history.ConnectionLost, "")
	c.process.run(func() {
		if c.submitted != nil {
			c.process.core.Cancel(c.submitted)
			c.process.runTurn()
		}
	})
}

// checkConnection ends the call if the process has ended, which closes its connections. Otherwise it schedules the next
// check.
func (c *call) checkConnection() {
	switch {
	case c.ended:
	case !c.process.isAlive():
		c.end(history.ConnectionLost, "")
	default:
		c.simulation.after(connectionCheckInterval, c.checkConnection)
	}
}
