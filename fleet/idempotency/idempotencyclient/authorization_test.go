package idempotencyclient_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The failure: a load whose authorization was denied, as the registry had removed its record, is scheduled again, and
// the end of its attempt is not reported to the scheduler, which keeps its key and its engine's capacity for ever.
func TestLoadScheduledAgainFreesItsKey(t *testing.T) {
	f := newFrontEnd(t)
	f.submit()
	f.commit(0, false) // the Register
	require.Len(t, f.proposals, 1, "the AuthorizeAttempt")
	f.forget(func() bool { return true })
	f.requireServedOnce()
	f.submit()
	f.requireServedOnce()
}
