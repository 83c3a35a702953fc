// Package budget divides budgets that apply to the whole fleet among its front ends. It updates the division as their
// demand changes and as front ends join and leave. Authority is the replicated state machine that records all grants.
// LeaseHolder runs in each front end and receives its grants; spending needs no messages (see package account). Both
// are stepped: no I/O, no clock, no goroutines, and nothing depends on the iteration order of a map.
//
// The following limits hold at all times for every budget, as seen by the engines in true time. w is any time span. An
// expense counts when the scheduler makes it. It reaches the engine at most a quarter of a second plus the transmission
// time later.
//
//   - Rate of r per second with a burst of b: all front ends together spend at most r·w + b.
//   - Concurrency limit of n: at every instant at most n are in use. What a lost front end had in use counts until it
//     has finished or can no longer run.
//   - Total within a window: at most the total is spent within any window.
//
// The limits hold when front ends crash, pause, are partitioned or join, when disks are lost, when messages are
// delayed, duplicated or reordered, when the leader changes, when two replicas both believe that they are the leader,
// and when a total is lowered in service. They rely on the following:
//
//  1. The sum of what front ends may spend is part of the replicated state, and only a committed command increases it.
//     A granted allocation counts until its lease holder has confirmed, in a committed report, that a later one is in
//     force there, or until its lease has certainly expired.
//  2. Every time span is measured on one machine's clock. A lease holder counts a lease from before it requested it.
//     The leader that expires the lease counts from after the command was applied, and adds the drift and a margin. So
//     clocks may differ by any offset and drift by one part in account.ClockDriftDivisor. If a machine's monotonic
//     clock runs slower than that, its lease holder may overspend for as long as its clock lags behind. It stops with
//     the first response, which reports that its lease has expired.
//  3. What moves from one front end to another cannot be spent by both: tokens are discarded on one side before the
//     first accumulates on the other, a part of a concurrency limit is released when what used it has finished, and
//     what was spent within a window is available again a window later.
//  4. What a lost lease holder had in use of a concurrency limit is released only once its lease has expired and
//     everything that it may have started has finished. That takes the longest time for which it polls for an attempt
//     (Spec.MaxAttemptDuration) plus the time after which engines cancel what nobody polls for
//     (replication.AbandonTimeout). Only the latter counts if a newer incarnation of the front end exists, which the
//     handshakes of connections establish with certainty.
//  5. Two incarnations of one front end never run at the same time.
//
// They do not rely on missing messages, wall clocks, the order of messages, or on which replica believes that it is the
// leader.
package budget
