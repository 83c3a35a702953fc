package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// fleet is three zones with two control members each and clients in turn.
func fleet(t testing.TB, seed uint64, clients int) *rig {
	r := newRig(t, seed, "za", "za", "zb", "zb", "zc", "zc")
	for i := range clients {
		r.attach(fmt.Sprintf("f%03d", i), []string{"za", "zb", "zc"}[i%3])
	}
	return r
}

// Front ends that attach are seen by all, of both roles, under the home that serves them; and at rest nothing is sent
// but heartbeats and their answers.
func TestAttachedFrontEndsAreSeenByAll(t *testing.T) {
	r := fleet(t, 1, 30)
	r.run(10 * second)
	r.requireAgreement()
	require.Equal(t, 36, r.servers[0].View().Len())
	require.Empty(t, r.errors)
	for _, c := range r.clients {
		home := r.names[c.Home()]
		require.Equal(t, c.cfg.Zone, home.cfg.Zone, "the view is taken from the own zone")
		require.Len(t, c.Targets(r.now), 2)
		require.LessOrEqual(t, c.Counters.Snapshots+c.Counters.DigestRepairs, 2)
		c.bytesIn, c.bytesOut = 0, 0
	}
	r.run(10 * second)
	for _, c := range r.clients {
		require.Less(t, c.bytesIn, 10*300, "bytes in 10 s at rest")
		require.Less(t, c.bytesOut, 10*300, "bytes in 10 s at rest")
	}
}
