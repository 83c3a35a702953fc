package idempotencyclient

import (
	"chutechute/fleet/idempotency"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// ownership is what this front end knows about the ownership of a record.
type ownership uint8

const (
	notOwner         ownership = iota
	ownerBeforeStart           // it became the owner before any attempt was authorized: all attempts are its own
	ownerAfterStart            // it became the owner after another front end had started an attempt
)

// trackedRecord is a record of the registry as this front end last saw it, with the requests here that wait for it.
type trackedRecord struct {
	idempotencyKey  string
	orderKey        string
	statementDigest []byte
	registrations   []*gateway.Registration
	dispatched      *gateway.Registration // the one whose request was passed to the scheduler, or taken over
	ownership       ownership
	epoch           uint64
	index           uint64 // the log index of its registration, which orders the registry's queue; 0: not known
	firstIndex      uint64 // the first index that was known, which orders the requests here; 0: not registered yet
	phase           idempotency.Phase

	registered       bool   // a Register was answered, and the record was not withdrawn since
	registerProposal uint64 // the pending Register; 0 if there is none
	nextPoll         monotime.Micros
	nextWithdrawal   monotime.Micros // not before this time
	waitsForEarlier  bool            // it was first in the registry's queue, but an earlier request here has not ended
	countedAsWaiting bool            // its wait for another owner was counted

	completing       bool // a Complete is pending
	completingSince  monotime.Micros
	completeProposal uint64
	closed           bool // it is no longer tracked
}

// recordOf returns the record of a registration.
func recordOf(registration *gateway.Registration) *trackedRecord {
	return registration.StoreState.(*trackedRecord)
}

// newTrackedRecord returns a record for the first request here that has its idempotency key.
func newTrackedRecord(registration *gateway.Registration) *trackedRecord {
	request := registration.Call()
	t := &trackedRecord{
		idempotencyKey:  request.IdempotencyKey,
		orderKey:        request.OrderKey,
		statementDigest: statementDigest(request.Statement),
	}
	t.addRegistration(registration)
	return t
}

func (t *trackedRecord) addRegistration(registration *gateway.Registration) {
	registration.StoreState = t
	t.registrations = append(t.registrations, registration)
}

func (t *trackedRecord) removeRegistration(registration *gateway.Registration) {
	t.registrations = without(t.registrations, registration)
}

// isOwner reports whether this front end is the owner, as far as it knows.
func (t *trackedRecord) isOwner() bool { return t.ownership != notOwner }

// update sets the state of the record from the response to a Register.
func (t *trackedRecord) update(response idempotency.Response, isOwner bool) {
	t.epoch, t.index, t.phase = response.Epoch, response.Index, response.Phase
	switch {
	case !isOwner:
		t.ownership = notOwner
	case t.phase == idempotency.Waiting:
		t.ownership = ownerBeforeStart
	case t.ownership == notOwner:
		t.ownership = ownerAfterStart
	}
}

// loseOwnership records that this front end is no longer the owner, or does not know whether it is and which place the
// record has.
func (t *trackedRecord) loseOwnership() { t.ownership, t.dispatched, t.index = notOwner, nil, 0 }
