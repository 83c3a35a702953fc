// Package replication replicates state machines over front ends of a fleet. A command is committed by a majority of the
// voters before any front end acts on it or gets a response. Consensus is implemented by go.etcd.io/raft. This package
// defines what is proposed, answered and persisted, which front ends are replicas, and how a front end that lost its
// disk becomes a replica again.
//
// Guarantees:
//
//  1. A Committed response is given only after a majority of the voters then in force has persisted the command: on
//     disk if they have one, otherwise in the memory of a process that has not ended since.
//  2. A replica ID identifies a disk. It is drawn when the disk is empty (without a disk, at each start) and is never
//     used again. A replica that has forgotten its votes is therefore another replica, which counts for no majority
//     until a committed membership change has made it a voter.
//  3. All replicas apply the same commands in the same order. A checksum over all responses shows where they diverge.
//
// None of this depends on clocks, on the order of messages, or on the assumption that a silent process is dead. Time
// only decides when to start an election, and when to replace an unresponsive replica. Replacing a replica that is
// still alive is safe.
//
// Replica is a stepped module: events and time go in, actions come out. It does no I/O, reads no clock, and starts no
// goroutine.
package replication
