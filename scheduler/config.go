package scheduler

import (
	"errors"
	"fmt"

	"chutechute/internal/monotime"
)

// Config is the configuration of a front end's scheduler, set at its start. FrontEnds and Classes are required; the
// zero value of any other field means that the feature is absent. Some fields only describe the site and are not used
// by the scheduler; their comments say so.
type Config struct {
	// FrontEnds is the number of front ends of the site, this one included; at least 1.
	FrontEnds int
	// Rank is this front end's index among them, from 0 to FrontEnds-1.
	Rank int
	// Zone is the zone of this front end. Not used by the scheduler.
	Zone string
	// Kinds are the kinds of engines.
	Kinds []EngineKind
	// Classes are the classes of queries; Request.Class is an index into them.
	Classes []Class
	// Tenants share the engines; Request.Tenant is an index into them.
	Tenants []Tenant
	// Limits restrict which actions the scheduler may take.
	Limits Limits
	// Rules are the numeric parameters of the site.
	Rules Rules

	// PollEndpoints means that endpoint updates arrive only after a Subscribe.
	PollEndpoints bool
	// MemoryGrants means that engines apply AttemptParameters.GrantMB. Not used by the scheduler.
	MemoryGrants bool
	// Priorities means that engines apply AttemptParameters.Priority.
	Priorities bool
	// MaxGrantShare is the largest share of an engine's memory that one query may get. Not used by the scheduler.
	MaxGrantShare float64
	// ReportsCost means that engines report the resources that a query used. Not used by the scheduler.
	ReportsCost bool
	// ProgressInterval is the time between progress reports; 0 if there are none. Not used by the scheduler.
	ProgressInterval monotime.Micros
	// HealthCheckCost is the cost of one health check per query, in points of the result. Not used by the scheduler.
	HealthCheckCost float64
	// CrossZoneCost is the cost of a query sent to another zone, in points. Not used by the scheduler.
	CrossZoneCost float64
	// OverQuotaWeight is the weight of a query over its tenant's quota. Not used by the scheduler.
	OverQuotaWeight float64
	// LoadReportsOnHealthChecks means that only results of health checks carry load reports. Not used by the scheduler.
	LoadReportsOnHealthChecks bool
	// LoadReportsOnResponses means that every response carries a load report. Not used by the scheduler.
	LoadReportsOnResponses bool
}

// check returns an error for the first required setting that is missing.
func (cfg *Config) check() error {
	if cfg.FrontEnds < 1 {
		return errors.New("scheduler: Config.FrontEnds is below 1")
	}
	if len(cfg.Classes) == 0 {
		return errors.New("scheduler: Config.Classes is empty")
	}
	for _, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.ClientTimeout <= 0 || c.Threads < 1 {
			return fmt.Errorf("scheduler: class %q needs a latency objective, a client timeout and at least one thread", c.Name)
		}
	}
	return nil
}

// EngineKind describes the machines of one kind of engine.
type EngineKind struct {
	// Name is the value of Endpoint.Kind for engines of this kind.
	Name string
	// Cores is the number of processor cores. An engine of a kind that is not configured counts as having one.
	Cores int
	// MemoryMB is the memory for queries, in megabytes; 0 if unknown, which means no limit.
	MemoryMB float64
}

// Effect says whether a second execution of a query does harm.
type Effect int

// The effects, in decreasing tolerance of a second execution.
const (
	// Idempotent queries may run any number of times.
	Idempotent Effect = iota
	// IdempotentByKey queries carry a key by which the engines of Class.DedupeScope discard duplicates.
	IdempotentByKey
	// NonIdempotent queries must not run again once they may have run.
	NonIdempotent
)

// DedupeScope is the set of engines among which duplicates of an IdempotentByKey query are discarded.
type DedupeScope int

// The scopes.
const (
	// ScopeAll means that all engines know each other's keys.
	ScopeAll DedupeScope = iota
	// ScopeZone means that engines of one zone know each other's keys.
	ScopeZone
	// ScopeCell means that engines of one cell know each other's keys.
	ScopeCell
)

// Class is a class of queries. LatencyObjective, ClientTimeout and Threads are required.
type Class struct {
	// Name identifies the class in error messages.
	Name string
	// LatencyObjective is the latency up to which a response has its full value.
	LatencyObjective monotime.Micros
	// ObjectiveStretch extends LatencyObjective by this multiple of the query's work per thread.
	ObjectiveStretch float64
	// ClientTimeout is the time after which clients of the class time out.
	ClientTimeout monotime.Micros
	// PriorityWeight is the value of a query served within its objective, relative to other classes.
	PriorityWeight float64
	// LateWeight is the share of PriorityWeight that a query served after its objective has. Not used by the scheduler.
	LateWeight float64
	// Effect says whether a second execution does harm; zero: Idempotent.
	Effect Effect
	// DedupeScope is the set of engines among which duplicates are discarded by key; zero: all.
	DedupeScope DedupeScope
	// DedupeWindow is how long engines of DedupeScope remember a key; 0: an IdempotentByKey query that may have run is
	// never retried.
	DedupeWindow monotime.Micros
	// Ordered means that queries of one key run one at a time, in the order of their arrival.
	Ordered bool
	// Zones are the zones that may run the class; none: any zone.
	Zones []string
	// Kinds are the engine kinds that may run the class; none: any kind.
	Kinds []string
	// Streaming means that responses are streamed. Not used by the scheduler.
	Streaming bool
	// Threads is the number of threads that a query of the class runs on; at least 1.
	Threads int
	// LocksTableGroup means that a query locks its table group on its engine while it runs.
	LocksTableGroup bool
	// WaitsForTableGroup means that a query waits on its engine while another query locks its table group.
	WaitsForTableGroup bool
}

// Tenant is a group of clients with a share of the engines and a quota of its own.
type Tenant struct {
	// Name is the tenant's subject in budgets.
	Name string
	// Share is the tenant's share of the engines. Not used by the scheduler.
	Share float64
	// Quota is in queries a second over all front ends; 0 or less means no limit.
	Quota float64
}

// Limits restrict which actions the scheduler may take. The zero value allows no attempt.
type Limits struct {
	// Cancel allows Cancel actions.
	Cancel bool
	// HealthChecks allows HealthCheck actions. Without them an ejected engine is tried with a probation request.
	HealthChecks bool
	// HedgedRequests allows a second attempt while a slow first one is in flight.
	HedgedRequests bool
	// RetryAfter means that clients observe Reject.RetryAfter. Not used by the scheduler.
	RetryAfter bool

	// MaxAttempts is the number of attempts of a query, the first included; 0 allows none.
	MaxAttempts int
	// MaxRetryAfter is the upper bound of Reject.RetryAfter.
	MaxRetryAfter monotime.Micros
}

// Rules are the numeric parameters of the site. A zero value means that the rule does not apply.
type Rules struct {
	// DiscoveryTimeout is the time within which discovery responds to a Subscribe.
	DiscoveryTimeout monotime.Micros
	// WarmUp is the time from an engine's start until it has its full capacity; 0: engines have no warm-up.
	WarmUp monotime.Micros
	// InitialCapacity is the fraction of its full capacity that an engine has at its start, up to 1.
	InitialCapacity float64
	// OverloadWindow is the time window over which the work sent to an engine that is warming up is bounded; 0: no
	// bound.
	OverloadWindow monotime.Micros
	// OverloadMultiple is the work that may be sent to such an engine in an OverloadWindow, as a multiple of what its
	// capacity executes in that time.
	OverloadMultiple float64
	// DrainGrace is how long a draining engine keeps executing the queries that it runs. Not used by the scheduler.
	DrainGrace monotime.Micros
	// AnswerSlack is how much later than due a final answer may be. Not used by the scheduler.
	AnswerSlack monotime.Micros
	// KeyQuietPeriod is how long other queries of a key of an Ordered class wait after an attempt of unknown outcome.
	KeyQuietPeriod monotime.Micros
	// RetryBudget enables the retry budget, which MinRetries, RetryRatio and RetryBudgetWindow define.
	RetryBudget bool
	// MinRetries is the number of retries within RetryBudgetWindow that are always allowed.
	MinRetries float64
	// RetryRatio is the number of further retries allowed for each query that arrives within RetryBudgetWindow.
	RetryRatio float64
	// RetryBudgetWindow is the sliding window over which retries and arrivals are counted.
	RetryBudgetWindow monotime.Micros
}
