package simulation

import (
	"fmt"

	"chutechute/internal/history"
	"chutechute/internal/monotime"
)

// Durations of the executions of requests, in milliseconds: of most, and of long ones.
const (
	minExecutionMs     = 5
	maxExecutionMs     = 800
	minLongExecutionMs = 1000
	maxLongExecutionMs = 6000
	longExecutionOneIn = 10
)

// What clients do.
const (
	minTTL               = second
	maxTTL               = 12 * second
	minCalls             = 2 // of one request
	maxExtraCalls        = 3
	withoutOrderKeyOneIn = 4
	resendSucceededOneIn = 4 // requests that succeeded are sent again
	maxRetryDelay        = second
	concurrentOneIn      = 6 // retries come together with a call through another front end
	maxConcurrentDelay   = 20 * ms
)

// GenerateTraffic has clients send requests for a duration of true time, at random times and so many a second on
// average. orderKeys is the number of order keys, 0 for requests without one.
func (s *Simulation) GenerateTraffic(perSecond float64, orderKeys int, duration monotime.Micros) {
	until := s.now + duration
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		s.sendWithRetries(s.randomFrontEnd(), s.newRequest(orderKeys))
		s.after(monotime.Micros(s.random.ExpFloat64()*float64(second)/perSecond), next)
	}
	s.after(0, next)
}

// newRequest draws a request that was not sent yet.
func (s *Simulation) newRequest(orderKeys int) clientRequest {
	s.requestCount++
	r := clientRequest{
		idempotencyKey: fmt.Sprintf("once-%d", s.requestCount),
		statement:      fmt.Sprintf(statementFormat, s.random.between(minExecutionMs, maxExecutionMs)),
		ttl:            s.random.between(minTTL, maxTTL),
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

// sendWithRetries sends a request, and again through random front ends until it succeeds or has no calls left. Now and
// then it is sent again although it has succeeded, and to two front ends at the same time.
func (s *Simulation) sendWithRetries(f *FrontEnd, request clientRequest) {
	s.send(f, request, func(outcome string) {
		if outcome == history.Succeeded && !s.random.oneIn(resendSucceededOneIn) || request.callsLeft <= 1 {
			return
		}
		retry := request
		retry.callsLeft--
		s.sendLater(retry, maxRetryDelay)
		if s.random.oneIn(concurrentOneIn) {
			concurrent := request
			concurrent.callsLeft = 1
			s.sendLater(concurrent, maxConcurrentDelay)
		}
	})
}

// sendLater sends a request through a random front end after a delay.
func (s *Simulation) sendLater(request clientRequest, maxDelay monotime.Micros) {
	f := s.randomFrontEnd()
	s.after(s.random.between(0, maxDelay), func() { s.sendWithRetries(f, request) })
}
