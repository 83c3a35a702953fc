package scheduler

import "chutechute/internal/monotime"

// Action is one of the action types below.
type Action any

// StartAttempt starts an attempt of a request. Attempts of a request are numbered from 0 in the order of their starts.
type StartAttempt struct {
	ID      uint64          // Request.ID
	Engine  string          // where to send it
	Timeout monotime.Micros // the attempt ends as TimedOut after it; 0: only the client's timeout applies
	StartBy monotime.Micros // no byte of it may be written at or after this time; 0: no such bound
}

// AttemptParameters sets the memory and the priority of a request's attempts, both those in flight and later ones.
type AttemptParameters struct {
	ID       uint64  // Request.ID
	GrantMB  float64 // memory in megabytes; 0: the engine chooses
	Priority int     // from 0 (lowest) to 3
}

// Cancel cancels an attempt, whose Outcome still follows.
type Cancel struct {
	ID      uint64 // Request.ID
	Attempt int    // number of the attempt, from 0
}

// Reject answers a request that was not served and that the client may retry without harm.
type Reject struct {
	ID         uint64          // Request.ID
	RetryAfter monotime.Micros // how long the client should wait before it retries
	Budget     string          // the exhausted budget of the fleet, "" if none is exhausted
}

// Fail answers a request that was not served, without the promise that it never ran.
type Fail struct {
	ID uint64 // Request.ID
}

// HealthCheck checks whether an engine is alive. A HealthCheckResult follows.
type HealthCheck struct {
	Engine string // Endpoint.Engine
}

// Subscribe subscribes to endpoint updates from now on.
type Subscribe struct{}

// FetchList fetches the complete list of endpoints once.
type FetchList struct{}

// SetTimer requests a Timer event.
type SetTimer struct {
	At    monotime.Micros // when the event is due
	Token string          // returned in Timer.Token
}

// LatencyMeasurement reports the latency of a request that was served, if Request.MeasureLatency is set.
type LatencyMeasurement struct {
	ID       uint64          // Request.ID
	Elapsed  monotime.Micros // latency of the attempt that served the request
	Slowdown float64         // estimated ratio of Elapsed to the latency on an unloaded engine, at least 1
}

// Log adds a line to the operators' log.
type Log struct {
	Text string
}
