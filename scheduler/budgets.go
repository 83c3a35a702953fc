package scheduler

import (
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

const (
	// maxStartDelay is how long after spending from a budget an attempt may still be written. One of which nothing
	// is written by then ends as NotSent, and a retry is charged again, so that the attempts that engines receive match
	// what was spent, and when.
	maxStartDelay = monotime.Second / 4
	// maxReportedSubjects is the largest number of subjects in one report of demands.
	maxReportedSubjects = 4096
)

// BudgetUnit is the unit that a budget counts in. Amounts are in thousandths of it.
type BudgetUnit int

// The units.
const (
	// Queries counts attempts.
	Queries BudgetUnit = iota
	// Threads counts the threads of attempts.
	Threads
	// Work counts the mean work of the class of an attempt, in milliseconds on one thread.
	Work
)

// Overflow says what happens to a query for which a budget has no capacity.
type Overflow int

// The ways of handling an overflow.
const (
	// RejectOverflow rejects the query at once, with the time until there will be capacity.
	RejectOverflow Overflow = iota
	// QueueOverflow leaves the query in the queue until it expires there like any other.
	QueueOverflow
	// DeprioritizeOverflow puts the query behind all others: the budget bounds which queries come first, not how many
	// are sent.
	DeprioritizeOverflow
)

// BudgetRule defines one budget of the fleet and what counts towards it. In Class and Tenant zero is the index of the
// first class or tenant; -1 means any.
type BudgetRule struct {
	Name   string          // unique
	Kind   account.Kind    // rate, concurrency or window
	Window monotime.Micros // length of the sliding window, for kind account.Window
	// MaxAttemptDuration is the longest time for which an attempt may occupy a concurrency slot; 0: no bound.
	MaxAttemptDuration monotime.Micros
	Class              int        // index into Config.Classes, -1 for any
	Tenant             int        // index into Config.Tenants, -1 for any
	PerTenant          bool       // each tenant has the whole amount to itself
	PerEngine          bool       // each engine has the whole amount to itself
	EngineKind         string     // only engines of this kind count; "": any
	WarmingUp          bool       // only engines that are warming up count
	Retries            bool       // only attempts after the first count
	HealthChecks       bool       // only health checks count
	CountOnly          bool       // not in force yet: spending is counted but not limited
	RetryCredit        int64      // thousandths of a retry that each first attempt earns
	Unit               BudgetUnit // zero: Queries
	Overflow           Overflow   // zero: RejectOverflow
}

// BudgetAmount is what this front end may spend of a budget.
type BudgetAmount struct {
	Budget  string         // BudgetRule.Name
	Subject string         // the tenant or engine of a PerTenant or PerEngine budget, otherwise ""
	Amount  account.Amount // in thousandths
}

// BudgetDemand is this front end's demand for a budget and what it has in use.
type BudgetDemand struct {
	Budget  string // BudgetRule.Name
	Subject string // the tenant or engine of a PerTenant or PerEngine budget, otherwise ""
	Demand  int64  // thousandths, see account.Account.Demand
	InUse   int64  // thousandths
}

// BudgetStatus is the state of a budget at this front end, for operators.
type BudgetStatus struct {
	BudgetDemand
	Used   int64           // thousandths, see account.Account.TotalInUse
	Spent  int64           // thousandths since the start
	Denied int             // how many times there was no capacity
	Lease  account.Amount  // leased amount
	Static account.Amount  // static allocation, which needs no lease
	Until  monotime.Micros // when the lease expires
}

// budget is a rule in force and the accounts of its subjects.
type budget struct {
	BudgetRule
	accounts *account.Book
}

// budgets holds all rules in force.
type budgets struct {
	cfg                 *Config
	list                []*budget // ordered by name
	limitsEngineThreads bool      // some rule in force limits the threads on each engine
	limitsWarmUpWork    bool      // some rule in force limits the work sent to each engine while it warms up
}

// concurrencySlot is the amount of a concurrency budget that an attempt uses.
type concurrencySlot struct {
	account *account.Account
	amount  int64 // thousandths
}

// releaseSlots releases the concurrency slots of an attempt that has its outcome.
func (a *attempt) releaseSlots() {
	for _, slot := range a.slots {
		slot.account.Release(slot.amount)
	}
	a.slots = nil
}

// grant applies a BudgetGrant: the rules in force and what this front end may spend.
func (bs *budgets) grant(now monotime.Micros, grant BudgetGrant) {
	if grant.Rules != nil {
		bs.setRules(grant.Rules)
	}
	rest := grant.Leased // ordered by budget, as bs.list is
	for _, b := range bs.list {
		if grant.Static != nil {
			b.accounts.SetStatic(now, staticAmount(grant.Static, b.Name))
		}
		var leased []account.SubjectLease
		for len(rest) > 0 && rest[0].Budget < b.Name {
			rest = rest[1:]
		}
		for ; len(rest) > 0 && rest[0].Budget == b.Name; rest = rest[1:] {
			leased = append(leased, account.SubjectLease{Subject: rest[0].Subject, Amount: rest[0].Amount})
		}
		b.accounts.SetLeases(now, leased, grant.Until)
	}
}

// staticAmount returns the static allocation of the named budget: the last one in the list, zero if there is none.
func staticAmount(list []BudgetAmount, name string) (amount account.Amount) {
	for _, b := range list {
		if b.Budget == name {
			amount = b.Amount
		}
	}
	return amount
}

// setRules replaces the rules in force. Budgets that keep their name, kind and window keep their accounts.
func (bs *budgets) setRules(rules []BudgetRule) {
	old := map[string]*budget{}
	for _, b := range bs.list {
		old[b.Name] = b
	}
	*bs = budgets{cfg: bs.cfg}
	for _, rule := range rules {
		b := &budget{BudgetRule: rule, accounts: &account.Book{Kind: rule.Kind, Window: rule.Window}}
		if o := old[rule.Name]; o != nil && o.Kind == rule.Kind && o.Window == rule.Window {
			b.accounts = o.accounts
		}
		bs.list = append(bs.list, b)
		perEngine := !rule.CountOnly && rule.PerEngine
		bs.limitsEngineThreads = bs.limitsEngineThreads ||
			perEngine && rule.Unit == Threads && rule.Kind == account.Concurrency
		bs.limitsWarmUpWork = bs.limitsWarmUpWork || perEngine && rule.WarmingUp
	}
	slices.SortFunc(bs.list, func(a, b *budget) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// matches reports whether the query's class and tenant count towards the budget.
func (b *budget) matches(q *query) bool {
	return (b.Class < 0 || b.Class == q.Request.Class) && (b.Tenant < 0 || b.Tenant == q.Tenant)
}

// cost returns what an attempt of the query costs, in thousandths of the budget's unit.
func (b *budget) cost(q *query) int64 {
	switch b.Unit {
	case Threads:
		return int64(q.class.Threads) * account.Unit
	case Work:
		return int64(q.class.meanWork) // microseconds are thousandths of milliseconds
	}
	return account.Unit
}

// accountAndCost returns the account that an attempt of the query is charged to and its cost; nil if it does not count
// towards the budget. With an engine only PerEngine budgets count, without one (e is nil) only all others.
func (bs *budgets) accountAndCost(now monotime.Micros, b *budget, q *query, e *engine) (*account.Account, int64) {
	if b.PerEngine != (e != nil) || b.HealthChecks || b.Overflow == DeprioritizeOverflow ||
		b.Retries && len(q.attempts) == 0 || !b.matches(q) {
		return nil, 0
	}
	subject := ""
	switch {
	case e != nil && (b.WarmingUp && !e.warmUp.active() || b.EngineKind != "" && b.EngineKind != e.Kind):
		return nil, 0
	case e != nil:
		subject = e.Engine
	case b.PerTenant && q.Tenant < 0:
		return nil, 0
	case b.PerTenant:
		subject = bs.cfg.Tenants[q.Tenant].Name
	}
	cost := b.cost(q)
	if b.WarmingUp { // the amount is for an engine at its start; the cost of the same work falls as its capacity grows
		cost = int64(float64(cost) * bs.cfg.Rules.InitialCapacity / e.warmUp.capacity(now, &bs.cfg.Rules))
	}
	return b.accounts.Account(now, subject), cost
}

// affords reports whether the budgets have capacity for an attempt: the PerEngine budgets if there is an engine, all
// others if e is nil. Demand that a PerEngine budget has no capacity for is recorded, but only in the first step in
// which the query is considered.
func (bs *budgets) affords(now monotime.Micros, q *query, e *engine) bool {
	ok := true
	for _, b := range bs.list {
		if a, cost := bs.accountAndCost(now, b, q, e); a != nil && !b.CountOnly && !a.CanSpend(now, cost) {
			ok = false
			if e != nil && !q.demandRecorded {
				a.RecordDemand(now, cost)
			}
		}
	}
	return ok
}

// spend charges an attempt to all budgets that it counts towards. It returns the time until which the attempt may be
// started and how long it may be in flight; 0 means no bound.
func (bs *budgets) spend(
	now monotime.Micros, q *query, a *attempt, e *engine,
) (startBy, maxDuration monotime.Micros) {
	for _, e := range []*engine{nil, e} {
		for _, b := range bs.list {
			if b.RetryCredit > 0 && len(q.attempts) == 0 && e == nil {
				b.accounts.Account(now, "").Earn(b.RetryCredit)
			}
			acc, cost := bs.accountAndCost(now, b, q, e)
			if acc == nil {
				continue
			}
			if e != nil && !q.demandRecorded || b.Retries {
				acc.RecordDemand(now, cost)
			}
			if b.CountOnly {
				acc.RecordUnbounded(now, cost)
			} else if until, _ := acc.Spend(now, cost); startBy == 0 || min(until, now+maxStartDelay) < startBy {
				startBy = min(until, now+maxStartDelay)
			}
			if b.Kind == account.Concurrency {
				a.slots = append(a.slots, concurrencySlot{acc, cost})
				if b.MaxAttemptDuration > 0 && (maxDuration == 0 || b.MaxAttemptDuration < maxDuration) {
					maxDuration = b.MaxAttemptDuration
				}
			}
		}
	}
	q.demandRecorded = true
	return startBy, maxDuration
}

// spendHealthCheck charges one health check to the budgets of health checks. It reports false if one of them has no
// capacity for it.
func (bs *budgets) spendHealthCheck(now monotime.Micros) bool {
	for _, b := range bs.list {
		if !b.HealthChecks || b.CountOnly {
			continue
		}
		a := b.accounts.Account(now, "")
		a.RecordDemand(now, account.Unit)
		if _, ok := a.Spend(now, account.Unit); !ok {
			a.Denied++
			return false
		}
	}
	return true
}

// recordArrival records the demand of an arriving query for the budgets that are not PerEngine.
func (bs *budgets) recordArrival(now monotime.Micros, q *query) {
	for _, b := range bs.list {
		if a, cost := bs.accountAndCost(now, b, q, nil); a != nil {
			a.RecordDemand(now, cost)
		}
	}
}

// exhausted returns the first budget with RejectOverflow that has no capacity for a queued query, and the time until it
// will have some; nil if there is none. PerEngine budgets are left out.
func (bs *budgets) exhausted(now monotime.Micros, q *query) (b *budget, after monotime.Micros) {
	for _, b := range bs.list {
		if b.Overflow != RejectOverflow || b.PerEngine || b.CountOnly {
			continue
		}
		a, cost := bs.accountAndCost(now, b, q, nil)
		if a != nil && !a.CanSpend(now, cost) && !a.AwaitsFirstLease(now) {
			a.Denied++
			return b, a.RetryAfter(now, cost)
		}
	}
	return nil, 0
}

// overQuota charges an arriving query of a tenant to the budgets with DeprioritizeOverflow. It reports whether any of
// them applies to the query, and whether one of them has no capacity for it.
func (bs *budgets) overQuota(now monotime.Micros, q *query) (bounded, over bool) {
	for _, b := range bs.list {
		if b.Overflow != DeprioritizeOverflow || b.CountOnly || !b.PerTenant && b.Tenant != q.Tenant ||
			b.Class >= 0 && b.Class != q.Request.Class {
			continue
		}
		bounded = true
		subject := ""
		if b.PerTenant {
			subject = bs.cfg.Tenants[q.Tenant].Name
		}
		a, cost := b.accounts.Account(now, subject), b.cost(q)
		a.RecordDemand(now, cost)
		if _, ok := a.Spend(now, cost); !ok {
			a.Denied++
			over = true
		}
	}
	return bounded, over
}

// BudgetDemands returns this front end's demand and what it has in use, by budget and subject. Idle accounts are
// forgotten.
func (s *Scheduler) BudgetDemands(now monotime.Micros) (list []BudgetDemand) {
	for _, b := range s.budgets.list {
		perEngine := s.recordQueued(now, b)
		b.accounts.ForEach(func(subject string, a *account.Account) {
			if perEngine > 0 {
				a.RecordQueued(now, perEngine)
			}
			demand, inUse := a.Demand(now), a.InUseBeyondStatic(now)
			if (demand != 0 || inUse != 0) && len(list) < maxReportedSubjects {
				list = append(list, BudgetDemand{b.Name, subject, demand, inUse})
			}
		})
		b.accounts.EvictIdle(now)
	}
	return list
}

// recordQueued records the demand of all queued queries for concurrency slots. For a PerEngine budget it instead
// returns an even part of the demand for each ready engine, since no engine has been chosen for the queries yet.
func (s *Scheduler) recordQueued(now monotime.Micros, b *budget) (perEngine int64) {
	if b.Kind != account.Concurrency {
		return 0
	}
	if b.PerEngine {
		for _, q := range s.queue.queries {
			perEngine += b.cost(q)
		}
		return perEngine / int64(max(1, s.placement.readyEngines))
	}
	queued := map[*account.Account]int64{}
	for _, q := range s.queue.queries {
		if a, cost := s.budgets.accountAndCost(s.now, b, q, nil); a != nil {
			queued[a] += cost
		}
	}
	for a, cost := range queued {
		a.RecordQueued(now, cost)
	}
	return 0
}

// BudgetStatuses returns the state of all budgets, by subject.
func (s *Scheduler) BudgetStatuses(now monotime.Micros) (list []BudgetStatus) {
	for _, b := range s.budgets.list {
		b.accounts.ForEach(func(subject string, a *account.Account) {
			status := BudgetStatus{
				BudgetDemand: BudgetDemand{b.Name, subject, a.Demand(now), a.InUseBeyondStatic(now)},
				Used:         a.TotalInUse(now),
				Spent:        a.Spent,
				Denied:       a.Denied,
			}
			status.Lease, status.Static, status.Until = a.Amounts(now)
			list = append(list, status)
		})
	}
	return list
}
