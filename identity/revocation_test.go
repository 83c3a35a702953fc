package identity_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/identity"
)

// Revoking a token by ID or by subject, and ending the revocation, take effect with the next request, also for cached
// tokens.
func TestRevocationAppliesFromTheNextRequest(t *testing.T) {
	guard, issuer := newGuard(t, options())
	token1 := issuer.sign("a", "desk-1", withID("t1"))
	token2 := issuer.sign("a", "desk-1", withID("t2"))
	reason := func(token string) identity.Reason {
		_, err := guard.Authenticate(token, nil, 1, 0, noon)
		return reasonOf(err)
	}
	assert.Empty(t, reason(token1))
	assert.Empty(t, reason(token2))
	guard.SetRevocations(identity.Revocations{IDs: map[string]bool{"legon t1": true}})
	assert.Equal(t, identity.NotValidNow, reason(token1))
	assert.Empty(t, reason(token2))
	guard.SetRevocations(identity.Revocations{Subjects: map[string]bool{"legon desk-1": true}})
	assert.Equal(t, identity.NotValidNow, reason(token2))
	guard.SetRevocations(identity.Revocations{})
	assert.Empty(t, reason(token1))
}
