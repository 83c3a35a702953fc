package identity_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/identity"
)

// With a limit of four, one address may run two handshakes. The others are queued, and an address at its limit does not
// block the handshakes queued behind it.
func TestHandshakesAreLimitedOverallAndPerAddress(t *testing.T) {
	limiter := identity.NewHandshakeLimiter(4)
	var started []int
	start := func(n int, address uint64) { limiter.Start(address, func() { started = append(started, n) }) }
	for n := range 5 {
		start(n, 1)
	}
	assert.Equal(t, []int{0, 1}, started)
	start(10, 2)
	start(11, 3)
	start(12, 4)
	assert.Equal(t, []int{0, 1, 10, 11}, started)
	assert.Equal(t, 4, limiter.Queued())
	limiter.Done(2)
	assert.Equal(t, []int{0, 1, 10, 11, 12}, started, "address 1 is at its limit")
	limiter.Done(1)
	assert.Equal(t, []int{0, 1, 10, 11, 12, 2}, started)
	for _, address := range []uint64{1, 1, 3, 4} {
		limiter.Done(address)
	}
	assert.Equal(t, []int{0, 1, 10, 11, 12, 2, 3, 4}, started)
	assert.Zero(t, limiter.Queued())
}
