// Package fleet is one front end as a part of a fleet: it joins the failure detector (package heartbeat), the
// replicated log (package replication), the membership of attached front ends (package membership), and the
// proposals of this front end. It is a stepped module: messages and time go in, messages and writes come out. It
// does no I/O, reads no clock and starts no goroutine, so that the same code runs in processes and in virtual time.
//
// A front end has one of two roles. A Node is a control member, one that the settings name: it exchanges heartbeats
// with all other control members and may have a replica of the log. An AttachedNode is an attached front end, one
// that the settings do not name: it has links to two control members, receives its view of the fleet from one of
// them, and sends its proposals by way of that one.
//
// # Bootstrap
//
// A front end with an empty disk cannot tell by itself whether the fleet is new or its own disk was lost. Therefore
// a replicated log is bootstrapped only where all control members are alive and report that they belong to none.
// One survivor of an earlier log, or one control member that cannot be reached and might be such a survivor, keeps
// all others from bootstrapping a second log.
package fleet
