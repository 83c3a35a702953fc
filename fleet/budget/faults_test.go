package budget_test

import (
	"math/rand/v2"
	"slices"

	"pgregory.net/rapid"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// defects are what a variant breaks on purpose, for checks of the checks.
type defects struct {
	leaseFromResponse bool // a lease holder counts its lease from the response
	releasesAtExpiry  bool // what a lost lease holder had in use is released when its lease expires
	ignoresStatic     bool // the division ignores the static allocations
	trustsClock       bool // leases expire by a clock that has jumped, as that of a machine that slept
	grantsTokens      bool // tokens come with an allocation that grows
	appliesGrantsLate bool // a grant is in force only some time after it was confirmed
	deniesLease       bool // a lease holder says that it has no lease, and goes on spending
	hidesUse          bool // a lease holder does not say what it has in use
	opensAtOnce       bool // a new authority does not wait for what an earlier one granted
}

// faultKind is what a fault does.
type faultKind int

const (
	faultRestart         faultKind     = iota // a front end is killed and starts again
	faultPause                                // a front end is paused
	faultPauseToo                             // the same, so that it comes twice as often
	faultPartition                            // a front end is cut off
	faultLoss                                 // messages are lost
	faultStragglers                           // some messages are late by up to 20 s
	faultDuplicates                           // reports come twice
	faultDelay                                // messages are slow, all or the responses to one front end
	faultReplicaStopped                       // a replica stands still
	faultReplicaRestored                      // a replica is restored from another one's snapshot
	faultDemand                               // a front end's demand changes
	faultReplicasLost                         // all replicas are lost, with the front ends that run them
	faultTotals                               // totals are lowered or raised, at some front ends before others
	faultKinds                                // the number of kinds
	randomFaultKinds     = faultTotals        // how many kinds randomFaults draws from
)

// fault is an entry of a script of faults. Who selects a front end or a replica, and varies what is done.
type fault struct {
	Kind     faultKind
	Who      int
	At, Span monotime.Micros
}

// inject has a fault happen now. It ends after its span.
func (w *world) inject(f fault) {
	if w.healed {
		return
	}
	target, span := w.frontEnds[f.Who%len(w.frontEnds)], f.Span
	switch f.Kind {
	case faultRestart:
		target.kill()
		w.after(span, target.start)
	case faultPause, faultPauseToo:
		if p := target.process; p != nil && !p.paused {
			p.pause(span)
		}
	case faultDemand:
		target.demand = 1 + float64(span%200)
	case faultTotals:
		if f.Who%2 == 0 {
			w.changeTotals(span)
		}
		target.reload()
	case faultReplicaStopped, faultReplicaRestored, faultReplicasLost:
		w.injectReplicaFault(f)
	default:
		w.injectNetworkFault(f, target)
	}
}

func (w *world) injectNetworkFault(f fault, target *frontEnd) {
	n, span := &w.network, f.Span
	switch f.Kind {
	case faultPartition:
		n.partitioned[target.name] = true
		w.after(span, func() { delete(n.partitioned, target.name) })
	case faultLoss:
		n.lossOneIn = 2 + f.Who
		w.after(span, func() { n.lossOneIn = 0 })
	case faultStragglers:
		n.stragglers = true
		w.after(span, func() { n.stragglers = false })
	case faultDuplicates:
		n.duplicates = true
		w.after(span, func() { n.duplicates = false })
	case faultDelay:
		if f.Who >= maxFrontEnds {
			n.responseDelay[target.name] = span / 2
			w.after(span, func() { delete(n.responseDelay, target.name) })
			return
		}
		n.maxDelay = defaultMaxDelay + span/8
		w.after(span, func() { n.maxDelay = defaultMaxDelay })
	}
}

func (w *world) injectReplicaFault(f fault) {
	target := w.replicas[f.Who%len(w.replicas)]
	switch f.Kind {
	case faultReplicaStopped:
		target.stopped = true
		w.after(f.Span, func() {
			target.stopped = false
			target.apply()
		})
	case faultReplicaRestored:
		if other := w.replicas[(f.Who+1)%len(w.replicas)]; !other.stopped {
			target.restoreFrom(other)
		}
	case faultReplicasLost:
		w.loseReplicas(f.Who)
	}
}

// restoreFrom restores a replica from another one's snapshot.
func (r *replica) restoreFrom(other *replica) {
	authority := newAuthority(100)
	if err := authority.Restore(other.authority.AppendSnapshot(nil), r.clock.at(r.world.now)); err != nil {
		panic(err)
	}
	r.authority, r.applied = authority, other.applied
}

// loseReplicas loses all replicas, which are in memory only, with the front ends that run them.
func (w *world) loseReplicas(first int) {
	w.epoch++
	w.log, w.proposers = nil, nil
	clear(w.responses)
	for i, r := range w.replicas {
		r.authority, r.applied, r.stopped = newAuthority(100), 0, false
		f := w.frontEnds[(first+i)%len(w.frontEnds)]
		f.kill()
		w.after(w.between(0, second), f.start)
	}
}

// changeTotals makes a new version of the settings with other totals.
func (w *world) changeTotals(span monotime.Micros) {
	next := *w.newestSet
	next.Version++
	next.Specs = slices.Clone(next.Specs)
	tenths := 1 + span%20
	for i := range next.Specs {
		first := standardSet(next.Lease).Specs[i].Total
		next.Specs[i].Total = budget.Amount{Capacity: max(6000, first.Capacity*tenths/10), Rate: first.Rate * tenths / 10}
	}
	w.newestSet, w.sets = &next, append(w.sets, &next)
}

// heal ends all faults.
func (w *world) heal() {
	w.healed = true
	n := &w.network
	n.lossOneIn, n.stragglers, n.duplicates, n.maxDelay = 0, false, false, defaultMaxDelay
	clear(n.partitioned)
	clear(n.responseDelay)
	for _, r := range w.replicas {
		r.stopped = false
		r.apply()
	}
	for _, f := range w.frontEnds {
		if f.process != nil && f.process.paused {
			f.process.resume()
		}
		f.start()
		f.reload()
	}
}

// standardSet returns a set with a budget of each kind.
func standardSet(lease monotime.Micros) *budget.Set {
	return &budget.Set{Version: 1, Lease: lease, MaxFrontEnds: maxFrontEnds, Specs: []budget.Spec{
		{Name: "places", Kind: account.Concurrency, Total: budget.Amount{Capacity: 12_000},
			MaxAttemptDuration: 3 * second, StaticShare: 420, MinAllocation: 1000},
		{Name: "rate", Kind: account.Rate, Total: budget.Amount{Capacity: 40_000, Rate: 50_000},
			StaticShare: 130, NewcomerReserve: 20, MinAllocation: 1000},
		{Name: "window", Kind: account.Window, Total: budget.Amount{Capacity: 60_000},
			Window: 2 * second, StaticShare: 100, MinAllocation: 1000},
	}}
}

// healedAt is when the faults of a history end.
const healedAt = 15 * second

// runHistory runs a script of faults, and then a time without faults in which the totals have to be in use again.
func runHistory(seed uint64, lease monotime.Micros, script []fault, d defects) (w *world, violations []string) {
	w = newWorld(seed, standardSet(lease), maxFrontEnds, d)
	for _, f := range script {
		w.after(f.At, func() { w.inject(f) })
	}
	w.run(healedAt)
	w.heal()
	w.run(2 * healedAt)
	return w, w.check()
}

// drawScript draws a script of faults that rapid can shrink.
func drawScript(t *rapid.T) []fault {
	draw := func(t *rapid.T) fault {
		return fault{
			faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			rapid.IntRange(0, 9).Draw(t, "who"),
			monotime.Micros(rapid.IntRange(0, 15000).Draw(t, "at")) * millisecond,
			monotime.Micros(rapid.IntRange(20, 8000).Draw(t, "span")) * millisecond,
		}
	}
	return rapid.SliceOfN(rapid.Custom(draw), 0, 14).Draw(t, "script")
}

// randomFaults returns a script of faults by chance.
func randomFaults(seed uint64) (script []fault) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for range 10 {
		script = append(script, fault{
			faultKind(rng.IntN(int(randomFaultKinds))),
			rng.IntN(10),
			rng.Int64N(15000) * millisecond,
			(20 + rng.Int64N(8000)) * millisecond,
		})
	}
	return script
}
