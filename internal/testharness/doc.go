// Package testharness is the repository's test harness. It runs the program in processes, with stubs of the systems
// around it: engines, the discovery service and clients. It uses loopback addresses only. Tests and measurement tools
// share it.
//
// It has three levels:
//
//   - One front end as a process, with stub engines, a stub discovery service and clients (harness.go). The clients
//     and stubs implement the protocols independently of the program's own codecs, so that an error in a codec can't
//     go unnoticed because both sides share it.
//   - A fault-injecting proxy between two front ends (faultproxy.go).
//   - A whole fleet of front ends as processes, with a proxy on each path between two of them, engines that record
//     their executions, and a workload generator (fleet.go). What clients and engines observe is recorded as a
//     history, which package history checks.
//
// Functions that take a *testing.T, or that are methods of a value created with one, fail the test immediately if a
// system call fails, if the program can't be started, or if a condition isn't met within WaitTimeout. Functions that
// return an error leave it to the test how to handle it. Everything that was started is stopped at the end of the test.
package testharness

import "time"

// WaitTimeout is the timeout of each wait for a condition; a test fails if its condition isn't met in time. The timeout
// is far longer than any condition takes, so that it only detects hangs and is no limit on performance.
const WaitTimeout = 20 * time.Second

// Intervals at which conditions are polled.
const (
	fastPollInterval   = time.Millisecond      // for state of this process, and files
	statusPollInterval = 20 * time.Millisecond // for state that has to be requested from a front end
)
