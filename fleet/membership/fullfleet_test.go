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

// The whole fleet in virtual time: 53 control members and 2,700 front ends in 23 zones. It logs what each front end
// receives when all start at once, at rest, when a tenth restarts within 10 s, and when a control member dies.
func TestFullFleet(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("CHUTECHUTE_LONG is not set")
	}
	const zones, size, span = 23, 2700, 10 * second
	var in []string
	for i := range 53 {
		in = append(in, fmt.Sprintf("zone-%02d", i%zones))
	}
	r := newRig(t, 1, in...)
	r.run(second)
	for i := range size {
		r.attach(fmt.Sprintf("front-%04d", i), fmt.Sprintf("zone-%02d", i%zones))
	}
	phase(t, r, "all start", span)
	r.requireAgreement()
	phase(t, r, "at rest", span)
	for i := range size / 10 {
		r.schedule(monotime.Micros(i)*span/(size/10), func() { r.restart(r.clients[i*10]) })
	}
	phase(t, r, "a tenth restarts", span)
	r.run(5 * second)
	r.requireAgreement()
	r.stop(r.servers[7])
	phase(t, r, "a control member dies", span)
	require.Empty(t, r.errors)
	r.requireAgreement()
}

// phase runs the rig for a while and logs what each front end and control member sent and received in that time.
func phase(t *testing.T, r *rig, name string, length monotime.Micros) {
	for _, c := range r.clients {
		c.bytesIn, c.bytesOut = 0, 0
	}
	for _, s := range r.servers {
		s.bytesOut = 0
	}
	began := time.Now()
	r.run(length)
	var incoming, outgoing, served []int
	snapshots, repairs := 0, 0
	for _, c := range r.clients {
		incoming, outgoing = append(incoming, c.bytesIn), append(outgoing, c.bytesOut)
		snapshots, repairs = snapshots+c.Counters.Snapshots, repairs+c.Counters.DigestRepairs
	}
	for _, s := range r.servers {
		served = append(served, s.bytesOut)
	}
	t.Logf("%s: KB/s in %s, out %s; served by each %s; %d snapshots, %d repairs so far; ran %v",
		name, kilobytesPerSecond(incoming, length), kilobytesPerSecond(outgoing, length),
		kilobytesPerSecond(served, length), snapshots, repairs, time.Since(began).Round(time.Millisecond))
}

// kilobytesPerSecond describes the mean and the greatest of bytes that were sent in a time.
func kilobytesPerSecond(bytes []int, length monotime.Micros) string {
	seconds := float64(length) / float64(second)
	sum := 0
	for _, n := range bytes {
		sum += n
	}
	mean, greatest := float64(sum)/float64(len(bytes)), float64(slices.Max(bytes))
	return fmt.Sprintf("%.2f mean, %.2f most", mean/seconds/1000, greatest/seconds/1000)
}
