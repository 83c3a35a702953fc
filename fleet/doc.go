// Package fleet implements one front end's part in a fleet. It combines the failure detector (package heartbeat), the
// replicated log (package replication), the membership of attached front ends (package membership), and the
// proposals of this front end. It is a stepped module: the caller passes in received messages and the time, and
// carries out the returned actions, which send messages and write to the disk. The package does no I/O, reads no clock
// and starts no goroutine, so that the same code runs in real processes and in simulations with virtual time.
//
// A front end has one of two roles. A control member is named in the settings. Its Node exchanges heartbeats with all
// other control members and may have a replica of the log. An attached front end is not named in the settings. Its
// AttachedNode has links to two control members, receives its view of the fleet from one of them, the home, and sends
// its proposals through the home.
//
// # Bootstrap
//
// A front end with an empty disk cannot tell by itself whether the fleet is new or its own disk was lost. Therefore
// a replicated log is bootstrapped only while all control members are alive and report that they belong to none. A
// single member of an earlier log, or a single control member that cannot be reached and might be one, prevents the
// bootstrap of a second log.
package fleet
