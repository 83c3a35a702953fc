package identity

import (
	"crypto/sha256"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"chutechute/internal/monotime"
)

// failureTTL is the time for which a token that failed its check stays in the cache, in microseconds.
const failureTTL = 10 * monotime.Second

// lru is a cache that evicts the least recently used entry once it is full.
type lru[K comparable, V any] = simplelru.LRU[K, V]

// newLRU returns a cache of at most size entries; size is at least 1.
func newLRU[K comparable, V any](size int) *lru[K, V] {
	cache, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // Options.check has seen to the size
	}
	return cache
}

// tokenHash is the SHA-256 of a whole token, so that no token can hit the cache entry of another.
type tokenHash = [sha256.Size]byte

// tokenCache has the tokens that were verified and, apart from them, those that failed. A failure is cached by the
// whole token, so that nobody can lock out the sender of another, and for a short time only, since a token may
// arrive shortly before its key.
type tokenCache struct {
	verified *lru[tokenHash, *verifiedToken]
	failedAt *lru[tokenHash, monotime.Micros] // monotonic time
}

// verifiedToken is a token whose signature was checked. Its validity at a given time is checked for each call.
type verifiedToken struct {
	claims Claims
	key    Key    // that the signature was checked with
	caller Caller // that the token stands for, if mapped
	mapped bool   // by the rules in force
}

func newTokenCache(size int) tokenCache {
	return tokenCache{
		verified: newLRU[tokenHash, *verifiedToken](size),
		failedAt: newLRU[tokenHash, monotime.Micros](size),
	}
}

// hasFailure reports whether a token failed a short time ago.
func (c *tokenCache) hasFailure(hash tokenHash, now monotime.Micros) bool {
	failedAt, ok := c.failedAt.Get(hash)
	return ok && now-failedAt < failureTTL
}

// unmapCallers has all verified tokens mapped to callers again at their next use.
func (c *tokenCache) unmapCallers() {
	for _, token := range c.verified.Values() {
		token.mapped = false
	}
}

// keysChanged drops all failures, and the verified tokens of an issuer of which the keys are removed or changed.
func (c *tokenCache) keysChanged(issuer string, keys []Key) {
	c.failedAt.Purge()
	for _, hash := range c.verified.Keys() {
		token, _ := c.verified.Peek(hash)
		if token.claims.Issuer == issuer && !slices.ContainsFunc(keys, token.key.same) {
			c.verified.Remove(hash)
		}
	}
}
