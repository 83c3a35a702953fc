package scheduler

import "chutechute/internal/monotime"

// Event is one of the event types below; other values are ignored.
type Event any

// LoadReport is an engine's report of its load; a negative value is not reported. The decisions don't read it.
type LoadReport struct {
	Utilization float64 // used share of the cores
	Queue       float64 // queries that wait
	Memory      float64 // used share of the memory
	Disk        float64 // used share of the disk
}

// UpdateKind says how an EndpointUpdate is to be read.
type UpdateKind int

// The kinds of endpoint updates.
const (
	// UpdateChanges holds engines that changed; all others stay as they are.
	UpdateChanges UpdateKind = iota
	// UpdateComplete holds all engines; those that are missing are removed.
	UpdateComplete
	// UpdateCached is complete but may be stale.
	UpdateCached
	// UpdateFailed says that a call for the endpoints failed or that the subscription broke.
	UpdateFailed
)

// EngineState is an engine's state as discovery reports it.
type EngineState int

// The states of an engine.
const (
	// Serving engines take queries.
	Serving EngineState = iota
	// Draining engines complete what they run and take nothing more.
	Draining
	// Removed engines are no longer there.
	Removed
)

// Endpoint is one engine as discovery reports it.
type Endpoint struct {
	Engine  string          // name or address, unique
	Zone    string          // where it stands
	Kind    string          // EngineKind.Name
	Cell    int             // see ScopeCell
	State   EngineState     // zero: Serving
	Started monotime.Micros // when it started; 0: long ago
}

// Result is how an attempt or a health check ended.
type Result int

// The results. NeverRan says which of them prove that the attempt never ran.
const (
	// Succeeded means that the attempt served its query.
	Succeeded Result = iota
	// Errored means that the engine reported an error.
	Errored
	// Rejected means that the engine had no capacity and did not begin.
	Rejected
	// TimedOut means that nothing came within the attempt's timeout.
	TimedOut
	// NoConnection means that no connection came up.
	NoConnection
	// Reset means that the connection broke after the attempt was sent.
	Reset
	// Canceled means that the attempt ended for a Cancel.
	Canceled
	// NotSent means that the attempt was given up before any byte of it was written.
	NotSent
)

// NeverRan reports whether the result proves that its attempt never ran and never will. Only then may a query that is
// not idempotent be sent again, and only then is rejecting it truthful. A timeout, a reset, an error and a cancel
// prove nothing.
func (r Result) NeverRan() bool { return r == Rejected || r == NoConnection || r == NotSent }

// ProgressKind is what a ProgressReport reports.
type ProgressKind int

// The kinds of progress reports.
const (
	// ProgressFraction reports the share done, from 0 to 1.
	ProgressFraction ProgressKind = iota + 1
	// ProgressSpill reports how many megabytes of memory the attempt lacks.
	ProgressSpill
	// ProgressWaiting reports what the attempt waits for: 1 for memory, 2 for a locked table group.
	ProgressWaiting
)

// EndpointUpdate reports the state of engines.
type EndpointUpdate struct {
	Kind      UpdateKind // how Entries are to be read
	Endpoints []Endpoint
}

// Request is a query that arrived; from here on exactly one final answer is due.
type Request struct {
	ID             uint64          // unique among the queries in hand
	Class          int             // index into Config.Classes
	Tenant         int             // index into Config.Tenants, -1 without
	Key            string          // orders the queries of an Ordered class; "": no order
	Deadline       monotime.Micros // when the client times out
	EstimatedWork  monotime.Micros // estimated execution time on one thread, 0 without an estimate
	MemoryMB       float64         // estimated memory in megabytes, 0 without an estimate
	TableGroup     int             // table group
	NonIdempotent  bool            // a second execution would do harm, whatever the class says
	NoRetry        bool            // at most one attempt, even if that never ran
	OwnEstimate    bool            // EstimatedWork is this gateway's own estimate, not the client's
	MeasureLatency bool            // a LatencyMeasurement is wanted when the query is served
}

// Started reports that a streamed response began.
type Started struct {
	ID      uint64 // Request.ID
	Attempt int    // number of the attempt, from 0
}

// Outcome ends an attempt.
type Outcome struct {
	ID      uint64          // Request.ID
	Attempt int             // number of the attempt, from 0
	Engine  string          // where it ran
	Result  Result          // how it ended
	Elapsed monotime.Micros // since its start
	Final   bool            // the request has its final answer
	Load    *LoadReport     // nil without a report
	// WorkUsed is the work on one thread that the engine reports for the attempt; 0 if it reports none.
	WorkUsed monotime.Micros
	// MemoryUsedMB is the memory in megabytes that the engine reports; 0 if it reports none. The decisions don't
	// read it.
	MemoryUsedMB float64
}

// ClientDisconnected reports that the client of a request left.
type ClientDisconnected struct {
	ID        uint64 // Request.ID
	AnswerDue bool   // the client's time is up and the final answer is due now
}

// ProgressReport reports how an attempt goes; it shows that the engine is alive.
type ProgressReport struct {
	ID      uint64       // Request.ID
	Attempt int          // number of the attempt, from 0
	Engine  string       // where it runs
	Kind    ProgressKind // what Value is
	Value   float64
}

// EngineUnresponsive reports that an engine did not answer a call in the time in which any that runs does.
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

// PeerMessage is a message from another gateway of the simulator. It is ignored: gateways exchange nothing there.
type PeerMessage struct {
	From int    // the other gateway's Config.Rank
	Body []byte // opaque
}

// BudgetGrant sets what this gateway may spend of the fleet's budgets. Before the first one no budget binds.
type BudgetGrant struct {
	Rules  []BudgetRule    // replace the rules in force; nil leaves them
	Until  monotime.Micros // when Leased expires
	Leased []BudgetAmount  // replaces all leased amounts; ordered by budget
	Static []BudgetAmount  // replaces all amounts that need no lease; nil leaves them
}

// Timer is a SetTimer that is due.
type Timer struct {
	Token string // SetTimer.Token
}
