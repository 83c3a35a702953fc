package scheduler

import (
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

const (
	// maxStartDelay is how long what was spent for an attempt is good for: one that is not written by then spends anew,
	// so that what engines see is what was spent, and when.
	maxStartDelay = monotime.Second / 4
	// maxReportedSubjects bounds the subjects of one report of demands.
	maxReportedSubjects = 4096
)

// BudgetUnit is what a budget counts. Amounts are in thousandths of it.
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

// Overflow is what becomes of a query that a budget has no capacity for.
type Overflow int

// The ways of handling an overflow.
const (
	// RejectOverflow rejects the query at once, with the time until there will be capacity.
	RejectOverflow Overflow = iota
	// QueueOverflow leaves the query in the queue, as long as any query may stay there.
	QueueOverflow
	// DeprioritizeOverflow lets the query go behind all others: the budget bounds who comes first, not what is sent.
	DeprioritizeOverflow
)

// BudgetRule is one budget of the fleet and what counts towards it. Zero values of Class and Tenant are the first of
// them; -1 is any.
type BudgetRule struct {
	Name   string          // unique
	Kind   account.Kind    // rate, concurrency or window
	Window monotime.Micros // length of the window of an account.Window
	// MaxAttemptDuration is the longest time that an attempt may hold a concurrency slot; 0 without such a bound.
	MaxAttemptDuration monotime.Micros
	Class              int        // index into Config.Classes, -1 for any
	Tenant             int        // index into Config.Tenants, -1 for any
	PerTenant          bool       // each tenant has the whole amount for itself
	PerEngine          bool       // each engine has the whole amount for itself
	EngineKind         string     // only engines of this kind count; "": any
	WarmingUp          bool       // only engines that are warming up count
	Retries            bool       // only attempts after the first count
	HealthChecks       bool       // only health checks count
	CountOnly          bool       // it is not in force yet: what is spent is counted, and nothing is held back
	RetryCredit        int64      // thousandths of a retry that each first attempt earns
	Unit               BudgetUnit // zero: Queries
	Overflow           Overflow   // zero: RejectOverflow
}

// BudgetAmount is what this gateway may spend of a budget.
type BudgetAmount struct {
	Budget  string         // BudgetRule.Name
	Subject string         // tenant or engine, where each has the whole amount for itself; else ""
	Amount  account.Amount // in thousandths
}

// BudgetDemand is what this gateway could spend of a budget and has in use.
type BudgetDemand struct {
	Budget  string // BudgetRule.Name
	Subject string // tenant or engine, where each has the whole amount for itself; else ""
	Demand  int64  // thousandths, see account.Account.Demand
	InUse   int64  // thousandths
}

// BudgetStatus is how a budget stands at this gateway, for operators.
type BudgetStatus struct {
	BudgetDemand
	Used   int64           // thousandths, see account.Account.Used
	Spent  int64           // thousandths since the start
	Denied int             // how often there was no capacity
	Lease  account.Amount  // leased
	Static account.Amount  // there without a lease
	Until  monotime.Micros // when the lease expires
}

// budget is a rule in force, with what is spent of it.
type budget struct {
	BudgetRule
	book *account.Book
}

// budgets is all rules in force.
type budgets struct {
	cfg           *Config
	list          []*budget // by name
	divideThreads bool      // some rule divides the threads on each engine
	divideWarmUp  bool      // some rule divides the work that engines take while warming up
}

// concurrencySlot is what an attempt holds of a budget.
type concurrencySlot struct {
	account *account.Account
	amount  int64 // thousandths
}

// releaseSlots releases the slots of an attempt whose outcome is known.
func (a *attempt) releaseSlots() {
	for _, slot := range a.slots {
		slot.account.Release(slot.amount)
	}
	a.slots = nil
}

// grant takes over what this gateway may spend.
func (bs *budgets) grant(now monotime.Micros, grant BudgetGrant) {
	if grant.Rules != nil {
		bs.setRules(grant.Rules)
	}
	rest := grant.Leased // by budget, as the rules are
	for _, b := range bs.list {
		if grant.Static != nil {
			b.book.SetStatic(now, staticAmount(grant.Static, b.Name))
		}
		var leased []account.SubjectLease
		for len(rest) > 0 && rest[0].Budget < b.Name {
			rest = rest[1:]
		}
		for ; len(rest) > 0 && rest[0].Budget == b.Name; rest = rest[1:] {
			leased = append(leased, account.SubjectLease{Subject: rest[0].Subject, Amount: rest[0].Amount})
		}
		b.book.SetLeases(now, leased, grant.Until)
	}
}

// staticAmount returns the amount of the named budget, the last if there are several.
func staticAmount(list []BudgetAmount, name string) (amount account.Amount) {
	for _, b := range list {
		if b.Budget == name {
			amount = b.Amount
		}
	}
	return amount
}

// setRules puts other rules into force; what is in use of those that stay is kept.
func (bs *budgets) setRules(rules []BudgetRule) {
	old := map[string]*budget{}
	for _, b := range bs.list {
		old[b.Name] = b
	}
	*bs = budgets{cfg: bs.cfg}
	for _, rule := range rules {
		b := &budget{BudgetRule: rule, book: &account.Book{Kind: rule.Kind, Window: rule.Window}}
		if o := old[rule.Name]; o != nil && o.Kind == rule.Kind && o.Window == rule.Window {
			b.book = o.book
		}
		bs.list = append(bs.list, b)
		perEngine := !rule.CountOnly && rule.PerEngine
		bs.divideThreads = bs.divideThreads || perEngine && rule.Unit == Threads && rule.Kind == account.Concurrency
		bs.divideWarmUp = bs.divideWarmUp || perEngine && rule.WarmingUp
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

// charge returns the account and the cost of an attempt of the query on an engine; nil where it does not count towards
// the budget. Without an engine, only budgets that are not of engines count.
func (bs *budgets) charge(now monotime.Micros, b *budget, q *query, e *engine) (*account.Account, int64) {
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
	if b.WarmingUp { // the whole amount is that of the start; as the engine warms up, as much work costs less
		cost = int64(float64(cost) * bs.cfg.Rules.InitialCapacity / e.warmUp.capacity(now, &bs.cfg.Rules))
	}
	return b.book.Account(now, subject), cost
}

// affords reports whether the budgets have capacity for an attempt: those of engines with one, and else all others. The
// first demand of a query on an engine is recorded.
func (bs *budgets) affords(now monotime.Micros, q *query, e *engine) bool {
	ok := true
	for _, b := range bs.list {
		if a, cost := bs.charge(now, b, q, e); a != nil && !b.CountOnly && !a.CanSpend(now, cost) {
			ok = false
			if e != nil && !q.demandRecorded {
				a.RecordDemand(now, cost)
			}
		}
	}
	return ok
}

// spend spends what an attempt costs. It returns until when the attempt may be started and how long it may be in
// flight; 0 without a bound.
func (bs *budgets) spend(
	now monotime.Micros, q *query, a *attempt, e *engine,
) (startBy, maxDuration monotime.Micros) {
	for _, e := range []*engine{nil, e} {
		for _, b := range bs.list {
			if b.RetryCredit > 0 && len(q.attempts) == 0 && e == nil {
				b.book.Account(now, "").Earn(b.RetryCredit)
			}
			acc, cost := bs.charge(now, b, q, e)
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

// spendHealthCheck spends one health check; false where some budget has no capacity for it.
func (bs *budgets) spendHealthCheck(now monotime.Micros) bool {
	for _, b := range bs.list {
		if !b.HealthChecks || b.CountOnly {
			continue
		}
		a := b.book.Account(now, "")
		a.RecordDemand(now, account.Unit)
		if _, ok := a.Spend(now, account.Unit); !ok {
			a.Denied++
			return false
		}
	}
	return true
}

// recordArrival records the demand of an arriving query.
func (bs *budgets) recordArrival(now monotime.Micros, q *query) {
	for _, b := range bs.list {
		if a, cost := bs.charge(now, b, q, nil); a != nil {
			a.RecordDemand(now, cost)
		}
	}
}

// exhausted returns the first budget without capacity for a queued query that rejects queries then, and the time until
// it will have some; nil if there is none.
func (bs *budgets) exhausted(now monotime.Micros, q *query) (b *budget, after monotime.Micros) {
	for _, b := range bs.list {
		if b.Overflow != RejectOverflow || b.PerEngine || b.CountOnly {
			continue
		}
		a, cost := bs.charge(now, b, q, nil)
		if a != nil && !a.CanSpend(now, cost) && !a.AwaitsFirstLease(now) {
			a.Denied++
			return b, a.RetryAfter(now, cost)
		}
	}
	return nil, 0
}

// overQuota spends what an arriving query of a tenant costs where budgets bound which queries come first. It reports
// whether any does, and whether the query is over one of them.
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
		a, cost := b.book.Account(now, subject), b.cost(q)
		a.RecordDemand(now, cost)
		if _, ok := a.Spend(now, cost); !ok {
			a.Denied++
			over = true
		}
	}
	return bounded, over
}

// BudgetDemands returns what this gateway wants and has in use, by budget and subject. Subjects of which it has and
// wants nothing are forgotten.
func (s *Scheduler) BudgetDemands(now monotime.Micros) (list []BudgetDemand) {
	for _, b := range s.budgets.list {
		perEngine := s.recordQueued(now, b)
		b.book.ForEach(func(subject string, a *account.Account) {
			if perEngine > 0 {
				a.RecordQueued(now, perEngine)
			}
			want, inUse := a.Demand(now), a.InUseBeyondStatic(now)
			if (want != 0 || inUse != 0) && len(list) < maxReportedSubjects {
				list = append(list, BudgetDemand{b.Name, subject, want, inUse})
			}
		})
		b.book.EvictIdle(now)
	}
	return list
}

// recordQueued records the demand of all queued queries for concurrency slots. For a budget of each engine it returns
// that of one engine instead, as nobody knows where the queries will go.
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
		if a, cost := s.budgets.charge(s.now, b, q, nil); a != nil {
			queued[a] += cost
		}
	}
	for a, cost := range queued {
		a.RecordQueued(now, cost)
	}
	return 0
}

// BudgetStatuses returns how all budgets stand.
func (s *Scheduler) BudgetStatuses(now monotime.Micros) (list []BudgetStatus) {
	for _, b := range s.budgets.list {
		b.book.ForEach(func(subject string, a *account.Account) {
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
