package identity_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/identity"
)

// So many go at once, half of them from one address; the others wait in turn, and an address that has its part does not hold up
// those behind it.
func TestHandshakes(t *testing.T) {
	h := identity.NewHandshakes(4)
	var started []int
	ask := func(n int, addr uint64) { h.Ask(addr, func() { started = append(started, n) }) }
	for n := range 5 {
		ask(n, 1)
	}
	assert.Equal(t, []int{0, 1}, started)
	ask(10, 2)
	ask(11, 3)
	ask(12, 4)
	assert.Equal(t, []int{0, 1, 10, 11}, started)
	assert.Equal(t, 4, h.Waiting())
	h.Ended(2)
	assert.Equal(t, []int{0, 1, 10, 11, 12}, started, "address 1 has its part")
	h.Ended(1)
	assert.Equal(t, []int{0, 1, 10, 11, 12, 2}, started)
	for _, addr := range []uint64{1, 1, 3, 4} {
		h.Ended(addr)
	}
	assert.Equal(t, []int{0, 1, 10, 11, 12, 2, 3, 4}, started)
	assert.Zero(t, h.Waiting())
}
