package budget_test

import (
	"slices"

	"chutechute/fleet/budget"
	"chutechute/fleet/replication"
)

// replica is one replica of the authority.
type replica struct {
	world     *world
	clock     clock
	authority *budget.Authority
	applied   int // how many entries of the log
	stopped   bool
}

// apply applies what has been committed.
func (r *replica) apply() {
	if r.stopped {
		return
	}
	w := r.world
	for r.applied < len(w.log) {
		i := r.applied
		r.applied++
		out := r.applyEntry(i)
		if respond := w.responses[i+1]; respond != nil {
			w.messageBytes += len(out)
			delete(w.responses, i+1)
			respond(out)
		}
	}
}

// applyEntry applies an entry of the log, with the defects of the variant.
func (r *replica) applyEntry(i int) (response []byte) {
	w := r.world
	body, proposer := w.log[i], w.proposers[i]
	if w.defects.hidesUse && proposer != 0 {
		body = budget.ReportWithoutUse(body)
	}
	if w.defects.deniesLease && proposer != 0 && (uint64(proposer)+uint64(i))%4 == 0 {
		body = budget.ReportWithoutLease(body)
	}
	applied := func() {}
	if w.measureApply != nil {
		applied = w.measureApply()
	}
	at := replication.ApplyContext{Index: uint64(i + 1), Now: r.clock.at(w.now), Notify: w.sendNotification}
	response = r.authority.Apply(at, proposer, body)
	applied()
	if w.defects.ignoresStatic && proposer != 0 {
		static := func(name string) budget.Amount { return w.newestSet.Lookup(name).Reserved() }
		response = budget.ResponseWithMore(response, static)
	}
	return response
}

// PresumedDead and the next methods are the replicas' view of the processes.
func (w *world) PresumedDead(replication.Incarnation) bool { return false }
func (w *world) Unreachable(replication.Incarnation) bool  { return false }
func (w *world) Live() []replication.Incarnation           { return nil }
func (w *world) Superseded(incarnation replication.Incarnation) bool {
	for _, f := range w.frontEnds {
		if f.process != nil && slices.Contains(f.pastIncarnations, incarnation) {
			return true
		}
	}
	return false
}

// proposeDueCommands has replicas propose the commands that are due: any of them, whether it leads or not, and however
// late.
func (w *world) proposeDueCommands() {
	for i, r := range w.replicas {
		if r.stopped || i > 0 && w.rng.IntN(3) > 0 {
			continue
		}
		for _, body := range r.dueCommands() {
			delay, ok := w.drawDelay("")
			if !ok {
				continue
			}
			epoch := w.epoch
			w.after(delay, func() {
				if epoch == w.epoch {
					w.commit(0, body, nil)
				}
			})
		}
	}
	w.after(200*millisecond, w.proposeDueCommands)
}

// dueCommands returns the commands that are due, and with the defects of the variant some that are not due yet.
func (r *replica) dueCommands() [][]byte {
	w, now := r.world, r.clock.at(r.world.now)
	commands := r.authority.DueCommands(now, w)
	for _, early := range []struct {
		defect bool
		isKind func([]byte) bool
	}{
		{w.defects.trustsClock, budget.IsExpire},
		{w.defects.releasesAtExpiry, budget.IsRelease},
		{w.defects.opensAtOnce, budget.IsOpen},
	} {
		for _, body := range r.authority.DueCommands(now+60*second, w) {
			if early.defect && early.isKind(body) {
				commands = append(commands, body)
			}
		}
	}
	return commands
}
