package identity_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/identity"
)

// Revocation by id or by subject holds from the next call on, for cached tokens too, and so does its end.
func TestRevocationHoldsFromTheNextCall(t *testing.T) {
	guard, issuer := newGuard(t, options())
	one := issuer.sign("a", "desk-1", withID("t1"))
	two := issuer.sign("a", "desk-1", withID("t2"))
	reason := func(token string) identity.Reason {
		_, err := guard.Authenticate(token, nil, 1, 0, noon)
		return reasonOf(err)
	}
	assert.Empty(t, reason(one))
	assert.Empty(t, reason(two))
	guard.SetRevocations(identity.Revocations{IDs: map[string]bool{"legon t1": true}})
	assert.Equal(t, identity.NotValidNow, reason(one))
	assert.Empty(t, reason(two))
	guard.SetRevocations(identity.Revocations{Subjects: map[string]bool{"legon desk-1": true}})
	assert.Equal(t, identity.NotValidNow, reason(two))
	guard.SetRevocations(identity.Revocations{})
	assert.Empty(t, reason(one))
}
