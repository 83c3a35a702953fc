package budget

import (
	"cmp"
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// maxHoldersPerFrontEnd limits the number of records to this many incarnations per front end, including lost ones.
const maxHoldersPerFrontEnd = 4

// holderRecord is the authority's record of one lease holder, which is one incarnation of a front end.
type holderRecord struct {
	incarnation   replication.Incarnation
	name          string
	lastReport    uint64 // the number of the last report that was applied
	grant         uint64 // the log index of the grant in the last response
	previousGrant uint64 // the grant that it replaced
	expired       bool   // the lease has expired; what was spent under it may still be in use
	hasStatic     bool   // static allocations are assigned to it
	staticGrant   uint64 // the log index of the grant of static allocations in the last response
	longestLease  monotime.Micros
	statics       map[string]*staticAllocation
	allocations   []*allocation // sorted by budget and subject

	// By this machine's clock, not part of the replicated state.
	leaseExpiresAt  monotime.Micros // when the lease has certainly expired
	expiredSince    monotime.Micros // when the lease was recorded as expired
	supersededSince monotime.Micros // since when the incarnation is known to be superseded; 0 if it is not
}

func (h *holderRecord) compareIncarnation(incarnation replication.Incarnation) int {
	return cmp.Compare(h.incarnation, incarnation)
}

// holderIndex returns the index of a lease holder in the list, or the index at which to insert it.
func (a *Authority) holderIndex(incarnation replication.Incarnation) (index int, found bool) {
	return slices.BinarySearchFunc(a.holders, incarnation, (*holderRecord).compareIncarnation)
}

// holder returns the record of a lease holder, or nil.
func (a *Authority) holder(incarnation replication.Incarnation) *holderRecord {
	if i, found := a.holderIndex(incarnation); found {
		return a.holders[i]
	}
	return nil
}

// addHolder adds a record for a lease holder. It returns nil if the report names a grant or the lease holder leaves,
// since only one that was recorded before can do so, and if there are too many records.
func (a *Authority) addHolder(incarnation replication.Incarnation, report *command) *holderRecord {
	if report.Grant != 0 || report.StaticGrant != 0 || report.Leaving {
		return nil
	}
	if len(a.holders) >= maxHoldersPerFrontEnd*a.set.MaxFrontEnds {
		return nil
	}
	h := &holderRecord{incarnation: incarnation, name: report.Name, statics: map[string]*staticAllocation{}}
	i, _ := a.holderIndex(incarnation)
	a.holders = slices.Insert(a.holders, i, h)
	return h
}

func (a *Authority) removeHolder(h *holderRecord) {
	if i, found := a.holderIndex(h.incarnation); found {
		a.holders = slices.Delete(a.holders, i, i+1)
	}
}

// removeIfDone removes an expired lease holder that has no allocations left.
func (a *Authority) removeIfDone(h *holderRecord) {
	if h.expired && len(h.allocations) == 0 && !h.hasStatic {
		a.removeHolder(h)
	}
}

// expire ends a lease. Rates are available again at once. For other kinds, what may be in use stays outstanding until
// release is called.
func (a *Authority) expire(h *holderRecord) {
	h.expired, h.grant, h.previousGrant = true, 0, 0
	h.expiredSince = a.now
	a.updateAll(h, func(alloc *allocation) {
		draining := alloc.outstanding()
		if alloc.subject.kind == account.Rate {
			draining = Amount{}
		}
		alloc.grantPair, alloc.inUse, alloc.demand = grantPair{confirmed: draining}, 0, 0
	})
	a.removeUnused(h)
	a.removeIfDone(h)
}

// effectiveDrainTime returns how long work may go on after its lease has expired. Work under a concurrency limit ends
// sooner if its incarnation has certainly ended, because engines cancel what nobody polls for.
func effectiveDrainTime(drainTime monotime.Micros, kind account.Kind, superseded bool) monotime.Micros {
	if superseded && kind == account.Concurrency {
		return min(drainTime, replication.AbandonTimeout)
	}
	return drainTime
}

// release releases what an expired lease holder had in use, if its drain time is at most elapsed. If the incarnation is
// superseded, its static allocations are released likewise.
func (a *Authority) release(h *holderRecord, elapsed monotime.Micros, superseded bool) {
	a.updateAll(h, func(alloc *allocation) {
		if effectiveDrainTime(alloc.subject.drainTime, alloc.subject.kind, superseded) <= elapsed {
			alloc.grantPair, alloc.inUse = grantPair{}, 0
		}
	})
	a.removeUnused(h)
	if superseded {
		a.releaseStatic(h, elapsed)
	}
	a.removeIfDone(h)
}
