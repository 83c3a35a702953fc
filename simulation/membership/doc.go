// Package membership simulates the membership of a whole fleet in one process and in virtual time. The modules
// under test are those of the program, unchanged: membership.Client in attached front ends, and membership.Server
// with heartbeat.Monitor in control members. The network, the clocks, the processes and the faults are simulated; one
// seed determines everything that is random.
//
// A run starts the fleet, waits until all views agree, injects the faults of a Scenario or a script during the
// measured part, ends all faults, and waits for convergence again. It counts the traffic of each role, measures
// detection times and propagation delays, and compares every view with the ground truth.
//
// The simulation never sleeps or reads a real clock, so the same seed gives the same figures. The one exception is
// processor time, which is measured only if Options asks for it, and which no test asserts.
//
// Simplifications:
//   - A message is lost as a whole, and the transport never sends it again. This is harsher than TCP, which
//     retransmits.
//   - Bytes of TCP, TLS and acknowledgements are not counted.
//   - Heartbeats among control members lack the fields of the replicated log (about 40 bytes), and are decoded once for
//     all receivers unless processor time is measured.
package membership
