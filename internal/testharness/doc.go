// Package testharness is the test harness of the repository: it runs the program in processes of its own, and plays
// what surrounds them. All of it stays on loopback addresses, and tests and measuring tools share it.
//
// It has three levels:
//
//   - One front end as a process, with stub engines, a stub discovery service and clients (harness.go). The clients
//     and stubs are written from the protocol, apart from the program's own codecs, so that both can't be wrong
//     alike.
//   - A fault-injecting proxy between two front ends (faultproxy.go).
//   - A whole fleet of front ends as processes, with a proxy on each path between two of them, engines that record
//     what they run, and a workload generator (fleet.go). What clients and engines saw is recorded as a history,
//     which package history checks.
//
// Functions that have a *testing.T, or belong to something that was made with one, fail the test at once where a
// call of the system fails, where the program can't be started, or where a condition isn't reached within the
// timeout of each wait. Functions that return an error leave the verdict to the test. All that is started is
// stopped with the test.
package testharness

import "time"

// WaitTimeout is the timeout of each wait for a condition: a test fails whose condition isn't reached within it. It
// is far above what any condition needs, so that it measures nothing.
const WaitTimeout = 20 * time.Second

// The intervals at which conditions are polled.
const (
	fastPollInterval   = time.Millisecond      // of what this process or a file shows
	statusPollInterval = 20 * time.Millisecond // of what needs a request to a front end
)
