// Package identity authenticates and authorizes the callers of requests.
//
// A Guard is fed with credentials (tokens and client certificates), public keys, revocations, rights and time. It
// decides which caller the credentials stand for, whether that caller may send a query of a class that reads a
// group of tables, and how many calls the caller may have open.
//
// The package does no I/O, reads no clock and starts no goroutine. Signatures are checked by a Verifier that the
// Guard is given, within a budget. A call that is denied never reaches package scheduler.
package identity
