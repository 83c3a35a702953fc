package idempotencyclient

import (
	"crypto/sha256"
	"slices"

	"chutechute/fleet/idempotency"
	"chutechute/fleet/replication"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// statementDigestBytes is the length of a statement's digest, the head of its SHA-256.
const statementDigestBytes = 16

// Proposer proposes commands to the replicated state machines; fleet.Node is one.
type Proposer interface {
	// Propose proposes a command until it is answered. It returns an id for Cancel, which is not 0; done is called
	// once, with the response, unless the proposal is canceled before.
	Propose(now monotime.Micros, stateMachine, version uint32, body []byte, done func(replication.Response)) (id uint64)
	// Cancel ends a proposal. Its command may be committed nevertheless.
	Cancel(id uint64)
	// PresumedDead reports whether the process of the incarnation is presumed dead, which is a guess.
	PresumedDead(incarnation uint64) bool
}

// TakeoverHandler is the part of the gateway that polls for attempts that another front end has started.
type TakeoverHandler interface {
	// TakeOver opens a request without a client for a started attempt, and returns its registration, or nil where this
	// front end has an open request of the same id.
	TakeOver(now monotime.Micros, takeover gateway.Takeover) *gateway.Registration
}

// Config has the settings of a client.
type Config struct {
	Incarnation   uint64          // of this front end's process
	PollInterval  monotime.Micros // between polls for a request that another owns, or that is not first of its key
	CommitTimeout monotime.Micros // how long an outcome is proposed until the request fails
	RetryAfter    monotime.Micros // when a client may retry a request that was rejected
}

// Client is one front end's side of the registry.
type Client struct {
	config   Config
	proposer Proposer
	core     TakeoverHandler
	now      monotime.Micros
	tracked  map[string]*trackedRecord // by idempotency key
	ordered  []*trackedRecord          // those of tracked, in the order in which they came

	Conflicts   int // requests rejected because their idempotency key was used with another statement
	TakenOver   int // unstarted requests taken over from a front end that is presumed dead
	JoinedWaits int // records whose requests here waited for another front end, which is the owner
	Committed   int // outcomes committed by this front end
}

var _ gateway.IdempotencyStore = (*Client)(nil)

// New returns a client that tracks no requests.
func New(config Config, proposer Proposer, core TakeoverHandler) *Client {
	return &Client{config: config, proposer: proposer, core: core, tracked: map[string]*trackedRecord{}}
}

// SetNow sets the time for responses that come before the next Tick.
func (c *Client) SetNow(now monotime.Micros) { c.now = now }

// Len returns the number of records that are tracked.
func (c *Client) Len() int { return len(c.ordered) }

// Tick lets time pass: it polls for requests and fails those whose outcome could not be committed in time.
func (c *Client) Tick(now monotime.Micros) {
	c.now = now
	for _, t := range slices.Clone(c.ordered) {
		c.rejectOtherStatements(t)
		switch {
		case t.closed:
		case t.completing && now-t.completingSince >= c.config.CommitTimeout:
			c.proposer.Cancel(t.completeProposal)
			c.finish(t, false, nil)
		case t.dispatched == nil && now >= t.nextPoll:
			c.register(t, false)
		}
	}
}

// responseHandler gets the response to a command; committed is false where the command was not committed, or the
// response is malformed.
type responseHandler func(response idempotency.Response, committed bool)

// ignoreResponse is for commands whose effect shows by other responses.
func ignoreResponse(idempotency.Response, bool) {}

// propose proposes a command to the registry.
func (c *Client) propose(command *idempotency.Command, handle responseHandler) (id uint64) {
	done := func(reply replication.Response) {
		response, err := idempotency.DecodeResponse(reply.Body)
		handle(response, err == nil && reply.Result == replication.Committed)
	}
	return c.proposer.Propose(c.now, idempotency.StateMachineID, idempotency.CommandVersion, command.Encode(), done)
}

// track begins to track a record.
func (c *Client) track(t *trackedRecord) {
	c.tracked[t.idempotencyKey] = t
	c.ordered = append(c.ordered, t)
}

// close ends the tracking of a record, and returns the registrations that waited for it.
func (c *Client) close(t *trackedRecord) (waiting []*gateway.Registration) {
	waiting, t.registrations = t.registrations, nil
	if !t.closed {
		t.closed = true
		delete(c.tracked, t.idempotencyKey)
		c.ordered = without(c.ordered, t)
	}
	return waiting
}

// finish gives all that wait for a record its outcome, and closes it.
func (c *Client) finish(t *trackedRecord, served bool, rows []byte) {
	for _, registration := range c.close(t) {
		registration.Finish(c.now, served, rows)
	}
}

// rejectAll rejects all that wait for a record, and closes it.
func (c *Client) rejectAll(t *trackedRecord) {
	for _, registration := range c.close(t) {
		registration.Reject(c.now, c.config.RetryAfter)
	}
}

func statementDigest(statement []byte) []byte {
	sum := sha256.Sum256(statement)
	return sum[:statementDigestBytes]
}

// without returns a list without a value. The list itself is not changed, as a caller may iterate over it.
func without[T comparable](list []T, value T) []T {
	i := slices.Index(list, value)
	if i < 0 {
		return list
	}
	return append(list[:i:i], list[i+1:]...)
}
