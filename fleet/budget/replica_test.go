package budget_test

import (
	"slices"

	"chutechute/fleet/budget"
	"chutechute/fleet/replication"
)

// replica is one replica of the authority.
type replica struct {
	simulation *simulation
	clock      clock
	authority  *budget.Authority
	applied    int // number of log entries applied
	stopped    bool
}

// apply applies the committed commands, unless the replica is stopped, and sends their responses.
func (r *replica) apply() {
	if r.stopped {
		return
	}
	s := r.simulation
	for r.applied < len(s.log) {
		i := r.applied
		r.applied++
		out := r.applyEntry(i)
		if respond := s.responses[i+1]; respond != nil {
			s.messageBytes += len(out)
			delete(s.responses, i+1)
			respond(out)
		}
	}
}

// applyEntry applies a log entry, with the selected mutations.
func (r *replica) applyEntry(i int) (response []byte) {
	s := r.simulation
	body, proposer := s.log[i], s.proposers[i]
	if s.mutations.reportsNoUse && proposer != 0 {
		body = budget.ReportWithoutUse(body)
	}
	if s.mutations.reportsNoLease && proposer != 0 && (uint64(proposer)+uint64(i))%4 == 0 {
		body = budget.ReportWithoutLease(body)
	}
	applied := func() {}
	if s.measureApply != nil {
		applied = s.measureApply()
	}
	at := replication.ApplyContext{Index: uint64(i + 1), Now: r.clock.at(s.now), Notify: s.sendNotification}
	response = r.authority.Apply(at, proposer, body)
	applied()
	if s.mutations.ignoresStatic && proposer != 0 {
		static := func(name string) budget.Amount { return s.newestSet.Lookup(name).Reserved() }
		response = budget.ResponseWithLargerLeases(response, static)
	}
	return response
}

// PresumedDead and the next methods implement replication.FailureDetector.
func (s *simulation) PresumedDead(replication.Incarnation) bool { return false }
func (s *simulation) Unreachable(replication.Incarnation) bool  { return false }
func (s *simulation) Live() []replication.Incarnation           { return nil }
func (s *simulation) Superseded(incarnation replication.Incarnation) bool {
	for _, f := range s.frontEnds {
		if f.process != nil && slices.Contains(f.pastIncarnations, incarnation) {
			return true
		}
	}
	return false
}

// proposeDueCommands proposes the due commands of the replicas, now and at regular intervals. Any replica may propose,
// whether it is the leader or not, and commands may be committed arbitrarily late.
func (s *simulation) proposeDueCommands() {
	for i, r := range s.replicas {
		if r.stopped || i > 0 && s.rng.IntN(3) > 0 {
			continue
		}
		for _, body := range r.dueCommands() {
			delay, ok := s.randomDelay("")
			if !ok {
				continue
			}
			epoch := s.epoch
			s.after(delay, func() {
				if epoch == s.epoch {
					s.commit(0, body, nil)
				}
			})
		}
	}
	s.after(200*millisecond, s.proposeDueCommands)
}

// dueCommands returns the commands that are due and, for some mutations, commands that are not due yet.
func (r *replica) dueCommands() [][]byte {
	s, now := r.simulation, r.clock.at(r.simulation.now)
	commands := r.authority.DueCommands(now, s)
	for _, early := range []struct {
		mutated bool
		isKind  func([]byte) bool
	}{
		{s.mutations.trustsClock, budget.IsExpire},
		{s.mutations.releasesAtExpiry, budget.IsRelease},
		{s.mutations.opensImmediately, budget.IsOpen},
	} {
		for _, body := range r.authority.DueCommands(now+60*second, s) {
			if early.mutated && early.isKind(body) {
				commands = append(commands, body)
			}
		}
	}
	return commands
}
