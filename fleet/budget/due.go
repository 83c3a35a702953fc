package budget

import (
	"log/slog"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// DueCommands returns the commands that are due by this machine's clock: budgets to open, leases to expire, and work to
// release. The leader proposes them. Commands that are proposed twice, or late, do no harm.
func (a *Authority) DueCommands(now monotime.Micros, seen replication.FailureDetector) (commands [][]byte) {
	if a.set == nil {
		return nil
	}
	for _, name := range sortedKeys(a.budgets) {
		b := a.budgets[name]
		if !b.open && now-b.knownSince >= a.openAfter(name) {
			open := command{Operation: opOpen, Budget: name, Version: a.set.Version}
			commands = append(commands, open.encode())
		}
		a.watchTotal(now, b)
	}
	for _, h := range a.holders {
		if h.supersededSince == 0 && seen.Superseded(h.incarnation) {
			h.supersededSince = now
		}
		if c, due := a.dueCommand(now, h); due {
			commands = append(commands, c.encode())
		}
	}
	return commands
}

// openAfter returns how long a new authority holds a budget back: until then, what an earlier authority granted of it
// may be in force.
func (a *Authority) openAfter(budget string) monotime.Micros {
	return withMargin(a.set.Lease) + withMargin(a.set.Lookup(budget).drainTime())
}

// watchTotal notes, for operators, since when a budget's total has been kept to.
func (a *Authority) watchTotal(now monotime.Micros, b *budgetState) {
	if a.exceedsTotal(a.set.Lookup(b.name)) {
		b.inForceSince = 0
		return
	}
	if b.inForceSince == 0 {
		b.inForceSince = now
		slog.Info("budget in force", slog.String("budget", b.name), slog.Uint64("version", a.set.Version))
	}
}

// exceedsTotal reports whether more may be outstanding of some subject than the total: the total was lowered, and
// earlier leases have neither been given back nor expired.
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

// dueCommand returns what is due for one lease holder.
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

// hasDrained reports whether something of an expired lease holder can be released after a time.
func (a *Authority) hasDrained(h *holderRecord, elapsed monotime.Micros, superseded bool) bool {
	drained := func(drainTime monotime.Micros, kind account.Kind) bool {
		return elapsed >= withMargin(effectiveDrainTime(drainTime, kind, superseded))
	}
	for _, o := range h.allocations {
		if drained(o.subject.drainTime, o.subject.kind) {
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
