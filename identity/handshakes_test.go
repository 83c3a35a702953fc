package identity_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/identity"
)

// Four handshakes run at once, two of them from one address. The others are queued, and an address that is at its limit
// does not hold up those behind it.
func TestHandshakesAreLimitedOverallAndPerAddress(t *testing.T) {
	handshakes := identity.NewHandshakeLimiter(4)
	var started []int
	request := func(n int, address uint64) { handshakes.Start(address, func() { started = append(started, n) }) }
	for n := range 5 {
		request(n, 1)
	}
	assert.Equal(t, []int{0, 1}, started)
	request(10, 2)
	request(11, 3)
	request(12, 4)
	assert.Equal(t, []int{0, 1, 10, 11}, started)
	assert.Equal(t, 4, handshakes.Queued())
	handshakes.Done(2)
	assert.Equal(t, []int{0, 1, 10, 11, 12}, started, "address 1 is at its limit")
	handshakes.Done(1)
	assert.Equal(t, []int{0, 1, 10, 11, 12, 2}, started)
	for _, address := range []uint64{1, 1, 3, 4} {
		handshakes.Done(address)
	}
	assert.Equal(t, []int{0, 1, 10, 11, 12, 2, 3, 4}, started)
	assert.Zero(t, handshakes.Queued())
}
