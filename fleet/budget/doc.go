// Package budget divides what the whole fleet may spend among its front ends, and divides it anew as their demand
// changes and as they come and go. Authority is the replicated state machine that records who has been granted what.
// LeaseHolder is one front end's side of it, which spends from memory (package account). Both are stepped: no I/O, no
// clock, no goroutines, and nothing depends on the order of a map.
//
// What is guaranteed, at all times, for every budget, in terms of what engines see in true time (w is any time span;
// an expense counts when the scheduler makes it, at most a quarter of a second and the transmission time before the
// engine has it):
//
//   - Rate of r per second with a burst of b: all front ends together spend at most r·w + b.
//   - Concurrency limit of n: at every instant at most n are in use, those of lost front ends included, until what uses
//     them has finished or can run no more.
//   - Total within a window: at most that is spent within any window.
//
// It holds through lost, stopped, partitioned and new front ends, lost disks, delayed, duplicated and reordered
// messages, changes of leader, two replicas that both believe to lead, and a total that is lowered in service. What it
// rests on:
//
//  1. The sum of what front ends may hold is part of the replicated state, and only a committed command adds to it. An
//     allocation that was granted counts until its lease holder has confirmed, in a report that was committed, that
//     another one is in force there; or until its lease has certainly expired.
//  2. Time spans, each measured on one machine's clock. A lease holder counts a lease from before it requested it; the
//     leader that lets it expire counts from after the command was applied, and adds the drift and a margin. So clocks
//     may differ by anything and drift by one part in account.ClockDriftDivisor. Beyond that (a machine whose
//     monotonic clock runs slower) a lease holder may spend for as long as its clock is behind; it stops with the first
//     response, which says that its lease has expired.
//  3. What moves from one front end to another moves empty: tokens are gone on one side before the first comes on the
//     other, a part of a concurrency limit is released when what used it has finished, and what was spent within a
//     window is available again a window later.
//  4. What a lost lease holder had in use of a concurrency limit is released only once its lease has expired and
//     everything it may have started has finished: the longest that it polls for an attempt (Spec.MaxAttemptDuration),
//     and the time after which engines cancel what nobody polls (replication.AbandonTimeout). Where its name has come
//     back with another incarnation, which the handshakes of connections establish for certain, the latter alone.
//  5. No two incarnations of one name live at once.
//
// It does not rest on the absence of messages, on wall clocks, on an order of messages or on who believes to lead.
package budget
