package simulation

import (
	"fmt"

	"chutechute/internal/history"
	"chutechute/internal/monotime"
)

// Execution times of requests in milliseconds. One request in longExecutionOneIn is a long one.
const (
	minExecutionMs     = 5
	maxExecutionMs     = 800
	minLongExecutionMs = 1000
	maxLongExecutionMs = 6000
	longExecutionOneIn = 10
)

// The behavior of clients.
const (
	minClientTimeout     = second
	maxClientTimeout     = 12 * second
	minCalls             = 2 // smallest limit on the calls of a request
	maxExtraCalls        = 3 // largest random addition to that limit
	withoutOrderKeyOneIn = 4 // one in withoutOrderKeyOneIn requests has no order key
	repeatSucceededOneIn = 4 // one in repeatSucceededOneIn successful calls is repeated
	maxRepeatDelay       = second
	concurrentOneIn      = 6 // one in concurrentOneIn repeats may overlap with a second one
	maxConcurrentDelay   = 20 * ms
)

// GenerateTraffic makes clients send new requests at random times for a duration of true time. perSecond is their
// average rate. orderKeys is the number of different order keys; with 0, all requests are without one.
func (s *Simulation) GenerateTraffic(perSecond float64, orderKeys int, duration monotime.Micros) {
	until := s.now + duration
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		s.sendWithRepeats(s.randomFrontEnd(), s.newRequest(orderKeys))
		s.after(monotime.Micros(s.random.ExpFloat64()*float64(second)/perSecond), next)
	}
	s.after(0, next)
}

// newRequest draws a new request.
func (s *Simulation) newRequest(orderKeys int) clientRequest {
	s.requestCount++
	r := clientRequest{
		idempotencyKey: fmt.Sprintf("once-%d", s.requestCount),
		statement:      fmt.Sprintf(statementFormat, s.random.between(minExecutionMs, maxExecutionMs)),
		clientTimeout:  s.random.between(minClientTimeout, maxClientTimeout),
		callsLeft:      minCalls + s.random.IntN(maxExtraCalls+1),
	}
	if s.random.oneIn(longExecutionOneIn) {
		r.statement = fmt.Sprintf(statementFormat, s.random.between(minLongExecutionMs, maxLongExecutionMs))
	}
	if orderKeys > 0 && !s.random.oneIn(withoutOrderKeyOneIn) {
		r.orderKey = fmt.Sprintf("key-%d", s.random.IntN(orderKeys))
	}
	return r
}

// sendWithRepeats sends a request and repeats it through random front ends until it succeeds or has no calls left. Some
// requests are repeated although they have succeeded, and sometimes two repeats are sent, which may overlap.
func (s *Simulation) sendWithRepeats(f *FrontEnd, request clientRequest) {
	s.send(f, request, func(outcome string) {
		if outcome == history.Succeeded && !s.random.oneIn(repeatSucceededOneIn) || request.callsLeft <= 1 {
			return
		}
		repeat := request
		repeat.callsLeft--
		s.sendLater(repeat, maxRepeatDelay)
		if s.random.oneIn(concurrentOneIn) {
			concurrent := request
			concurrent.callsLeft = 1
			s.sendLater(concurrent, maxConcurrentDelay)
		}
	})
}

// sendLater sends a request through a random front end after a random delay.
func (s *Simulation) sendLater(request clientRequest, maxDelay monotime.Micros) {
	f := s.randomFrontEnd()
	s.after(s.random.between(0, maxDelay), func() { s.sendWithRepeats(f, request) })
}
