package budget_test

import (
	"slices"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// frontEnd is a front end under its name, through all its incarnations.
type frontEnd struct {
	world            *world
	name             string
	clock            clock
	process          *process // nil while none runs
	pastIncarnations []replication.Incarnation
	demand           float64     // queries per second
	set              *budget.Set // of its settings
}

// process is one incarnation of a front end.
type process struct {
	frontEnd     *frontEnd
	incarnation  replication.Incarnation
	leaseHolder  *budget.LeaseHolder
	books        map[string]*account.Book
	pending      map[uint64]func(replication.Response) // by proposal
	lastProposal uint64
	paused       bool
	deferred     []func() // what happened while it was paused
	inUse        []*usage

	// Of the variant in which tokens come with a grant: how many queries they would pay for, and the last burst.
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
		incarnation: replication.Incarnation(f.world.rng.Uint64()>>1 | 1),
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

// kill ends the process. What it has in use at engines ends within 2 s, as nobody polls for it any more.
func (f *frontEnd) kill() {
	p := f.process
	if p == nil {
		return
	}
	f.process = nil
	f.pastIncarnations = append(f.pastIncarnations, p.incarnation)
	for _, u := range p.inUse {
		if u.expense.finished > f.world.now+2*second {
			u.expense.finished = f.world.now + f.world.between(0, 2*second)
		}
	}
}

// reload has a front end read the newest settings.
func (f *frontEnd) reload() {
	f.set = f.world.newestSet
	if p := f.process; p != nil {
		p.do(func() { p.leaseHolder.Reload(p.localTime(), f.set) })
	}
}

func (p *process) world() *world { return p.frontEnd.world }

func (p *process) localTime() monotime.Micros { return p.frontEnd.clock.at(p.world().now) }

func (p *process) running() bool { return p.frontEnd.process == p }

// do has the process do something, later if it is paused and never if it has ended.
func (p *process) do(do func()) {
	switch {
	case !p.running():
	case p.paused:
		p.deferred = append(p.deferred, func() { p.do(do) })
	default:
		p.leaseHolder.SetNow(p.localTime())
		do()
	}
}

func (p *process) tick() {
	if !p.running() {
		return
	}
	p.do(func() { p.leaseHolder.Tick(p.localTime()) })
	p.world().after(25*millisecond, p.tick)
}

// pause stops the process for a time. As nobody polls meanwhile, engines end what it has in use within 2 s.
func (p *process) pause(span monotime.Micros) {
	w := p.world()
	p.paused = true
	for _, u := range p.inUse {
		if u.expense.finished > w.now+2*second && span > 2*second {
			u.expense.finished = w.now + 2*second
		}
	}
	w.after(span, p.resume)
}

func (p *process) resume() {
	if !p.running() {
		return
	}
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// Propose sends a report to the replicas. It may be committed not at all, late, or twice.
func (p *process) Propose(_ monotime.Micros, _, _ uint32, body []byte, done func(replication.Response)) uint64 {
	w := p.world()
	p.lastProposal++
	id := p.lastProposal
	p.pending[id] = done
	epoch, proposedAt := w.epoch, p.localTime()
	w.reports++
	w.messageBytes += len(body)
	respond := func(out []byte) { p.sendResponse(id, proposedAt, out) }
	send := func() {
		delay, ok := w.drawDelay(p.frontEnd.name)
		if !ok {
			return
		}
		w.after(delay, func() {
			if epoch == w.epoch {
				w.commit(p.incarnation, body, respond)
			}
		})
	}
	send()
	if w.network.duplicates && w.rng.IntN(3) == 0 {
		send()
	}
	return id
}

// sendResponse sends the response to a report to the process.
func (p *process) sendResponse(id uint64, proposedAt monotime.Micros, out []byte) {
	w := p.world()
	delay, ok := w.drawDelay(p.frontEnd.name)
	if !ok {
		return
	}
	receive := func() {
		done := p.pending[id]
		if done == nil {
			return
		}
		delete(p.pending, id)
		if w.defects.leaseFromResponse {
			out = budget.ResponseWithLongerLease(out, p.localTime()-proposedAt)
		}
		done(replication.Response{Sequence: id, Result: replication.Committed, Body: out})
	}
	w.after(delay+w.network.responseDelay[p.frontEnd.name], func() { p.do(receive) })
}

// Cancel abandons a report; it may still be committed.
func (p *process) Cancel(id uint64) { delete(p.pending, id) }

// BudgetDemands returns the demand for all budgets and what is in use.
func (p *process) BudgetDemands(now monotime.Micros) (demands []scheduler.BudgetDemand) {
	set := p.world().newestSet
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

// GrantBudgets sets what may be spent.
func (p *process) GrantBudgets(now monotime.Micros, g budget.Grant) {
	if p.world().defects.appliesGrantsLate && g.Set == nil {
		p.world().after(300*millisecond, func() { p.do(func() { p.applyGrant(p.localTime(), g) }) })
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

// leasesOf returns the leases of one budget.
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

// staticOf returns the static allocation of one budget.
func staticOf(name string, g budget.Grant) (amount budget.Amount) {
	for _, static := range g.Static {
		if static.Budget == name {
			amount = static.Amount
		}
	}
	return amount
}

// awaitNextQuery waits for the next query. As the demand may change meanwhile, a long wait is drawn anew after 20 ms,
// which does not change its exponential distribution.
func (p *process) awaitNextQuery() {
	w := p.world()
	wait := monotime.Micros(w.rng.ExpFloat64()*float64(second)/p.frontEnd.demand) + 1
	if wait <= 20*millisecond {
		w.after(wait, p.query)
	} else if p.running() {
		w.after(20*millisecond, p.awaitNextQuery)
	}
}

// query requests one unit of every budget, and spends those that are granted.
func (p *process) query() {
	if !p.running() {
		return
	}
	w := p.world()
	p.do(func() {
		now := p.localTime()
		for i := range w.newestSet.Specs {
			spec, subject := &w.newestSet.Specs[i], w.drawSubject()
			if book := p.books[spec.Name]; book != nil {
				book.Account(now, subject).RecordDemand(now, account.Unit)
				p.trySpend(spec, subject)
			}
		}
	})
	p.awaitNextQuery()
}

// trySpend spends one unit of a budget if it may. The first request in a while waits for a lease.
func (p *process) trySpend(spec *budget.Spec, subject string) {
	w, now := p.world(), p.localTime()
	a := p.books[spec.Name].Account(now, subject)
	if _, ok := a.Spend(now, account.Unit); !ok {
		switch {
		case w.defects.grantsTokens && spec.Kind == account.Rate && p.freeQueries > 0:
			p.freeQueries--
		case a.AwaitsFirstLease(now):
			w.after(20*millisecond, func() { p.do(func() { p.trySpend(spec, subject) }) })
			return
		default:
			return
		}
	}
	e := &expense{budget: spec.Name, subject: subject, at: w.now, finished: w.now, amount: account.Unit}
	w.expenses = append(w.expenses, e)
	if spec.Kind == account.Concurrency {
		p.use(spec, &usage{e, a})
	}
}

// use has a part of a concurrency limit in use for a while that is drawn.
func (p *process) use(spec *budget.Spec, u *usage) {
	w := p.world()
	u.expense.finished = w.now + w.between(10*millisecond, 600*millisecond)
	if w.rng.IntN(20) == 0 {
		u.expense.finished = w.now + w.between(0, spec.MaxAttemptDuration)
	}
	p.inUse = append(p.inUse, u)
	w.after(u.expense.finished-w.now, func() { p.do(func() { p.release(u) }) })
}

func (p *process) release(u *usage) {
	p.inUse = slices.DeleteFunc(p.inUse, func(other *usage) bool { return other == u })
	u.account.Release(account.Unit)
}
