package identity_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/identity"
)

// A ceiling limits the open requests and the burst of the callers that it matches, and does not affect other callers.
func TestCeilingsLimitOpenCallsAndRate(t *testing.T) {
	o := options()
	o.Ceilings = []identity.Ceiling{{Callers: []string{"desk"}, Rate: 10, Burst: 3, MaxOpen: 2}}
	guard, _ := newGuard(t, o)
	desk, booking := identity.Caller{Name: "desk"}, identity.Caller{Name: "booking"}
	assert.NoError(t, guard.Acquire(desk, 0))
	assert.NoError(t, guard.Acquire(desk, 0))
	assert.Equal(t, identity.CeilingReached, reasonOf(guard.Acquire(desk, 0)), "two requests are open")
	for range 100 {
		assert.NoError(t, guard.Acquire(booking, 0))
	}
	guard.Release(desk)
	guard.Release(desk)
	assert.NoError(t, guard.Acquire(desk, 0))
	guard.Release(desk)
	err := guard.Acquire(desk, 0)
	assert.Equal(t, identity.CeilingReached, reasonOf(err), "the burst of three is used up")
	var denied *identity.Denied
	require.ErrorAs(t, err, &denied)
	assert.InDelta(t, second/10, denied.RetryAfter, 1)
	assert.NoError(t, guard.Acquire(desk, denied.RetryAfter+1), "a retry after RetryAfter succeeds")
}
