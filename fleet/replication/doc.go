// Package replication replicates state machines over front ends of a fleet: what one of them promises on behalf of
// all is committed by a majority of the replicas before anybody acts on it or gets a response. Consensus is the work
// of go.etcd.io/raft. This package has what is proposed, answered and persisted, which front ends are replicas, and
// how a front end that lost its disk becomes a replica again.
//
// Guarantees:
//
//  1. A Committed response is given only after a majority of the replicas then in force had persisted the command:
//     on disk if they have one, otherwise in the memory of a process that has run without a break since.
//  2. A replica is its disk. Its ID is drawn with an empty disk (or, without a disk, at each start) and never again.
//     A replica that has forgotten its votes is therefore another replica, which counts for no majority until a
//     committed membership change has made it a voter.
//  3. All replicas apply the same commands in the same order. A checksum over all responses shows where they diverge.
//
// None of this depends on clocks, on silence meaning death, or on the order of messages. Time only decides when to
// start an election, and when to replace a replica that has not been heard from, which is safe even if it is alive.
//
// Replica is a stepped module: events and time go in, actions come out. It does no I/O, reads no clock, and starts no
// goroutine.
package replication
