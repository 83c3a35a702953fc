// Package membership plays the membership of a whole fleet in one process and in virtual time: attached front ends
// (membership.Client), control members (membership.Server, and among one another heartbeat.Monitor with heartbeats to all), unchanged, over a
// network and clocks of its own that one seed drives. It counts what each role sends and receives, how long changes take to reach
// the last member alive, and compares every view with the truth.
//
// Nothing here waits or reads a clock; the same seed gives the same figures. The one exception is the processor time, which is
// measured only where Options.Processor asks for it and is never part of what tests assert.
//
// What is simplified: a message is lost as a whole and never sent again by the transport, which is harsher than a stream that
// repeats it; bytes of TCP, TLS and acknowledgements are not counted; heartbeats among control members lack the fields about the
// record (about 40 bytes), and are read once for all receivers unless the processor time is measured.
package membership

import "chutechute/internal/monotime"

const minute = 60 * monotime.Second
