package identity_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/identity"
	"chutechute/internal/monotime"
)

// keysInSet is the number of keys, the newest ones, that a rotation keeps in the set.
const keysInSet = 6

// rotation rotates the keys of an issuer and has a token signed with each of them.
type rotation struct {
	guard  *identity.Guard
	issuer *testIssuer
	keys   []identity.Key // all keys since the start, the newest last
	tokens []string       // by the index of their key
}

// addKey adds a key that becomes valid at a wall-clock time.
func (r *rotation) addKey(from monotime.Micros) {
	key := r.issuer.newKey(fmt.Sprint("k", len(r.keys)), "EdDSA")
	key.NotBefore = from
	r.keys = append(r.keys, key)
	r.tokens = append(r.tokens, r.issuer.sign(key.ID, "desk-1", expiresAt(noon+10*hour)))
}

// apply sets the newest keys as the keys of the guard.
func (r *rotation) apply() {
	newest := r.keys[max(0, len(r.keys)-keysInSet):]
	r.guard.SetKeys("legon", slices.Clone(newest))
}

// isValid is the test oracle. It reports whether the key at an index is in the set and valid at a wall-clock time.
func (r *rotation) isValid(i int, wall monotime.Micros) bool {
	until := r.keys[i].Expires
	return i >= len(r.keys)-keysInSet && (until == 0 || wall < until)
}

// Keys rotate every 5 s, for more than an hour, while tokens of old and new keys are used. A token is accepted exactly
// while the oracle considers its key valid, whether the token is cached or not.
func TestTokensAreValidExactlyWhileTheirKeysAre(t *testing.T) {
	o := options()
	o.Limits.ChecksPerSecond, o.Limits.ChecksPerAddress = 1e6, 1e6
	guard, issuer := newGuard(t, o)
	rng := rand.New(rand.NewPCG(3, 4))
	wall := noon
	keys := rotation{guard: guard, issuer: issuer}
	keys.addKey(wall)
	keys.apply()
	accepted, denied := 0, 0
	for step := range 4000 {
		wall += second
		if step%5 == 0 { // the new key is valid immediately, the previous one for 7 s more
			keys.addKey(wall)
			keys.keys[len(keys.keys)-2].Expires = wall + 7*second
			keys.apply()
		}
		count := len(keys.keys)
		i := count - 1 - rng.IntN(min(count, 9))
		want := keys.isValid(i, wall)
		_, err := guard.Authenticate(keys.tokens[i], nil, uint64(step), wall, wall)
		require.Equal(t, want, err == nil, "step %d, key %d of %d: %v", step, i, count, err)
		if want {
			accepted++
		} else {
			denied++
		}
	}
	assert.Greater(t, accepted, 500)
	assert.Greater(t, denied, 500)
}

// A token that arrives shortly before its key is denied, and accepted once SetKeys has added the key.
func TestNewKeysClearCachedFailures(t *testing.T) {
	guard, issuer := newGuard(t, options())
	key := issuer.newKey("b", "EdDSA")
	early := issuer.sign("b", "desk-1")
	_, err := guard.Authenticate(early, nil, 1, 0, noon)
	assert.Equal(t, identity.InvalidToken, reasonOf(err))
	guard.SetKeys("legon", []identity.Key{key})
	_, err = guard.Authenticate(early, nil, 1, 1, noon)
	assert.NoError(t, err)
}
