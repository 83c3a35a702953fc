// Package idempotency implements the registry of idempotent requests: requests with an idempotency key that must run at
// most once, whichever front ends their client sends them to. The registry is a replicated state machine. It records
// which front end owns a request, the order in which the requests of an order key run, which attempts were authorized
// and what the outcome was. It performs no I/O, reads no clock and does not iterate over maps, so that all replicas
// that apply the same committed commands reach the same state.
//
// Terms of this package:
//
//   - A record is the registry's state of one idempotent request. Repeats of the request with the same idempotency key
//     share one record.
//   - The owner is the only incarnation of a front end that may start attempts of the request.
//   - The epoch is a fencing token: the log index at which the owner became the owner. No two epochs are equal.
//   - An order key identifies a queue. The requests of one order key run one at a time, in the order in which their
//     registrations were committed.
//
// The registry guarantees the following, as clients and engines observe it in true time:
//
//  1. No attempt of a request reaches an engine unless an AuthorizeAttempt of its owner, in the current epoch, was
//     committed before. Once a request was taken over, has an outcome or was removed, its earlier owner therefore
//     starts nothing: any AuthorizeAttempt that it still proposes is rejected, whatever state it has seen. An epoch is
//     a log index, so it is never used twice, not even if a record is removed and registered again: a late or
//     duplicated command carries an epoch that is no longer current.
//  2. A request with a committed AuthorizeAttempt is never taken over by a front end that would start it. Front ends
//     that register it again wait for its outcome. If its owner is unreachable, an OfferTransfer makes another front
//     end the owner. The new owner polls the engine for the started attempt and starts nothing; from then on the
//     AuthorizeAttempt and Complete commands of the old owner are rejected. An attempt that was authorized before may
//     still be sent for as long as the gateway uses an authorization, counted from before it was proposed. That is
//     shorter than the time for which the new owner waits if the engine does not know the attempt.
//  3. A request has one outcome: the first one committed. Every later repeat receives this outcome and its rows, until
//     the record is evicted.
//  4. Among the requests of an order key, AuthorizeAttempt succeeds only for the first in the order of commits. A
//     request leaves the queue only with its outcome, which its owner commits when no attempt is running, or by an
//     Expire.
//  5. An Expire depends on durations only. The owner starts attempts of a request, and polls for them, no longer than
//     the client's timeout, counted from before the Register was proposed; engines end a query that is not polled for
//     2 s. The leader counts from when it applied the Register, which is later, adds the maximum clock drift and the
//     2 s, and only then proposes the Expire.
package idempotency
