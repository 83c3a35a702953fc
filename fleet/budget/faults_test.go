package budget_test

import (
	"math/rand/v2"
	"slices"

	"pgregory.net/rapid"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// mutations selects the defects of a variant that is broken on purpose, to test that the checks detect them.
type mutations struct {
	leaseFromResponse bool // a lease holder counts its lease from the response instead of the report
	releasesAtExpiry  bool // what a lost lease holder had in use is released as soon as its lease expires
	ignoresStatic     bool // the division ignores the static allocations
	trustsClock       bool // leases expire by a clock that jumped ahead, as after a machine's sleep
	grantsTokens      bool // an allocation that grows comes with tokens
	appliesGrantsLate bool // a grant is confirmed some time before it is in force
	reportsNoLease    bool // a lease holder reports that it has no lease, and continues to spend
	reportsNoUse      bool // a lease holder does not report what it has in use
	opensImmediately  bool // a new authority does not wait until the grants of an earlier one have ended
}

// faultKind is a kind of fault.
type faultKind int

const (
	faultRestart         faultKind            = iota // a front end is killed and restarted
	faultPause                                       // a front end is paused
	faultPauseRepeated                               // the same as faultPause, so that pauses are drawn twice as often
	faultPartition                                   // a front end is partitioned from the replicas
	faultLoss                                        // messages are lost
	faultStragglers                                  // some messages are delayed by up to 20 s
	faultDuplicates                                  // some reports are sent twice
	faultDelay                                       // all messages, or the responses to one front end, are delayed
	faultReplicaStopped                              // a replica stops applying commands
	faultReplicaRestored                             // a replica is restored from the snapshot of another one
	faultDemandChanged                               // a front end's demand changes
	faultReplicasLost                                // all replicas are lost, with the front ends that run them
	faultTotalsChanged                               // totals change, at some front ends earlier than at others
	numFaultKinds                                    // the number of kinds
	numRandomFaultKinds  = faultTotalsChanged        // how many kinds randomFaults draws from
)

// fault is a fault to be injected. Selector selects the front end or replica, and for some kinds a variant.
type fault struct {
	Kind     faultKind
	Selector int
	At, Span monotime.Micros
}

// inject injects a fault now. A fault that has a duration ends after its span.
func (s *simulation) inject(f fault) {
	if s.faultsEnded {
		return
	}
	target, span := s.frontEnds[f.Selector%len(s.frontEnds)], f.Span
	switch f.Kind {
	case faultRestart:
		target.kill()
		s.after(span, target.start)
	case faultPause, faultPauseRepeated:
		if p := target.process; p != nil && !p.paused {
			p.pause(span)
		}
	case faultDemandChanged:
		target.demand = 1 + float64(span%200)
	case faultTotalsChanged:
		if f.Selector%2 == 0 {
			s.changeTotals(span)
		}
		target.reload()
	case faultReplicaStopped, faultReplicaRestored, faultReplicasLost:
		s.injectReplicaFault(f)
	default:
		s.injectNetworkFault(f, target)
	}
}

func (s *simulation) injectNetworkFault(f fault, target *frontEnd) {
	n, span := &s.network, f.Span
	switch f.Kind {
	case faultPartition:
		n.partitioned[target.name] = true
		s.after(span, func() { delete(n.partitioned, target.name) })
	case faultLoss:
		n.lossOneIn = 2 + f.Selector
		s.after(span, func() { n.lossOneIn = 0 })
	case faultStragglers:
		n.stragglers = true
		s.after(span, func() { n.stragglers = false })
	case faultDuplicates:
		n.duplicates = true
		s.after(span, func() { n.duplicates = false })
	case faultDelay:
		if f.Selector >= maxFrontEnds {
			n.responseDelay[target.name] = span / 2
			s.after(span, func() { delete(n.responseDelay, target.name) })
			return
		}
		n.maxDelay = defaultMaxDelay + span/8
		s.after(span, func() { n.maxDelay = defaultMaxDelay })
	}
}

func (s *simulation) injectReplicaFault(f fault) {
	target := s.replicas[f.Selector%len(s.replicas)]
	switch f.Kind {
	case faultReplicaStopped:
		target.stopped = true
		s.after(f.Span, func() {
			target.stopped = false
			target.apply()
		})
	case faultReplicaRestored:
		if other := s.replicas[(f.Selector+1)%len(s.replicas)]; !other.stopped {
			target.restoreFrom(other)
		}
	case faultReplicasLost:
		s.loseReplicas(f.Selector)
	}
}

// restoreFrom restores a replica from the snapshot of another one.
func (r *replica) restoreFrom(other *replica) {
	authority := newAuthority(100)
	if err := authority.Restore(other.authority.AppendSnapshot(nil), r.clock.at(r.simulation.now)); err != nil {
		panic(err)
	}
	r.authority, r.applied = authority, other.applied
}

// loseReplicas discards the state of all replicas, which is in memory only, and restarts the front ends that run them.
func (s *simulation) loseReplicas(firstFrontEnd int) {
	s.epoch++
	s.log, s.proposers = nil, nil
	clear(s.responses)
	for i, r := range s.replicas {
		r.authority, r.applied, r.stopped = newAuthority(100), 0, false
		f := s.frontEnds[(firstFrontEnd+i)%len(s.frontEnds)]
		f.kill()
		s.after(s.randomBetween(0, second), f.start)
	}
}

// changeTotals creates a new version of the settings with other totals.
func (s *simulation) changeTotals(span monotime.Micros) {
	next := *s.newestSet
	next.Version++
	next.Specs = slices.Clone(next.Specs)
	tenths := 1 + span%20
	for i := range next.Specs {
		initial := standardSet(next.Lease).Specs[i].Total
		next.Specs[i].Total = budget.Amount{
			Capacity: max(6000, initial.Capacity*tenths/10),
			Rate:     initial.Rate * tenths / 10,
		}
	}
	s.newestSet, s.sets = &next, append(s.sets, &next)
}

// endFaults ends all faults, and prevents new ones.
func (s *simulation) endFaults() {
	s.faultsEnded = true
	n := &s.network
	n.lossOneIn, n.stragglers, n.duplicates, n.maxDelay = 0, false, false, defaultMaxDelay
	clear(n.partitioned)
	clear(n.responseDelay)
	for _, r := range s.replicas {
		r.stopped = false
		r.apply()
	}
	for _, f := range s.frontEnds {
		if f.process != nil && f.process.paused {
			f.process.resume()
		}
		f.start()
		f.reload()
	}
}

// standardSet returns settings with a budget of each kind.
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

// faultsEndAt is the time at which all faults of a simulation end.
const faultsEndAt = 15 * second

// runWithFaults runs a simulation with faults and, for as long again, without faults, so that the totals can come into
// use again. It returns the simulation and the violations.
func runWithFaults(
	seed uint64, lease monotime.Micros, faults []fault, m mutations,
) (s *simulation, violations []string) {
	s = newSimulation(seed, standardSet(lease), maxFrontEnds, m)
	for _, f := range faults {
		s.after(f.At, func() { s.inject(f) })
	}
	s.run(faultsEndAt)
	s.endFaults()
	s.run(2 * faultsEndAt)
	return s, s.check()
}

// drawFaults draws a list of faults that rapid can shrink.
func drawFaults(t *rapid.T) []fault {
	draw := func(t *rapid.T) fault {
		return fault{
			faultKind(rapid.IntRange(0, int(numFaultKinds)-1).Draw(t, "kind")),
			rapid.IntRange(0, 9).Draw(t, "selector"),
			monotime.Micros(rapid.IntRange(0, 15000).Draw(t, "at")) * millisecond,
			monotime.Micros(rapid.IntRange(20, 8000).Draw(t, "span")) * millisecond,
		}
	}
	return rapid.SliceOfN(rapid.Custom(draw), 0, 14).Draw(t, "faults")
}

// randomFaults returns a pseudo-random list of faults.
func randomFaults(seed uint64) (faults []fault) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for range 10 {
		faults = append(faults, fault{
			faultKind(rng.IntN(int(numRandomFaultKinds))),
			rng.IntN(10),
			rng.Int64N(15000) * millisecond,
			(20 + rng.Int64N(8000)) * millisecond,
		})
	}
	return faults
}
