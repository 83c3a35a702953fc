package idempotency

import (
	"slices"

	"chutechute/fleet/replication"
)

// committedCommand is a committed command with its proposer and the context in which it is applied.
type committedCommand struct {
	*Command
	replication.ApplyContext
	proposer replication.Incarnation
}

// Apply applies a committed command and returns the encoded Response. It returns nil for Transfer, for commands of the
// leader, and for a body that is not a valid command.
func (r *Registry) Apply(at replication.ApplyContext, proposer replication.Incarnation, body []byte) []byte {
	command, err := DecodeCommand(body)
	if err != nil {
		return nil
	}
	c := &committedCommand{Command: command, ApplyContext: at, proposer: proposer}
	rec := r.records[c.IdempotencyKey]
	switch c.Op {
	case Register:
		return r.register(c, rec)
	case AuthorizeAttempt:
		return r.authorizeAttempt(c, rec)
	case Complete:
		return r.complete(c, rec)
	case Inspect:
		return r.inspect(rec)
	}
	if rec == nil {
		return nil
	}
	switch c.Op {
	case Expire:
		r.expire(c, rec)
	case Evict:
		r.evict(c, rec)
	case OfferTransfer:
		offerTransfer(c, rec)
	case Transfer:
		transfer(c, rec)
	}
	return nil
}

// register adds a record, or joins the existing one with the same idempotency key.
func (r *Registry) register(c *committedCommand, rec *record) []byte {
	if rec != nil {
		return r.join(c, rec)
	}
	rec = newRecord(c)
	if r.bytes+rec.size() > r.options.MaxBytes {
		return r.respond(nil, CapacityExceeded)
	}
	r.add(rec)
	return r.respond(rec, OK)
}

// join registers a request that has a record. The proposer renews its registration, takes over, or waits.
func (r *Registry) join(c *committedCommand, rec *record) []byte {
	switch {
	case !rec.sameRequest(c):
		return r.respond(rec, Conflict)
	case rec.phase.Finished():
	case rec.owner == c.proposer:
		if rec.phase == Waiting && rec.requestID != c.RequestID {
			rec.assignToProposer(c)
		}
	case rec.phase == Waiting && c.TakeOver:
		c.Notify(rec.owner, rec.idempotencyKey)
		rec.assignToProposer(c)
		rec.ownerPresumedDeadSince = 0
	case !slices.Contains(rec.watchers, c.proposer):
		rec.watchers = append(rec.watchers, c.proposer)
		// An owner that no longer tracks the request then removes the record, or polls for the started attempt.
		c.Notify(rec.owner, rec.idempotencyKey)
	}
	return r.respond(rec, OK)
}

// authorizeAttempt authorizes the owner to start an attempt if the request is first in its queue. Authorizing the same
// attempt again has no effect.
func (r *Registry) authorizeAttempt(c *committedCommand, rec *record) []byte {
	switch {
	case rec == nil:
		return r.respond(nil, NotFound)
	case rec.phase.Finished() || !rec.ownedBy(c):
		return r.respond(rec, Denied)
	case !r.isFirst(rec):
		return r.respond(rec, Blocked)
	case rec.hasAttempt(c.Attempt):
		return r.respond(rec, OK)
	}
	rec.attempts = append(rec.attempts, attempt{c.Attempt, c.Engine, c.RequestID, c.proposer})
	rec.phase, rec.changedIndex, rec.changedAt = Started, c.Index, c.Now
	return r.respond(rec, OK)
}

// complete sets the outcome of a request unless it has one. The outcome Unregistered removes the record.
func (r *Registry) complete(c *committedCommand, rec *record) []byte {
	switch {
	case rec == nil:
		return r.respond(nil, NotFound)
	case rec.phase.Finished():
		return r.respond(rec, OK) // the first outcome is final
	case !rec.ownedBy(c):
		return r.respond(rec, Denied)
	case c.Outcome == Unregistered:
		r.remove(c, rec)
		return r.respond(nil, OK)
	case c.Outcome == Served && len(c.Rows) > MaxOutcomeBytes:
		r.finish(c, rec, Failed, nil)
	case c.Outcome == Served || c.Outcome == Failed:
		r.finish(c, rec, c.Outcome, c.Rows)
	default:
		return r.respond(rec, Denied)
	}
	return r.respond(rec, OK)
}

// inspect returns the state of a record.
func (r *Registry) inspect(rec *record) []byte {
	if rec == nil {
		return r.respond(nil, NotFound)
	}
	return r.respond(rec, OK)
}

// expire ends a request whose attempts can no longer run. A started request fails, as it may have run; an unstarted one
// is removed.
func (r *Registry) expire(c *committedCommand, rec *record) {
	switch {
	case rec.changedIndex != c.ChangedIndex || rec.phase.Finished():
	case rec.phase == Started:
		r.finish(c, rec, Failed, nil)
	default:
		r.remove(c, rec)
	}
}

// evict removes a record whose outcome was retained long enough.
func (r *Registry) evict(c *committedCommand, rec *record) {
	if rec.changedIndex == c.ChangedIndex && rec.phase.Finished() {
		r.remove(c, rec)
	}
}

// offerTransfer sets the new owner of a started request, or notifies that owner once more.
func offerTransfer(c *committedCommand, rec *record) {
	if rec.changedIndex != c.ChangedIndex || rec.phase != Started {
		return
	}
	rec.changedAt = c.Now
	if newOwner := replication.Incarnation(c.NewOwner); rec.owner != newOwner {
		rec.setOwner(c, newOwner)
		rec.registeredAt = c.Now
	}
	c.Notify(rec.owner, rec.idempotencyKey)
}

// transfer clears the owner of a started request. The leader then offers it to another front end.
func transfer(c *committedCommand, rec *record) {
	if rec.ownedBy(c) && rec.phase == Started {
		rec.setOwner(c, 0)
	}
}

// respond returns the encoded response to a command: the status and the state of the record. The state is left out if
// the record is nil, or belongs to another request (Conflict).
func (r *Registry) respond(rec *record, status Status) []byte {
	response := Response{Status: status}
	if rec == nil || status == Conflict {
		return response.Encode()
	}
	response.Phase = rec.phase
	response.Owner = uint64(rec.owner)
	response.Epoch = rec.epoch
	response.Index = rec.index
	response.FirstInQueue = r.isFirst(rec)
	response.OwnerRequestID = rec.requestID
	response.Rows = rec.rows
	if rec.phase == Started {
		last := rec.lastAttempt()
		response.ClientTimeout = rec.clientTimeout
		response.Engine = last.engine
		response.StartedRequestID = last.requestID
		response.Class = rec.class
		response.OrderKey = rec.orderKey
		response.StatementDigest = rec.statementDigest
	}
	return response.Encode()
}
