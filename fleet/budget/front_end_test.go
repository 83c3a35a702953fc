package budget_test

import (
	"slices"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// frontEnd is a front end, identified by its name, across its incarnations.
type frontEnd struct {
	simulation       *simulation
	name             string
	clock            clock
	process          *process // nil while none is running
	pastIncarnations []replication.Incarnation
	demand           float64     // queries per second
	set              *budget.Set // its current settings
}

// process is one incarnation of a front end.
type process struct {
	frontEnd     *frontEnd
	incarnation  replication.Incarnation
	leaseHolder  *budget.LeaseHolder
	books        map[string]*account.Book
	pending      map[uint64]func(replication.Response) // by proposal ID
	lastProposal uint64
	paused       bool
	deferred     []func() // actions that were due while it was paused
	inUse        []*usage

	// For the mutation grantsTokens: how many queries the tokens would pay for, and the last burst.
	freeQueries int
	lastBurst   int64
}

// usage is a part of a concurrency limit that is in use.
type usage struct {
	expense *expense
	account *account.Account
}

func (f *frontEnd) start() {
	if f.process != nil {
		return
	}
	p := &process{
		frontEnd:    f,
		incarnation: replication.Incarnation(f.simulation.rng.Uint64()>>1 | 1),
		books:       map[string]*account.Book{},
		pending:     map[uint64]func(replication.Response){},
	}
	f.process = p
	config := budget.LeaseHolderConfig{Name: f.name, Set: f.set, MinReportInterval: 20 * millisecond}
	p.leaseHolder = budget.NewLeaseHolder(config, p, p)
	p.leaseHolder.Start(p.localTime())
	p.tick()
	p.awaitNextQuery()
}

// kill ends the process. Its work at engines ends within 2 s, as nothing polls for it any more.
func (f *frontEnd) kill() {
	p := f.process
	if p == nil {
		return
	}
	f.process = nil
	f.pastIncarnations = append(f.pastIncarnations, p.incarnation)
	for _, u := range p.inUse {
		if u.expense.finished > f.simulation.now+2*second {
			u.expense.finished = f.simulation.now + f.simulation.randomBetween(0, 2*second)
		}
	}
}

// reload applies the newest settings to a front end.
func (f *frontEnd) reload() {
	f.set = f.simulation.newestSet
	if p := f.process; p != nil {
		p.execute(func() { p.leaseHolder.Reload(p.localTime(), f.set) })
	}
}

func (p *process) simulation() *simulation { return p.frontEnd.simulation }

func (p *process) localTime() monotime.Micros { return p.frontEnd.clock.at(p.simulation().now) }

func (p *process) running() bool { return p.frontEnd.process == p }

// execute runs an action of the process: later if the process is paused, and never if it has ended.
func (p *process) execute(action func()) {
	switch {
	case !p.running():
	case p.paused:
		p.deferred = append(p.deferred, func() { p.execute(action) })
	default:
		p.leaseHolder.SetNow(p.localTime())
		action()
	}
}

func (p *process) tick() {
	if !p.running() {
		return
	}
	p.execute(func() { p.leaseHolder.Tick(p.localTime()) })
	p.simulation().after(25*millisecond, p.tick)
}

// pause pauses the process for a span. As nothing polls meanwhile, its work at engines ends within 2 s.
func (p *process) pause(span monotime.Micros) {
	s := p.simulation()
	p.paused = true
	for _, u := range p.inUse {
		if u.expense.finished > s.now+2*second && span > 2*second {
			u.expense.finished = s.now + 2*second
		}
	}
	s.after(span, p.resume)
}

func (p *process) resume() {
	if !p.running() {
		return
	}
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, action := range deferred {
		action()
	}
}

// Propose sends a report to the replicas. It may be committed late, twice or not at all.
func (p *process) Propose(_ monotime.Micros, _, _ uint32, body []byte, done func(replication.Response)) uint64 {
	s := p.simulation()
	p.lastProposal++
	id := p.lastProposal
	p.pending[id] = done
	epoch, proposedAt := s.epoch, p.localTime()
	s.reports++
	s.messageBytes += len(body)
	respond := func(out []byte) { p.sendResponse(id, proposedAt, out) }
	send := func() {
		delay, ok := s.randomDelay(p.frontEnd.name)
		if !ok {
			return
		}
		s.after(delay, func() {
			if epoch == s.epoch {
				s.commit(p.incarnation, body, respond)
			}
		})
	}
	send()
	if s.network.duplicates && s.rng.IntN(3) == 0 {
		send()
	}
	return id
}

// sendResponse sends the response to a report to the process.
func (p *process) sendResponse(id uint64, proposedAt monotime.Micros, out []byte) {
	s := p.simulation()
	delay, ok := s.randomDelay(p.frontEnd.name)
	if !ok {
		return
	}
	receive := func() {
		done := p.pending[id]
		if done == nil {
			return
		}
		delete(p.pending, id)
		if s.mutations.leaseFromResponse {
			out = budget.ResponseWithLongerLease(out, p.localTime()-proposedAt)
		}
		done(replication.Response{Sequence: id, Result: replication.Committed, Body: out})
	}
	s.after(delay+s.network.responseDelay[p.frontEnd.name], func() { p.execute(receive) })
}

// Cancel drops the handler of a report's response. The report may still be committed.
func (p *process) Cancel(id uint64) { delete(p.pending, id) }

// BudgetDemands returns the demand for each budget and subject, and what is in use.
func (p *process) BudgetDemands(now monotime.Micros) (demands []scheduler.BudgetDemand) {
	set := p.simulation().newestSet
	for i := range set.Specs {
		name := set.Specs[i].Name
		book := p.books[name]
		if book == nil {
			continue
		}
		book.ForEach(func(subject string, a *account.Account) {
			demand, inUse := a.Demand(now), a.InUseBeyondStatic(now)
			if demand != 0 || inUse != 0 {
				demands = append(demands,
					scheduler.BudgetDemand{Budget: name, Subject: subject, Demand: demand, InUse: inUse})
			}
		})
		book.EvictIdle(now)
	}
	return demands
}

// GrantBudgets sets the amounts that may be spent.
func (p *process) GrantBudgets(now monotime.Micros, g budget.Grant) {
	if p.simulation().mutations.appliesGrantsLate && g.Set == nil {
		p.simulation().after(300*millisecond, func() { p.execute(func() { p.applyGrant(p.localTime(), g) }) })
		return
	}
	p.applyGrant(now, g)
}

func (p *process) applyGrant(now monotime.Micros, g budget.Grant) {
	if g.Set != nil {
		for i := range g.Set.Specs {
			spec := &g.Set.Specs[i]
			if p.books[spec.Name] == nil {
				p.books[spec.Name] = &account.Book{Kind: spec.Kind, Window: spec.Window}
			}
		}
	}
	for name, book := range p.books {
		book.SetLeases(now, p.leasesOf(name, book.Kind, g), g.LeaseExpiresAt)
		if g.Static != nil {
			book.SetStatic(now, staticOf(name, g))
		}
	}
}

// leasesOf returns the leases of one budget in a grant.
func (p *process) leasesOf(name string, kind account.Kind, g budget.Grant) (leases []account.SubjectLease) {
	for _, leased := range g.Leased {
		if leased.Budget != name {
			continue
		}
		leases = append(leases, account.SubjectLease{Subject: leased.Subject, Amount: leased.Amount})
		if kind == account.Rate {
			if leased.Amount.Capacity > p.lastBurst {
				p.freeQueries = int(leased.Amount.Capacity / account.Unit)
			}
			p.lastBurst = leased.Amount.Capacity
		}
	}
	return leases
}

// staticOf returns the static allocation of one budget in a grant.
func staticOf(name string, g budget.Grant) (amount budget.Amount) {
	for _, static := range g.Static {
		if static.Budget == name {
			amount = static.Amount
		}
	}
	return amount
}

// awaitNextQuery schedules the next query. As the demand may change meanwhile, a long wait is drawn again after 20 ms;
// because the exponential distribution is memoryless, this does not change it.
func (p *process) awaitNextQuery() {
	s := p.simulation()
	wait := monotime.Micros(s.rng.ExpFloat64()*float64(second)/p.frontEnd.demand) + 1
	if wait <= 20*millisecond {
		s.after(wait, p.query)
	} else if p.running() {
		s.after(20*millisecond, p.awaitNextQuery)
	}
}

// query tries to spend one unit of every budget.
func (p *process) query() {
	if !p.running() {
		return
	}
	s := p.simulation()
	p.execute(func() {
		now := p.localTime()
		for i := range s.newestSet.Specs {
			spec, subject := &s.newestSet.Specs[i], s.randomSubject()
			if book := p.books[spec.Name]; book != nil {
				book.Account(now, subject).RecordDemand(now, account.Unit)
				p.trySpend(spec, subject)
			}
		}
	})
	p.awaitNextQuery()
}

// trySpend spends one unit of a budget if the account allows it. It tries again while the first lease is awaited.
func (p *process) trySpend(spec *budget.Spec, subject string) {
	s, now := p.simulation(), p.localTime()
	a := p.books[spec.Name].Account(now, subject)
	if _, ok := a.Spend(now, account.Unit); !ok {
		switch {
		case s.mutations.grantsTokens && spec.Kind == account.Rate && p.freeQueries > 0:
			p.freeQueries--
		case a.AwaitsFirstLease(now):
			s.after(20*millisecond, func() { p.execute(func() { p.trySpend(spec, subject) }) })
			return
		default:
			return
		}
	}
	e := &expense{budget: spec.Name, subject: subject, at: s.now, finished: s.now, amount: account.Unit}
	s.expenses = append(s.expenses, e)
	if spec.Kind == account.Concurrency {
		p.beginUse(spec, &usage{e, a})
	}
}

// beginUse holds a part of a concurrency limit in use for a random time.
func (p *process) beginUse(spec *budget.Spec, u *usage) {
	s := p.simulation()
	u.expense.finished = s.now + s.randomBetween(10*millisecond, 600*millisecond)
	if s.rng.IntN(20) == 0 {
		u.expense.finished = s.now + s.randomBetween(0, spec.MaxAttemptDuration)
	}
	p.inUse = append(p.inUse, u)
	s.after(u.expense.finished-s.now, func() { p.execute(func() { p.release(u) }) })
}

func (p *process) release(u *usage) {
	p.inUse = slices.DeleteFunc(p.inUse, func(other *usage) bool { return other == u })
	u.account.Release(account.Unit)
}
