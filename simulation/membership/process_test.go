package membership

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/monotime"
)

// Converting virtual time to a process's local time and back returns the same time, up to rounding.
func TestClockConversionRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		s := newSimulation(smallShape())
		s.random = random
		p := startProcess(s, s.attachedFrontEnds[0])
		s.now = random.Int64N(3600 * monotime.Second)
		again := p.simulationTime(p.localTime())
		assert.InDelta(t, s.now, again, 3)
	}
}
