package scheduler

import "chutechute/internal/monotime"

// Action is one of the action types below.
type Action any

// StartAttempt starts an attempt of a request. Attempts of a request are numbered from 0 in the order of their starts.
type StartAttempt struct {
	ID      uint64          // Request.ID
	Engine  string          // where to send it
	Timeout monotime.Micros // after which the attempt ends as TimedOut; 0: when the client times out
	StartBy monotime.Micros // no byte of it may be written later; 0: no such bound
}

// AttemptParameters sets memory and priority of a request's next attempts and of those in flight.
type AttemptParameters struct {
	ID       uint64  // Request.ID
	GrantMB  float64 // memory in megabytes; 0: the engine chooses
	Priority int     // from 0, the lowest, to 3
}

// Cancel cancels an attempt; its Outcome still follows.
type Cancel struct {
	ID      uint64 // Request.ID
	Attempt int    // number of the attempt, from 0
}

// Reject answers a request that was not served where a retry by the client does no harm.
type Reject struct {
	ID         uint64          // Request.ID
	RetryAfter monotime.Micros // how long the client should wait before it retries
	Budget     string          // the fleet's budget that is exhausted, "" if none is
}

// Fail answers a request that was not served, without a promise that it never ran.
type Fail struct {
	ID uint64 // Request.ID
}

// HealthCheck checks whether an engine is alive; a HealthCheckResult follows.
type HealthCheck struct {
	Engine string // Endpoint.Engine
}

// Subscribe subscribes to endpoint updates from now on.
type Subscribe struct{}

// FetchList fetches the complete list of endpoints once.
type FetchList struct{}

// SetTimer requests a Timer event.
type SetTimer struct {
	At    monotime.Micros // when
	Token string          // comes back in Timer.Token
}

// LatencyMeasurement reports how long a served attempt took. It follows where Request.MeasureLatency is set.
type LatencyMeasurement struct {
	ID       uint64          // Request.ID
	Elapsed  monotime.Micros // latency of the attempt that served it
	Slowdown float64         // estimated ratio of Elapsed to the latency without load, at least 1
}

// Log adds a line to the operators' log.
type Log struct {
	Text string
}
