// Package idempotencyclient has one front end's side of the registry of idempotent requests (package idempotency). It
// registers the requests that this front end received, waits for their turn, has attempts authorized before they
// start, commits outcomes before clients get them, and has a retry wait for the outcome of the request that exists. It
// is the gateway's IdempotencyStore, and a stepped module: it has no I/O, no clock, no goroutines and no iteration over
// maps.
//
// What it guarantees, besides what package idempotency guarantees of the registry:
//
//  1. A client gets rows only as the registry has them: those of the first outcome that was committed.
//  2. A request that this front end may not start any more (denied, taken over, its client's timeout passed) is never
//     started by it later: an authorization that comes then is not used, and the registry is told that nothing ran.
//  3. A request is rejected only where no attempt of it, as far as this front end can know, may have started; and of
//     the rejected call itself nothing ever will.
package idempotencyclient
