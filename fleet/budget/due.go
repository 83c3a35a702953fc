package budget

import (
	"log/slog"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// DueCommands returns the commands that are due by this machine's clock: those that open budgets, expire leases and
// release the work of expired lease holders. The leader proposes them. It is safe to propose one late or twice.
func (a *Authority) DueCommands(now monotime.Micros, detector replication.FailureDetector) (commands [][]byte) {
	if a.set == nil {
		return nil
	}
	for _, name := range sortedKeys(a.budgets) {
		b := a.budgets[name]
		if !b.open && now-b.knownSince >= a.openAfter(name) {
			open := command{Operation: opOpen, Budget: name, Version: a.set.Version}
			commands = append(commands, open.encode())
		}
		a.updateInForceSince(now, b)
	}
	for _, h := range a.holders {
		if h.supersededSince == 0 && detector.Superseded(h.incarnation) {
			h.supersededSince = now
		}
		if c, due := a.dueCommand(now, h); due {
			commands = append(commands, c.encode())
		}
	}
	return commands
}

// openAfter returns how long a new authority waits before it grants parts of a budget. Until then, grants of an earlier
// authority may still be in force.
func (a *Authority) openAfter(budget string) monotime.Micros {
	return withMargin(a.set.Lease) + withMargin(a.set.Lookup(budget).drainTime())
}

// updateInForceSince records and logs since when a budget has been in force, which is shown to operators.
func (a *Authority) updateInForceSince(now monotime.Micros, b *budgetState) {
	if a.exceedsTotal(a.set.Lookup(b.name)) {
		b.inForceSince = 0
		return
	}
	if b.inForceSince == 0 {
		b.inForceSince = now
		slog.Info("budget in force", slog.String("budget", b.name), slog.Uint64("version", a.set.Version))
	}
}

// exceedsTotal reports whether more than the total may be outstanding for a subject. That is so after the total was
// lowered, until enough has been given back or earlier leases have expired.
func (a *Authority) exceedsTotal(spec *Spec) bool {
	static := a.budgets[spec.Name].staticOutstanding
	exceeds := func(amount Amount) bool {
		return amount.Capacity > spec.Total.Capacity || amount.Rate > spec.Total.Rate
	}
	if exceeds(static) {
		return true
	}
	for _, s := range a.subjects {
		if s.key.budget == spec.Name && exceeds(s.outstanding.Add(static)) {
			return true
		}
	}
	return false
}

// dueCommand returns the command that is due for one lease holder, if any.
func (a *Authority) dueCommand(now monotime.Micros, h *holderRecord) (c command, due bool) {
	switch {
	case !h.expired && (now >= h.leaseExpiresAt || h.supersededSince != 0):
		return command{Operation: opExpire, Holder: h.incarnation, Report: h.lastReport}, true
	case h.expired && h.supersededSince != 0 && a.hasDrained(h, now-h.supersededSince, true):
		return h.releaseCommand(now-h.supersededSince, true), true
	case h.expired && a.hasDrained(h, now-h.expiredSince, false):
		return h.releaseCommand(now-h.expiredSince, false), true
	}
	return command{}, false
}

func (h *holderRecord) releaseCommand(elapsed monotime.Micros, superseded bool) command {
	return command{
		Operation:  opRelease,
		Holder:     h.incarnation,
		Report:     h.lastReport,
		DrainTime:  withoutMargin(elapsed),
		Superseded: superseded,
	}
}

// hasDrained reports whether anything of an expired lease holder can be released after the elapsed time.
func (a *Authority) hasDrained(h *holderRecord, elapsed monotime.Micros, superseded bool) bool {
	drained := func(drainTime monotime.Micros, kind account.Kind) bool {
		return elapsed >= withMargin(effectiveDrainTime(drainTime, kind, superseded))
	}
	for _, alloc := range h.allocations {
		if drained(alloc.subject.drainTime, alloc.subject.kind) {
			return true
		}
	}
	if !superseded {
		return false
	}
	for name := range h.statics {
		spec := a.set.Lookup(name)
		if spec == nil || drained(spec.drainTime(), spec.Kind) {
			return true
		}
	}
	return h.hasStatic && len(h.statics) == 0
}
