package identity_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/identity/token"
	"chutechute/internal/monotime"
)

// A flood of 10,000 different invalid tokens per second, half of them from one address and half from many, causes no
// more signature checks than the budget allows, and new tokens from a proven address are still accepted.
func TestFloodOfBadTokensStaysWithinTheSignatureBudget(t *testing.T) {
	guard, issuer := newGuard(t, options())
	unknownIssuer := &testIssuer{t, map[string]*token.PrivateKey{}}
	unknownIssuer.newKey("a", "EdDSA")
	bad := unknownIssuer.sign("a", "desk-1")
	_, err := guard.Authenticate(issuer.sign("a", "desk-1"), nil, 7, 0, noon)
	require.NoError(t, err)
	now := monotime.Micros(0)
	denied := 0
	for n := range 30_000 { // three seconds
		now += second / 10_000
		address := uint64(1)
		if n%2 == 1 {
			address = uint64(100 + n%1000)
		}
		_, err := guard.Authenticate(fmt.Sprintf("%s%d", bad[:len(bad)-8], 10_000_000+n), nil, address, now, noon)
		require.Error(t, err)
		if n%1000 == 0 { // a token that is not cached, from a proven address
			newToken := issuer.sign("a", "desk-1", withID(fmt.Sprint(n)))
			if _, err := guard.Authenticate(newToken, nil, 7, now, noon); err != nil {
				denied++
			}
		}
	}
	assert.Zero(t, denied)
	assert.Less(t, guard.Counts().SignaturesChecked, 250*5+50)
	assert.Greater(t, guard.Counts().SignatureBudgetExhausted, 20_000)
}
