// Package idempotency has the registry of idempotent requests: requests with an idempotency key that must run at most
// once, whichever front ends their client sends them to. The registry is a replicated state machine. It knows which
// front end owns a request, in which order the requests of one order key run, which attempts were authorized and what
// the outcome was. It has no I/O, no clock and no iteration over maps: every replica applies the same committed
// commands to it and reaches the same state.
//
// The words of this package:
//
//   - A record is the registry's state of one idempotent request. Retries of the request with the same idempotency
//     key meet the same record.
//   - The owner is the front end process (an incarnation) that alone may start attempts of the request.
//   - The epoch is a fencing token: the log index at which the owner got the record. It differs each time.
//   - An order key names a queue. The requests of one order key run one at a time, in the order of their commits.
//
// What it guarantees, in terms of what clients and engines see in true time:
//
//  1. No attempt of a request reaches an engine unless an AuthorizeAttempt of its owner, in the epoch in force, was
//     committed before. So after a request was taken over, has an outcome, or was removed, nothing of the earlier
//     owner starts: an AuthorizeAttempt that it still proposes is denied, whatever it believes. An epoch is the log
//     index at which an owner got the record, so none comes twice, not even where a record is removed and registered
//     anew: a command that comes late, or twice, meets another epoch.
//  2. A request with a committed AuthorizeAttempt is never taken over by a front end that wants to start it. Whoever
//     finds one waits for its outcome. Where its owner is unreachable, an OfferTransfer makes another front end the
//     owner, which polls the engine for the attempt that was started and starts nothing: the old owner's
//     AuthorizeAttempt and Complete commands are denied from then on. An attempt that was authorized before may still
//     be sent for as long as the gateway uses an authorization, counted from before it proposed it, which is less
//     than the span that the new owner waits where the engine does not know the attempt.
//  3. A request has one outcome: the first committed. It and its rows are what every later retry gets, until the
//     record is evicted.
//  4. Of one order key, an AuthorizeAttempt succeeds only for the request that is first in the order of commits; a
//     request leaves the queue with its outcome only, which its owner commits once no attempt of it runs any more, or
//     with an Expire.
//  5. An Expire rests on durations only: the owner starts attempts and polls for a request no later than the client's
//     timeout, counted from before the Register was proposed, and engines end a query that is not polled for 2 s. The
//     leader counts from when it applied the Register, which is later, adds the maximal clock drift and the 2 s, and
//     only then proposes.
package idempotency
