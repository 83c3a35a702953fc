package membership

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// Runs a full-size fleet in virtual time: 53 control members and 2,700 attached front ends in 23 zones. It checks that
// all views agree, and logs the traffic of front ends and control members when all start at once, at rest, while a
// tenth restarts within 10 s, and when a control member dies.
func TestFullFleet(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("CHUTECHUTE_LONG is not set")
	}
	const zones, size, span = 23, 2700, 10 * second
	var controlZones []string
	for i := range 53 {
		controlZones = append(controlZones, fmt.Sprintf("zone-%02d", i%zones))
	}
	f := newTestFleet(t, 1, controlZones...)
	f.run(second)
	for i := range size {
		f.attach(fmt.Sprintf("front-%04d", i), fmt.Sprintf("zone-%02d", i%zones))
	}
	runPhase(t, f, "all start", span)
	f.requireAgreement()
	runPhase(t, f, "at rest", span)
	for i := range size / 10 {
		f.schedule(monotime.Micros(i)*span/(size/10), func() { f.restartClient(f.clients[i*10]) })
	}
	runPhase(t, f, "a tenth restarts", span)
	f.run(5 * second)
	f.requireAgreement()
	f.stopServer(f.servers[7])
	runPhase(t, f, "a control member dies", span)
	require.Empty(t, f.errors)
	f.requireAgreement()
}

// runPhase advances the fleet by a span of time, and logs what the front ends and control members sent and received in
// it.
func runPhase(t *testing.T, f *testFleet, name string, span monotime.Micros) {
	for _, c := range f.clients {
		c.bytesIn, c.bytesOut = 0, 0
	}
	for _, s := range f.servers {
		s.bytesOut = 0
	}
	startedAt := time.Now()
	f.run(span)
	var incoming, outgoing, sentByControls []int
	snapshots, repairs := 0, 0
	for _, c := range f.clients {
		incoming, outgoing = append(incoming, c.bytesIn), append(outgoing, c.bytesOut)
		snapshots, repairs = snapshots+c.Counters.Snapshots, repairs+c.Counters.DigestRepairs
	}
	for _, s := range f.servers {
		sentByControls = append(sentByControls, s.bytesOut)
	}
	t.Logf("%s: KB/s received %s, sent %s, sent by each control member %s; %d snapshots, %d repairs so far; took %v",
		name, kilobytesPerSecond(incoming, span), kilobytesPerSecond(outgoing, span),
		kilobytesPerSecond(sentByControls, span), snapshots, repairs, time.Since(startedAt).Round(time.Millisecond))
}

// kilobytesPerSecond formats the mean and the maximum of several byte counts as rates over a span of time.
func kilobytesPerSecond(bytes []int, span monotime.Micros) string {
	spanSeconds := float64(span) / float64(second)
	sum := 0
	for _, n := range bytes {
		sum += n
	}
	mean, maximum := float64(sum)/float64(len(bytes)), float64(slices.Max(bytes))
	return fmt.Sprintf("%.2f mean, %.2f maximum", mean/spanSeconds/1000, maximum/spanSeconds/1000)
}
