package idempotencyclient

import (
	"crypto/sha256"
	"slices"

	"chutechute/fleet/idempotency"
	"chutechute/fleet/replication"
	"chutechute/gateway"
	"chutechute/internal/monotime"
)

// statementDigestBytes is the length of a statement digest, a truncated SHA-256.
const statementDigestBytes = 16

// Proposer proposes commands to the replicated state machines; fleet.Node is one.
type Proposer interface {
	// Propose proposes a command, repeatedly until a response arrives. It returns an ID for Cancel, which is not 0. It
	// calls done once, with the response, unless the proposal is canceled first.
	Propose(
		now monotime.Micros, stateMachineID, version uint32, body []byte, done func(replication.Response),
	) (id uint64)
	// Cancel stops a proposal. Its command may still be committed.
	Cancel(id uint64)
	// PresumedDead reports whether an incarnation is presumed dead. It may be alive nevertheless.
	PresumedDead(incarnation uint64) bool
}

// TakeoverHandler is the part of the gateway that polls for attempts that other front ends started.
type TakeoverHandler interface {
	// TakeOver opens a request without a client for a started attempt. It returns the registration of the request, or
	// nil if this front end has an open request with the same ID.
	TakeOver(now monotime.Micros, takeover gateway.Takeover) *gateway.Registration
}

// Config holds the settings of a client.
type Config struct {
	Incarnation   uint64          // incarnation of this front end
	PollInterval  monotime.Micros // interval of polls for a request that is owned elsewhere or not first in its queue
	CommitTimeout monotime.Micros // how long an outcome is proposed before the request fails
	RetryAfter    monotime.Micros // after which a client may retry a rejected request
}

// Client is a front end's client of the registry.
type Client struct {
	config          Config
	proposer        Proposer
	takeoverHandler TakeoverHandler
	now             monotime.Micros
	tracked         map[string]*trackedRecord   // by idempotency key
	ordered         []*trackedRecord            // the values of tracked, in the order in which they were added
	byOrderKey      map[string][]*trackedRecord // the same, of each order key

	Conflicts     int // requests rejected because their idempotency key was used with another statement
	TakenOver     int // unstarted requests taken over from a front end that is presumed dead
	WaitsForOwner int // records for which requests here waited because another front end was the owner
	Committed     int // outcomes committed by this front end
}

var _ gateway.IdempotencyStore = (*Client)(nil)

// New returns a client that tracks no records.
func New(config Config, proposer Proposer, takeoverHandler TakeoverHandler) *Client {
	return &Client{
		config:          config,
		proposer:        proposer,
		takeoverHandler: takeoverHandler,
		tracked:         map[string]*trackedRecord{},
		byOrderKey:      map[string][]*trackedRecord{},
	}
}

// SetNow sets the time at which responses before the next Tick are handled.
func (c *Client) SetNow(now monotime.Micros) { c.now = now }

// Len returns the number of tracked records.
func (c *Client) Len() int { return len(c.ordered) }

// Tick advances the client's time. It polls for the requests that are due, fails those whose outcome was not committed
// within CommitTimeout, and rejects those whose statement differs from that of their record.
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

// responseHandler handles the response to a command. committed is false if the command was not committed or the
// response is malformed.
type responseHandler func(response idempotency.Response, committed bool)

// ignoreResponse is the handler for commands whose effect is seen in later responses.
func ignoreResponse(idempotency.Response, bool) {}

// propose proposes a command to the registry.
func (c *Client) propose(command *idempotency.Command, handle responseHandler) (id uint64) {
	done := func(reply replication.Response) {
		response, err := idempotency.DecodeResponse(reply.Body)
		handle(response, err == nil && reply.Result == replication.Committed)
	}
	return c.proposer.Propose(c.now, idempotency.StateMachineID, idempotency.CommandVersion, command.Encode(), done)
}

// track starts to track a record.
func (c *Client) track(t *trackedRecord) {
	c.tracked[t.idempotencyKey] = t
	c.ordered = append(c.ordered, t)
	c.addToOrderKey(t)
}

// close stops tracking a record and returns the registrations that waited for it.
func (c *Client) close(t *trackedRecord) (waiting []*gateway.Registration) {
	waiting, t.registrations = t.registrations, nil
	if !t.closed {
		t.closed = true
		delete(c.tracked, t.idempotencyKey)
		c.ordered = without(c.ordered, t)
		c.removeFromOrderKey(t)
	}
	return waiting
}

// finish closes a record and delivers its outcome to all requests that wait for it.
func (c *Client) finish(t *trackedRecord, served bool, rows []byte) {
	for _, registration := range c.close(t) {
		registration.Finish(c.now, served, rows)
	}
}

// rejectAll closes a record and rejects all requests that wait for it.
func (c *Client) rejectAll(t *trackedRecord) {
	for _, registration := range c.close(t) {
		registration.Reject(c.now, c.config.RetryAfter)
	}
}

func statementDigest(statement []byte) []byte {
	sum := sha256.Sum256(statement)
	return sum[:statementDigestBytes]
}

// without returns the list without the first occurrence of a value. It does not modify the list, as a caller may be
// iterating over it.
func without[T comparable](list []T, value T) []T {
	i := slices.Index(list, value)
	if i < 0 {
		return list
	}
	return append(list[:i:i], list[i+1:]...)
}
