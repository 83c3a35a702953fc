package idempotencyclient

import (
	"chutechute/fleet/idempotency"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// ownership is what this front end knows of who owns a record.
type ownership uint8

const (
	notOwner         ownership = iota
	ownerBeforeStart           // it was the owner while nothing was started: what has started since is its own
	ownerAfterStart            // it got the record with an attempt that another front end had started
)

// trackedRecord is a record of the registry as this front end last saw it, with all requests here for it.
type trackedRecord struct {
	idempotencyKey  string
	orderKey        string
	statementDigest []byte
	registrations   []*gateway.Registration
	dispatched      *gateway.Registration // the one whose request the scheduler has
	ownership       ownership
	epoch           uint64
	phase           idempotency.Phase

	registered       bool   // the first Register was answered
	registerProposal uint64 // the Register that is pending; 0 without one
	nextPoll         monotime.Micros
	joinedWait       bool // it was counted as waiting for another front end

	completing       bool // a Complete is pending
	completingSince  monotime.Micros
	completeProposal uint64
	closed           bool // it is tracked no more
}

// recordOf returns the record that a registration is for.
func recordOf(registration *gateway.Registration) *trackedRecord {
	return registration.StoreState.(*trackedRecord)
}

// newTrackedRecord returns the record of the first request for it that came here.
func newTrackedRecord(registration *gateway.Registration) *trackedRecord {
	call := registration.Call()
	t := &trackedRecord{
		idempotencyKey:  call.IdempotencyKey,
		orderKey:        call.OrderKey,
		statementDigest: statementDigest(call.Statement),
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

// update sets the state that the response to a Register shows.
func (t *trackedRecord) update(response idempotency.Response, isOwner bool) {
	t.epoch, t.phase = response.Epoch, response.Phase
	switch {
	case !isOwner:
		t.ownership = notOwner
	case t.phase == idempotency.Waiting:
		t.ownership = ownerBeforeStart
	case t.ownership == notOwner:
		t.ownership = ownerAfterStart
	}
}

// loseOwnership notes that this front end owns the record no more, or can't tell.
func (t *trackedRecord) loseOwnership() { t.ownership, t.dispatched = notOwner, nil }
