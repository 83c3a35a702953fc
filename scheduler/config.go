package scheduler

import (
	"errors"
	"fmt"

	"chutechute/internal/monotime"
)

// Config is what a gateway is configured with at its start. Gateways and Classes are required; a zero value of any
// other field means that the feature is absent. Some fields only describe the site and are not read by the decisions;
// their comments say so.
type Config struct {
	// Gateways is the number of gateways of the site, this one included; at least 1.
	Gateways int
	// Rank is this gateway's number among them, from 0 to Gateways-1.
	Rank int
	// Zone is where this gateway stands. The decisions don't read it.
	Zone string
	// Kinds are the kinds of engine machines.
	Kinds []EngineKind
	// Classes are the classes of queries; Request.Class is an index into them.
	Classes []Class
	// Tenants share the engines; Request.Tenant is an index into them.
	Tenants []Tenant
	// Limits are what the gateway is allowed to do.
	Limits Limits
	// Rules are the figures of the site's rules.
	Rules Rules

	// PollEndpoints says that endpoint updates come only after a Subscribe.
	PollEndpoints bool
	// MemoryGrants says that engines heed AttemptParameters.GrantMB. The decisions don't read it.
	MemoryGrants bool
	// Priorities says that engines heed AttemptParameters.Priority.
	Priorities bool
	// MaxGrantShare is the largest share of an engine's memory for one query. The decisions don't read it.
	MaxGrantShare float64
	// ReportsCost says that engines report what a query used. The decisions don't read it.
	ReportsCost bool
	// ProgressInterval is the time between progress reports; 0 without any. The decisions don't read it.
	ProgressInterval monotime.Micros
	// HealthCheckCost is what one health check a query costs, in points of the result. The decisions don't read it.
	HealthCheckCost float64
	// CrossZoneCost is what a query sent to another zone costs, in points. The decisions don't read it.
	CrossZoneCost float64
	// OverQuotaWeight is the weight of a query over its tenant's quota. The decisions don't read it.
	OverQuotaWeight float64
	// LoadReportsOnHealthChecks says that load reports come with health checks only. The decisions don't read it.
	LoadReportsOnHealthChecks bool
	// LoadReportsOnResponses says that load reports come with every response. The decisions don't read it.
	LoadReportsOnResponses bool
}

// check returns an error that names the first thing that the configuration lacks.
func (cfg *Config) check() error {
	if cfg.Gateways < 1 {
		return errors.New("scheduler: Config.Gateways is below 1")
	}
	if len(cfg.Classes) == 0 {
		return errors.New("scheduler: Config.Classes is empty")
	}
	for _, c := range cfg.Classes {
		if c.LatencyObjective <= 0 || c.ClientTimeout <= 0 || c.Threads < 1 {
			return fmt.Errorf("scheduler: class %q lacks a latency objective, a client timeout or threads", c.Name)
		}
	}
	return nil
}

// EngineKind is a kind of engine machine.
type EngineKind struct {
	// Name is what Endpoint.Kind refers to.
	Name string
	// Cores is the number of processor cores. Engines of a kind that is not configured count as having one.
	Cores int
	// MemoryMB is the memory for queries, in megabytes; 0 if unknown, which bounds nothing.
	MemoryMB float64
}

// Effect is what a second execution of a query would do.
type Effect int

// The effects, from the most to the least tolerant of a second execution.
const (
	// Idempotent queries may run any number of times.
	Idempotent Effect = iota
	// IdempotentByKey queries carry a key by which engines of Class.DedupeScope discard a second execution.
	IdempotentByKey
	// NonIdempotent queries must not run again once they may have run.
	NonIdempotent
)

// DedupeScope is the set of engines that discards duplicates of an IdempotentByKey query.
type DedupeScope int

// The scopes.
const (
	// ScopeAll means that every engine knows the key of every other.
	ScopeAll DedupeScope = iota
	// ScopeZone means that engines of one zone know each other's keys.
	ScopeZone
	// ScopeCell means that engines of one cell know each other's keys.
	ScopeCell
)

// Class is a class of queries. LatencyObjective, ClientTimeout and Threads are required.
type Class struct {
	// Name names the class in errors.
	Name string
	// LatencyObjective is the time within which a response has its full value.
	LatencyObjective monotime.Micros
	// ObjectiveStretch times the query's work over its threads is added to LatencyObjective.
	ObjectiveStretch float64
	// ClientTimeout is the time after which clients of the class time out.
	ClientTimeout monotime.Micros
	// PriorityWeight is the value of a query served in time, against that of other classes.
	PriorityWeight float64
	// LateWeight is the share of PriorityWeight after the objective. The decisions don't read it.
	LateWeight float64
	// Effect is what a second execution would do; zero: Idempotent.
	Effect Effect
	// DedupeScope is the set of engines that discards duplicates by key; zero: all.
	DedupeScope DedupeScope
	// DedupeWindow is how long engines of DedupeScope remember a key; 0: an IdempotentByKey query that may have run is
	// never retried.
	DedupeWindow monotime.Micros
	// Ordered says that queries of one key run one at a time, in the order of their arrival.
	Ordered bool
	// Zones are the zones that may run the class; none: any zone.
	Zones []string
	// Kinds are the engine kinds that may run the class; none: any kind.
	Kinds []string
	// Streaming says that responses are streamed. The decisions don't read it.
	Streaming bool
	// Threads is the number of threads that a query of the class runs on; at least 1.
	Threads int
	// LocksTableGroup says that a query locks its table group on its engine while it runs.
	LocksTableGroup bool
	// WaitsForTableGroup says that a query waits on its engine while another locks its table group.
	WaitsForTableGroup bool
}

// Tenant is one of those who share the engines.
type Tenant struct {
	// Name is the tenant's subject in budgets.
	Name string
	// Share is the tenant's share of the engines. The decisions don't read it.
	Share float64
	// Quota is in queries a second over all gateways; 0 or less bounds nothing.
	Quota float64
}

// Limits are what the gateway is allowed to do. The zero value allows no attempt.
type Limits struct {
	// Cancel allows Cancel actions.
	Cancel bool
	// HealthChecks allows HealthCheck actions; without, an ejected engine gets a probation request.
	HealthChecks bool
	// HedgedRequests allows a second attempt beside a slow first one.
	HedgedRequests bool
	// RetryAfter says that clients heed Reject.After. The decisions don't read it.
	RetryAfter bool

	// MaxAttempts is the number of attempts of a query, the first included; 0 allows none.
	MaxAttempts int
	// MaxRetryAfter is the upper bound of Reject.After; 0 makes that 0.
	MaxRetryAfter monotime.Micros
}

// Rules are the figures of the site's rules. A zero value means that the rule does not apply.
type Rules struct {
	// ResponseTimeout is the time in which discovery answers a Subscribe.
	ResponseTimeout monotime.Micros
	// WarmUp is the time from an engine's start until it has its full capacity; 0: engines have no warm-up.
	WarmUp monotime.Micros
	// InitialCapacity is the part of its capacity that an engine has at its start, up to 1.
	InitialCapacity float64
	// OverloadWindow is the span over which the work sent to an engine that is warming up is bounded; 0: no bound.
	OverloadWindow monotime.Micros
	// OverloadMultiple is how many times its capacity such an engine may be sent in an OverloadWindow.
	OverloadMultiple float64
	// DrainGrace is how long a draining engine still completes what it runs. The decisions don't read it.
	DrainGrace monotime.Micros
	// AnswerSlack is by how much a final answer may be late. The decisions don't read it.
	AnswerSlack monotime.Micros
	// KeyQuietPeriod is how long a key of an Ordered class rests after an outcome that leaves open whether it ran.
	KeyQuietPeriod monotime.Micros
	// RetryBudget says that retries are bounded by MinRetries, RetryRatio and RetryBudgetWindow.
	RetryBudget bool
	// MinRetries is the number of retries within RetryBudgetWindow that are always allowed.
	MinRetries float64
	// RetryRatio is the number of further retries allowed for each query that arrives within RetryBudgetWindow.
	RetryRatio float64
	// RetryBudgetWindow is the span over which retries and arrivals are counted.
	RetryBudgetWindow monotime.Micros
}
