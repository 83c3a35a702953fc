package idempotency

import (
	"bytes"
	"slices"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

const (
	// recordOverheadBytes is what a record takes besides its texts.
	recordOverheadBytes = 400
	// MaxOutcomeBytes is the largest size of an outcome's rows, by the protocol.
	MaxOutcomeBytes = 48_000
)

// record is the replicated state of one idempotent request, and what this replica measured about it.
type record struct {
	idempotencyKey  string
	orderKey        string
	tenant          string
	class           string
	statementDigest []byte
	requestID       string // of the registration that the owner holds
	ttl             uint64 // microseconds that its client waits
	index           uint64 // the log index of the registration
	owner           replication.Incarnation
	epoch           uint64 // the log index at which the owner got the record
	phase           Phase
	attempts        []attempt // those authorized, in order
	rows            []byte
	watchers        []replication.Incarnation // front ends that are notified of the outcome
	changedIndex    uint64                    // the log index of the last change

	// Readings of this machine's clock, which are no part of the replicated state.
	registeredAt  monotime.Micros // of the last Register or OfferTransfer that gave it an owner
	changedAt     monotime.Micros // of the last change or offered transfer
	ownerMissedAt monotime.Micros // since when its owner is presumed dead; 0 if it is not
}

// attempt is one that was authorized, and may have started.
type attempt struct {
	number    uint64
	engine    string
	requestID string
	owner     replication.Incarnation // the owner that was authorized
}

// newRecord returns the record of a request that is registered for the first time.
func newRecord(c *committedCommand) *record {
	return &record{
		idempotencyKey:  c.IdempotencyKey,
		orderKey:        c.OrderKey,
		tenant:          c.Tenant,
		class:           c.Class,
		statementDigest: c.StatementDigest,
		requestID:       c.RequestID,
		ttl:             c.ClientTimeout,
		index:           c.Index,
		owner:           c.proposer,
		epoch:           c.Index,
		phase:           Waiting,
		changedIndex:    c.Index,
		registeredAt:    c.Now,
		changedAt:       c.Now,
	}
}

// size returns the bytes that a record is accounted with. One without an outcome reserves those of the largest outcome.
func (rec *record) size() int {
	texts := len(rec.idempotencyKey) + len(rec.orderKey) + len(rec.tenant) + len(rec.class) + len(rec.statementDigest)
	if rec.phase.Finished() {
		return recordOverheadBytes + texts + len(rec.rows)
	}
	return recordOverheadBytes + texts + MaxOutcomeBytes
}

// sameRequest reports whether a Register is for the request of the record, and not another one under its key.
func (rec *record) sameRequest(c *committedCommand) bool {
	return bytes.Equal(rec.statementDigest, c.StatementDigest) && rec.orderKey == c.OrderKey && rec.class == c.Class
}

// ownedBy reports whether a command comes from the owner in the epoch in force.
func (rec *record) ownedBy(c *committedCommand) bool {
	return rec.owner == c.proposer && rec.epoch == c.Epoch
}

// lastAttempt returns the attempt that was authorized last. The request must be started.
func (rec *record) lastAttempt() *attempt { return &rec.attempts[len(rec.attempts)-1] }

// hasAttempt reports whether the attempt with the number was authorized.
func (rec *record) hasAttempt(number uint64) bool {
	return slices.ContainsFunc(rec.attempts, func(a attempt) bool { return a.number == number })
}

// setOwner gives the record an owner, in a new epoch.
func (rec *record) setOwner(c *committedCommand, owner replication.Incarnation) {
	rec.owner, rec.epoch, rec.changedIndex = owner, c.Index, c.Index
}

// assignToProposer makes the proposer of a Register the owner, with its registration of the request.
func (rec *record) assignToProposer(c *committedCommand) {
	rec.setOwner(c, c.proposer)
	rec.requestID, rec.ttl = c.RequestID, c.ClientTimeout
	rec.registeredAt, rec.changedAt = c.Now, c.Now
}
