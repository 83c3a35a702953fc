package idempotency

import (
	"bytes"
	"slices"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

const (
	// recordOverheadBytes is the size that a record is accounted with besides its strings, digest and rows.
	recordOverheadBytes = 400
	// MaxOutcomeBytes is the largest size of an outcome's rows that the protocol allows.
	MaxOutcomeBytes = 48_000
)

// record is the replicated state of one idempotent request, with local timestamps of this replica.
type record struct {
	idempotencyKey  string
	orderKey        string
	tenant          string
	class           string
	statementDigest []byte
	requestID       string // of the request that the owner registered
	clientTimeout   uint64 // microseconds that the client of that request waits
	index           uint64 // the log index of the registration
	owner           replication.Incarnation
	epoch           uint64 // the log index at which the owner became the owner
	phase           Phase
	attempts        []attempt // authorized attempts, in the order of their commits
	rows            []byte
	watchers        []replication.Incarnation // front ends that are notified of the outcome
	changedIndex    uint64                    // the log index of the last change

	// Times by this machine's clock. They are not part of the replicated state.
	registeredAt           monotime.Micros // when the last Register or OfferTransfer set an owner
	changedAt              monotime.Micros // when the record last changed or a transfer was offered
	ownerPresumedDeadSince monotime.Micros // 0 while the owner is not presumed dead
}

// attempt is an authorized attempt, which may have started.
type attempt struct {
	number    uint64
	engine    string
	requestID string
	owner     replication.Incarnation // the owner at the time of the authorization
}

// newRecord returns the record for the first Register of a request.
func newRecord(c *committedCommand) *record {
	return &record{
		idempotencyKey:  c.IdempotencyKey,
		orderKey:        c.OrderKey,
		tenant:          c.Tenant,
		class:           c.Class,
		statementDigest: c.StatementDigest,
		requestID:       c.RequestID,
		clientTimeout:   c.ClientTimeout,
		index:           c.Index,
		owner:           c.proposer,
		epoch:           c.Index,
		phase:           Waiting,
		changedIndex:    c.Index,
		registeredAt:    c.Now,
		changedAt:       c.Now,
	}
}

// size returns the bytes that the record is accounted with. Until it has an outcome, it reserves the bytes of the
// largest outcome.
func (rec *record) size() int {
	texts := len(rec.idempotencyKey) + len(rec.orderKey) + len(rec.tenant) + len(rec.class) + len(rec.statementDigest)
	if rec.phase.Finished() {
		return recordOverheadBytes + texts + len(rec.rows)
	}
	return recordOverheadBytes + texts + MaxOutcomeBytes
}

// sameRequest reports whether a Register is for the record's request, and not for another one with the same key.
func (rec *record) sameRequest(c *committedCommand) bool {
	return bytes.Equal(rec.statementDigest, c.StatementDigest) && rec.orderKey == c.OrderKey && rec.class == c.Class
}

// ownedBy reports whether a command comes from the owner in the current epoch.
func (rec *record) ownedBy(c *committedCommand) bool {
	return rec.owner == c.proposer && rec.epoch == c.Epoch
}

// lastAttempt returns the attempt that was authorized last. The phase must be Started.
func (rec *record) lastAttempt() *attempt { return &rec.attempts[len(rec.attempts)-1] }

// hasAttempt reports whether the attempt with the number was authorized.
func (rec *record) hasAttempt(number uint64) bool {
	return slices.ContainsFunc(rec.attempts, func(a attempt) bool { return a.number == number })
}

// setOwner sets the owner of the record and begins a new epoch.
func (rec *record) setOwner(c *committedCommand, owner replication.Incarnation) {
	rec.owner, rec.epoch, rec.changedIndex = owner, c.Index, c.Index
}

// assignToProposer makes the proposer of a Register the owner, with the request ID and timeout of its Register.
func (rec *record) assignToProposer(c *committedCommand) {
	rec.setOwner(c, c.proposer)
	rec.requestID, rec.clientTimeout = c.RequestID, c.ClientTimeout
	rec.registeredAt, rec.changedAt = c.Now, c.Now
}
