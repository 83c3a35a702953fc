// Package idempotencyclient implements a front end's client of the registry of idempotent requests (package
// idempotency). The client registers the requests that this front end receives, waits until they are first in their
// queue, has attempts authorized before they start, commits outcomes before clients receive them, and makes a repeat
// wait for the outcome of the request that is already registered. It is the gateway's IdempotencyStore, and a stepped
// module: it performs no I/O, reads no clock, starts no goroutines and does not iterate over maps.
//
// In addition to what package idempotency guarantees, it guarantees:
//
//  1. Clients receive rows only from the registry: those of the first outcome that was committed.
//  2. A request that this front end may no longer start (an authorization was rejected, the request was taken over, or
//     its client's timeout has passed) is not started here later: a late authorization is not used, and the registry
//     is informed that nothing ran.
//  3. A request is rejected only if, as far as this front end can know, none of its attempts may have started. The
//     rejected request itself never runs later.
package idempotencyclient
