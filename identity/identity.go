// Package identity authenticates and authorizes the callers of requests.
//
// A Guard takes credentials (tokens and client certificates), public keys, revocations, rights and the current time as
// input. It decides which caller the credentials identify, whether that caller may send a query of a given class that
// reads a given table group, and how many requests the caller may have open.
//
// The package does no I/O, reads no clock and starts no goroutine. Signatures are checked by the Verifier that is
// passed to New, at a limited rate. A denied request never reaches package scheduler.
package identity
