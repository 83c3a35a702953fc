package scheduler

import "chutechute/internal/monotime"

// Event is one of the event types below; other values are ignored.
type Event any

// LoadReport is an engine's report of its load. A negative value means that the engine does not report it. Not used by
// the scheduler.
type LoadReport struct {
	Utilization float64 // fraction of the cores in use
	Queue       float64 // queued queries
	Memory      float64 // fraction of the memory in use
	Disk        float64 // fraction of the disk in use
}

// UpdateKind says how to interpret an EndpointUpdate.
type UpdateKind int

// The kinds of endpoint updates.
const (
	// UpdateChanges lists engines that changed; all others stay as they are.
	UpdateChanges UpdateKind = iota
	// UpdateComplete lists all engines; those that are missing are removed.
	UpdateComplete
	// UpdateCached is the complete cached list, which may be stale.
	UpdateCached
	// UpdateFailed means that a request for the endpoint list failed or that the subscription broke.
	UpdateFailed
)

// EngineState is an engine's state as discovery reports it.
type EngineState int

// The states of an engine.
const (
	// Serving engines accept queries.
	Serving EngineState = iota
	// Draining engines complete the queries that they run and accept no more.
	Draining
	// Removed engines no longer exist.
	Removed
)

// Endpoint is one engine as discovery reports it.
type Endpoint struct {
	Engine  string          // name or address, unique
	Zone    string          // zone that it runs in
	Kind    string          // EngineKind.Name
	Cell    int             // see ScopeCell
	State   EngineState     // zero value: Serving
	Started monotime.Micros // when it started; 0: long ago, it is not warming up
}

// Result is how an attempt or a health check ended.
type Result int

// The results. NeverRan says which of them prove that the attempt never ran.
const (
	// Succeeded means that the attempt served its query.
	Succeeded Result = iota
	// Errored means that the engine reported an error.
	Errored
	// Rejected means that the engine had no capacity and did not start the attempt.
	Rejected
	// TimedOut means that no response arrived within the attempt's timeout.
	TimedOut
	// NoConnection means that no connection could be established.
	NoConnection
	// Reset means that the connection broke after the attempt was sent.
	Reset
	// Canceled means that a Cancel ended the attempt.
	Canceled
	// NotSent means that the attempt was abandoned before any byte of it was written.
	NotSent
)

// NeverRan reports whether the result proves that its attempt never ran and never will. Only then may a non-idempotent
// query be sent again or rejected. A timeout, a reset, an error and a cancellation prove nothing.
func (r Result) NeverRan() bool { return r == Rejected || r == NoConnection || r == NotSent }

// ProgressKind is the quantity that a ProgressReport reports.
type ProgressKind int

// The kinds of progress reports.
const (
	// ProgressFraction reports the completed fraction, from 0 to 1.
	ProgressFraction ProgressKind = iota + 1
	// ProgressSpill reports how many megabytes of memory the attempt is short of.
	ProgressSpill
	// ProgressWaiting reports what the attempt waits for: 1 for memory, 2 for a locked table group.
	ProgressWaiting
)

// EndpointUpdate reports the state of engines.
type EndpointUpdate struct {
	Kind      UpdateKind // how to interpret Endpoints
	Endpoints []Endpoint
}

// Request reports that a query arrived. Every request gets exactly one final answer.
type Request struct {
	ID             uint64          // unique among the open queries
	Class          int             // index into Config.Classes
	Tenant         int             // index into Config.Tenants, -1 for none
	Key            string          // orders the queries of an Ordered class; "": no order
	Deadline       monotime.Micros // when the client times out
	EstimatedWork  monotime.Micros // estimated execution time on one thread, 0 without an estimate
	MemoryMB       float64         // estimated memory in megabytes, 0 without an estimate
	TableGroup     int             // table group of its statement
	NonIdempotent  bool            // overrides Class.Effect: a second execution does harm
	NoRetry        bool            // at most one attempt, even if it never ran
	OwnEstimate    bool            // EstimatedWork is this front end's own estimate, not the client's
	MeasureLatency bool            // emit a LatencyMeasurement when the query is served
}

// RequestNonIdempotent reports that Request.NonIdempotent holds from now on for a request that arrived without it.
type RequestNonIdempotent struct {
	ID uint64 // Request.ID
}

// Started reports that a streamed response began.
type Started struct {
	ID      uint64 // Request.ID
	Attempt int    // number of the attempt, from 0
}

// Outcome reports the end of an attempt.
type Outcome struct {
	ID      uint64          // Request.ID
	Attempt int             // number of the attempt, from 0
	Engine  string          // where it ran
	Result  Result          // how it ended
	Elapsed monotime.Micros // since the attempt started
	Final   bool            // the request got its final answer with this outcome
	Load    *LoadReport     // nil without a report
	// WorkUsed is the execution time on one thread that the engine reports for the attempt; 0 if it reports none.
	WorkUsed monotime.Micros
	// MemoryUsedMB is the memory in megabytes that the engine reports; 0 if it reports none. Not used by the scheduler.
	MemoryUsedMB float64
}

// ClientDisconnected reports that the client of a request disconnected or that its deadline has come.
type ClientDisconnected struct {
	ID        uint64 // Request.ID
	AnswerDue bool   // the deadline has come: the final answer is due now
}

// ProgressReport reports the progress of an attempt. It proves that the engine is alive.
type ProgressReport struct {
	ID      uint64       // Request.ID
	Attempt int          // number of the attempt, from 0
	Engine  string       // where it runs
	Kind    ProgressKind // meaning of Value
	Value   float64
}

// EngineUnresponsive reports that an engine did not respond to a call within the time that any live engine needs.
type EngineUnresponsive struct {
	Engine string // Endpoint.Engine
}

// HealthCheckResult answers a HealthCheck.
type HealthCheckResult struct {
	Engine  string          // Endpoint.Engine
	Result  Result          // Succeeded if the engine is alive
	Elapsed monotime.Micros // since the HealthCheck
	Load    *LoadReport     // nil without a report
}

// PeerMessage is a message from another front end in the simulator. It is ignored: there front ends share no state.
type PeerMessage struct {
	From int    // Config.Rank of the sender
	Body []byte // opaque
}

// BudgetGrant sets what this front end may spend of the fleet's budgets. Before the first one no budget is in force.
type BudgetGrant struct {
	Rules  []BudgetRule    // replaces the rules in force; nil keeps them
	Until  monotime.Micros // when Leased expires
	Leased []BudgetAmount  // replaces all leased amounts; ordered by budget
	Static []BudgetAmount  // replaces all static allocations, which need no lease; nil keeps them
}

// Timer reports that the timer of a SetTimer is due.
type Timer struct {
	Token string // SetTimer.Token
}
