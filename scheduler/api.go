// Package decide holds the decisions of a gateway in front of query engines.
//
// A Dispatcher is one gateway: New builds it from the settings it is told, and
// Step takes the events of one instant and returns the actions they call for.
// It does no input or output, starts no goroutine and reads no clock.
package scheduler

import (
	"errors"
	"fmt"

	"chutechute/internal/monotime"
)

// Config is all that a gateway is told at its start.
type Config struct {
	Gateways int    // gateways in the tier, this one included
	Rank     int    // this gateway's number among them, from 0
	Zone     string // where this gateway stands
	Kinds    []EngineKind
	Classes  []Class
	Tenants  []Tenant
	Limits   Limits
	Rules    Rules

	PollEndpoints             bool            // engine lists come only when asked for
	MemoryGrants              bool            // engines heed memory grants
	Priorities                bool            // engines heed priorities
	MaxGrantShare             float64         // largest share of an engine's memory for one query
	ReportsCost               bool            // engines tell what a query took
	ProgressInterval          monotime.Micros // time between progress notes; 0 without notes
	HealthCheckCost           float64         // points of the result for one probe a query
	CrossZoneCost             float64         // points for each query sent to another zone
	OverShareWeight           float64         // worth of a query beyond its tenant's share
	LoadReportsOnHealthChecks bool            // load reports come with probes only
	LoadReportsOnResponses    bool            // load reports come with every answer
}

// check names what a Config lacks.
func (cfg *Config) check() error {
	if cfg.Gateways < 1 {
		return errors.New("decide: Config.Gateways is below 1")
	}
	if len(cfg.Classes) == 0 {
		return errors.New("decide: Config.Classes is empty")
	}
	for _, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.ClientTimeout <= 0 || c.Threads < 1 {
			return fmt.Errorf("decide: class %q lacks an aim, a give-up time or threads", c.Name)
		}
	}
	return nil
}

// EngineKind is a kind of engine machine.
type EngineKind struct {
	Name     string
	Cores    int
	MemoryMB float64
}

// Effect says what a second execution of a query would do.
type Effect int

// The three kinds of repeat.
const (
	Idempotent Effect = iota
	IdempotentByKey
	NonIdempotent
)

// DedupeScope is the set of engines that discards duplicates of a keyed query.
type DedupeScope int

// The scopes of a keyed class.
const (
	ScopeAll DedupeScope = iota
	ScopeZone
	ScopeCell
)

// Class is a class of queries.
type Class struct {
	Name               string
	LatencyObjective   monotime.Micros // full worth within this time
	ObjectiveStretch   float64         // and this times the work over its threads
	ClientTimeout      monotime.Micros
	PriorityWeight     float64
	LateWeight         float64 // share of the worth after the aim
	Effect             Effect
	DedupeScope        DedupeScope
	DedupeWindow       monotime.Micros // how long Scope remembers a keyed query
	Ordered            bool            // queries of one key run singly, in order
	Zones              []string
	Kinds              []string
	Stream             bool
	Threads            int
	LocksTableGroup    bool // holds its table group while it runs
	WaitsForTableGroup bool // stands still while a load holds its group
}

// Tenant is one of those who share the engines.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // queries a second over all gateways
}

// Limits are the caller's permissions.
type Limits struct {
	Cancel, HealthChecks, HedgedRequests, RetryAfter bool

	MaxAttempts   int
	MaxRetryAfter monotime.Micros
}

// Rules are the figures of the rules; zero where one does not apply.
type Rules struct {
	ResponseTimeout   monotime.Micros
	WarmUp            monotime.Micros
	InitialWarmth     float64
	OverloadWindow    monotime.Micros
	OverloadMultiple  float64
	DrainGrace        monotime.Micros
	AnswerSlack       monotime.Micros
	KeyQuietPeriod    monotime.Micros // quiet time of a key after doubt
	RetryBudget       bool            // further attempts are rationed
	MinRetries        float64
	RetryRatio        float64
	RetryBudgetWindow monotime.Micros
}

// LoadReport is an engine's load report; a value not told is negative.
type LoadReport struct {
	Util, Queue, Memory, Disk float64
}

// Event is one of the event types below.
type Event any

// UpdateKind tells how a list of engines is to be read.
type UpdateKind int

// The kinds of engine lists.
const (
	UpdateChanges UpdateKind = iota
	UpdateComplete
	UpdateCached // complete, maybe stale
	UpdateFailed // a call for the list failed or the subscription broke
)

// EngineState is an engine's state in a list.
type EngineState int

// The states of an engine.
const (
	Serving EngineState = iota
	Draining
	Removed
)

// Endpoint is one engine in a list.
type Endpoint struct {
	Engine, Zone, Kind string
	Cell               int
	State              EngineState
	Started            monotime.Micros // 0: long ago
}

// Result is how an attempt or a probe ended.
type Result int

// The results; Full, NoConnection and NotSent prove that it never ran.
const (
	Succeeded Result = iota
	Errored
	Rejected
	TimedOut
	NoConnection
	Reset
	Canceled
	NotSent
)

// NeverRan says whether an end proves that its attempt never ran, and never will: whatever else is known of it, only then may a
// query that is not safe to repeat be sent again, and only then is a refusal of it true. A time-out, a reset and an error prove
// nothing, and neither does a cancel.
func (r Result) NeverRan() bool { return r == Rejected || r == NoConnection || r == NotSent }

// ProgressKind is the matter of a progress note.
type ProgressKind int

// The kinds of notes.
const (
	ProgressFraction ProgressKind = iota + 1 // share done
	ProgressSpill                            // megabytes missing
	ProgressWaiting                          // 1 for memory, 2 for a load
)

// The events.
type (
	// EndpointUpdate brings news of the engines.
	EndpointUpdate struct {
		Kind    UpdateKind
		Entries []Endpoint
	}
	// Request is a query that arrived; one final answer is owed from here on.
	Request struct {
		ID             uint64
		Class          int // index into Config.Classes
		Tenant         int // index into Config.Tenants, -1 without
		Key            string
		Deadline       monotime.Micros // when the client gives up
		EstimatedWork  monotime.Micros // told work on one thread, 0 if not told
		MemoryMB       float64         // told need, 0 if not told
		Group          int             // table group
		NonIdempotent  bool            // a second execution would do harm, whatever the class says
		NoRetry        bool            // no second attempt, even where the first never ran
		EstimatedHere  bool            // Cost is the gateway's own estimate
		MeasureLatency bool            // a Measure is wanted when it is served
	}
	// Started tells that a streamed answer began.
	Started struct {
		ID      uint64
		Attempt int
	}
	// Outcome ends an attempt; Final says that the request is over.
	Outcome struct {
		ID      uint64
		Attempt int
		Engine  string
		Result  Result
		Elapsed monotime.Micros
		Final   bool
		Load    *LoadReport
		// WorkUsed and NeededMB are what its engine says that it took, of work on one thread and of memory; 0 where it does not.
		WorkUsed     monotime.Micros
		MemoryUsedMB float64
	}
	// ClientDisconnected tells that the client left; where it is Owed the final answer is due, as its time is up.
	ClientDisconnected struct {
		ID        uint64
		AnswerDue bool
	}
	// ProgressReport tells how an attempt goes.
	ProgressReport struct {
		ID      uint64
		Attempt int
		Engine  string
		Kind    ProgressKind
		Value   float64
	}
	// EngineUnresponsive tells that an engine did not answer a call in the time in which any that runs does.
	EngineUnresponsive struct{ Engine string }
	// HealthCheckResult answers a Probe.
	HealthCheckResult struct {
		Engine  string
		Result  Result
		Elapsed monotime.Micros
		Load    *LoadReport
	}
	// PeerMessage is a message from another gateway of the simulator. Gateways have nothing to tell each other there.
	PeerMessage struct {
		From int
		Body []byte
	}
	// BudgetGrant tells what this gateway may spend of the fleet's budgets; without one nothing is bounded by any.
	BudgetGrant struct {
		Rules  []BudgetRule    // in place of those before; nil leaves them
		Until  monotime.Micros // of what is leased
		Leased []BudgetAmount  // all of it, by budget
		Static []BudgetAmount  // all that is there without a lease, by budget; nil leaves it
	}
	// Timer is a SetTimer that fell due.
	Timer struct{ Token string }
)

// Action is one of the action types below.
type Action any

// The actions.
type (
	// StartAttempt starts an attempt; no Timeout means until the client gives up.
	StartAttempt struct {
		ID      uint64
		Engine  string
		Timeout monotime.Micros
		StartBy monotime.Micros // no byte of it is to be written later; 0: no such bound
	}
	// AttemptParameters names memory and priority of a request's next attempts.
	AttemptParameters struct {
		ID       uint64
		GrantMB  float64 // 0: the engine chooses
		Priority int
	}
	// Cancel calls an attempt off.
	Cancel struct {
		ID      uint64
		Attempt int
	}
	// Reject turns a request away; a retry does no harm.
	Reject struct {
		ID     uint64
		After  monotime.Micros
		Budget string // of the fleet, that had no room for it
	}
	// Fail ends a request without any promise.
	Fail struct{ ID uint64 }
	// HealthCheck asks an engine for a sign of life and its load.
	HealthCheck struct{ Engine string }
	// Subscribe asks for list changes from now on.
	Subscribe struct{}
	// FetchList asks for the complete list once.
	FetchList struct{}
	// SetTimer asks for a Timer event.
	SetTimer struct {
		At    monotime.Micros
		Token string
	}
	// LatencyMeasurement tells how long a served attempt took, and how many times longer than at its best for the load.
	LatencyMeasurement struct {
		ID       uint64
		Elapsed  monotime.Micros
		Slowdown float64 // 1 at the least
	}
	// Log adds a line to the operators' log.
	Log struct{ Text string }
)
