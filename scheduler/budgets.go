package scheduler

import (
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// BudgetUnit is what a budget counts.
type BudgetUnit int

// The units.
const (
	Queries BudgetUnit = iota
	Threads
	Work // milliseconds of it
)

// Overflow says what becomes of a query that a budget has no room for.
type Overflow int

// What may become of it.
const (
	RejectOverflow       Overflow = iota // it is turned away at once, and told when there will be room
	QueueOverflow                        // it waits, as long as any query does
	DeprioritizeOverflow                 // it goes on, behind all others: the budget bounds who comes first, not what is sent
)

// BudgetRule is one budget of the fleet: what counts towards it.
type BudgetRule struct {
	Name               string
	Kind               account.Kind
	Window             monotime.Micros // of a window
	MaxAttemptDuration monotime.Micros // the longest that an attempt which holds a place may be out; 0 without such a bound
	Class, Tenant      int             // -1 for any
	EachTenant         bool            // each has the whole for itself
	EachEngine         bool            // the same
	EngineKind         string
	WarmingUp          bool  // only engines in their cold span
	Retries            bool  // only attempts after the first
	HealthChecks       bool  // only probes
	CountOnly          bool  // it is not in force yet: what is spent is counted, and nothing is held back
	Earned             int64 // thousandths of a further attempt that each first one earns
	Unit               BudgetUnit
	Overflow           Overflow
}

// BudgetAmount is what this gateway may spend of a budget: of one subject, where each has the whole for itself.
type BudgetAmount struct {
	Budget, Subject string
	Amount          account.Amount
}

// BudgetDemand is what this gateway could spend of a budget and has in use, in thousandths; see package account.
type BudgetDemand struct {
	Budget, Subject string
	Want, InUse     int64
}

// BudgetStatus is how a budget stands at this gateway, for operators.
type BudgetStatus struct {
	BudgetDemand
	Used, Spent   int64
	Denied        int
	Lease, Static account.Amount
	Until         monotime.Micros
}

// maxStartDelay is how long what was spent for an attempt is good for: one that is not written by then spends anew, so that what
// engines see is what was spent, and when.
const maxStartDelay = monotime.Second / 4

// budget is a rule in force, with what is spent of it.
type budget struct {
	BudgetRule
	book *account.Book
}

// budgets is all rules in force.
type budgets struct {
	list    []*budget // by name
	threads bool      // some rule divides the threads on each engine
	cold    bool      // some rule divides what cold engines take
}

// amounts takes over what this gateway may spend.
func (d *Scheduler) amounts(ev BudgetGrant) {
	if ev.Rules != nil {
		d.rules(ev.Rules)
	}
	rest := ev.Leased // by budget, as the rules are
	for _, b := range d.budgets.list {
		if ev.Static != nil {
			m := account.Amount{}
			for _, p := range ev.Static {
				if p.Budget == b.Name {
					m = p.Amount
				}
			}
			b.book.Static(d.now, m)
		}
		var leased []account.Lease
		for len(rest) > 0 && rest[0].Budget < b.Name {
			rest = rest[1:]
		}
		for ; len(rest) > 0 && rest[0].Budget == b.Name; rest = rest[1:] {
			leased = append(leased, account.Lease{Subject: rest[0].Subject, Amount: rest[0].Amount})
		}
		b.book.Lease(d.now, leased, ev.Until)
	}
}

// rules puts other rules into force; what is in use of those that stay is kept.
func (d *Scheduler) rules(list []BudgetRule) {
	old := map[string]*budget{}
	for _, b := range d.budgets.list {
		old[b.Name] = b
	}
	d.budgets = budgets{}
	for _, r := range list {
		b := &budget{BudgetRule: r, book: &account.Book{Kind: r.Kind, Window: r.Window}}
		if o := old[r.Name]; o != nil && o.Kind == r.Kind && o.Window == r.Window {
			b.book = o.book
		}
		d.budgets.list = append(d.budgets.list, b)
		d.budgets.threads = d.budgets.threads || !r.CountOnly && r.EachEngine && r.Unit == Threads && r.Kind == account.Concurrency
		d.budgets.cold = d.budgets.cold || !r.CountOnly && r.EachEngine && r.WarmingUp
	}
	slices.SortFunc(d.budgets.list, func(a, b *budget) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// charge is what an attempt of the query costs of a budget; nil where it does not count towards it. Without an engine only
// budgets that ask for none are meant.
func (d *Scheduler) charge(b *budget, q *query, e *engine) (*account.Account, int64) {
	if b.EachEngine != (e != nil) || b.HealthChecks || b.Overflow == DeprioritizeOverflow || b.Retries && len(q.attempts) == 0 ||
		b.Class >= 0 && b.Class != q.Request.Class || b.Tenant >= 0 && b.Tenant != q.Tenant {
		return nil, 0
	}
	subject := ""
	switch {
	case e != nil && (b.WarmingUp && !e.warmingUp || b.EngineKind != "" && b.EngineKind != e.Kind):
		return nil, 0
	case e != nil:
		subject = e.Engine
	case b.EachTenant && q.Tenant < 0:
		return nil, 0
	case b.EachTenant:
		subject = d.cfg.Tenants[q.Tenant].Name
	}
	n := b.units(q)
	if b.WarmingUp { // the whole is that of the coldest; as it warms, as much work counts for less
		n = int64(float64(n) * d.cfg.Rules.InitialWarmth / d.warmth(e))
	}
	return b.book.Account(d.now, subject), n
}

func (b *budget) units(q *query) int64 {
	switch b.Unit {
	case Threads:
		return int64(q.class.Threads) * account.Unit
	case Work:
		return int64(q.class.meanWork) // microseconds are thousandths of milliseconds
	}
	return account.Unit
}

// pay spends what an attempt costs. It gives until when the attempt may be begun and how long it may be out; 0 without a
// bound.
func (d *Scheduler) pay(q *query, a *attempt, e *engine) (until, life monotime.Micros) {
	for _, e := range []*engine{nil, e} {
		for _, b := range d.budgets.list {
			if b.Earned > 0 && len(q.attempts) == 0 && e == nil {
				b.book.Account(d.now, "").Earn(b.Earned)
			}
			acc, n := d.charge(b, q, e)
			if acc == nil {
				continue
			}
			if e != nil && !q.demandRecorded || b.Retries {
				acc.RecordDemand(d.now, n)
			}
			if b.CountOnly {
				acc.RecordUnbounded(d.now, n)
			} else if u, _ := acc.Spend(d.now, n); until == 0 || min(u, d.now+maxStartDelay) < until {
				until = min(u, d.now+maxStartDelay)
			}
			if b.Kind == account.Concurrency {
				a.slots = append(a.slots, concurrencySlot{acc, n})
				if b.MaxAttemptDuration > 0 && (life == 0 || b.MaxAttemptDuration < life) {
					life = b.MaxAttemptDuration
				}
			}
		}
	}
	q.demandRecorded = true
	return until, life
}

// concurrencySlot is what an attempt holds of a budget.
type concurrencySlot struct {
	account *account.Account
	amount  int64
}

// giveBack gives an attempt's places back: it is over for certain.
func (a *attempt) giveBack() {
	for _, p := range a.slots {
		p.account.Release(p.amount)
	}
	a.slots = nil
}

// wants notes what a query that has come asks of the budgets.
func (d *Scheduler) wants(q *query) {
	for _, b := range d.budgets.list {
		if a, n := d.charge(b, q, nil); a != nil {
			a.RecordDemand(d.now, n)
		}
	}
}

// mostSubjects bounds the subjects of one report.
const mostSubjects = 4096

// BudgetDemands is what this gateway wants and has in use, by budget and subject. Subjects of which it has and wants nothing are
// forgotten.
func (d *Scheduler) BudgetDemands(now monotime.Micros) (list []BudgetDemand) {
	for _, b := range d.budgets.list {
		waits := int64(0)
		if b.Kind == account.Concurrency && b.EachEngine { // nobody knows where they will go
			for _, q := range d.queued {
				waits += b.units(q)
			}
			waits /= int64(max(1, d.ready))
		} else if b.Kind == account.Concurrency {
			held := map[*account.Account]int64{}
			for _, q := range d.queued {
				if a, n := d.charge(b, q, nil); a != nil {
					held[a] += n
				}
			}
			for a, n := range held {
				a.RecordQueued(now, n)
			}
		}
		b.book.Each(func(subject string, a *account.Account) {
			if waits > 0 {
				a.RecordQueued(now, waits)
			}
			want, inUse := a.Demand(now), a.InUse(now)
			if (want != 0 || inUse != 0) && len(list) < mostSubjects {
				list = append(list, BudgetDemand{b.Name, subject, want, inUse})
			}
		})
		b.book.EvictIdle(now)
	}
	return list
}

// BudgetStatuses is how all budgets stand.
func (d *Scheduler) BudgetStatuses(now monotime.Micros) (list []BudgetStatus) {
	for _, b := range d.budgets.list {
		b.book.Each(func(subject string, a *account.Account) {
			s := BudgetStatus{BudgetDemand: BudgetDemand{b.Name, subject, a.Demand(now), a.InUse(now)}, Used: a.Used(now), Spent: a.Spent,
				Denied: a.Denied}
			s.Lease, s.Static, s.Until = a.Amounts(now)
			list = append(list, s)
		})
	}
	return list
}
