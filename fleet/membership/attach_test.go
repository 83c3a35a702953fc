package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// newThreeZoneFleet returns a fleet of three zones with two control members each. The clients are assigned to the zones
// in turn.
func newThreeZoneFleet(t testing.TB, seed uint64, clients int) *testFleet {
	f := newTestFleet(t, seed, "za", "za", "zb", "zb", "zc", "zc")
	for i := range clients {
		f.attach(fmt.Sprintf("f%03d", i), []string{"za", "zb", "zc"}[i%3])
	}
	return f
}

// Every front end, of either role, sees all attached front ends, each with the home that serves its view. At rest only
// heartbeats and their answers are sent.
func TestAttachedFrontEndsAreSeenByAll(t *testing.T) {
	f := newThreeZoneFleet(t, 1, 30)
	f.run(10 * second)
	f.requireAgreement()
	require.Equal(t, 36, f.servers[0].View().Len())
	require.Empty(t, f.errors)
	for _, c := range f.clients {
		home := f.serversByName[c.Home()]
		require.Equal(t, c.cfg.Zone, home.cfg.Zone, "the home is in the client's zone")
		require.Len(t, c.Targets(f.now), 2)
		require.LessOrEqual(t, c.Counters.Snapshots+c.Counters.DigestRepairs, 2)
		c.bytesIn, c.bytesOut = 0, 0
	}
	f.run(10 * second)
	for _, c := range f.clients {
		require.Less(t, c.bytesIn, 10*300, "bytes received in 10 s at rest")
		require.Less(t, c.bytesOut, 10*300, "bytes sent in 10 s at rest")
	}
}
