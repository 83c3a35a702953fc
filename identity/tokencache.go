package identity

import (
	"crypto/sha256"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"chutechute/internal/monotime"
)

// failureTTL is the time for which a failed signature check is cached, in microseconds.
const failureTTL = 10 * monotime.Second

// lru is a cache that evicts the least recently used entry when it is full.
type lru[K comparable, V any] = simplelru.LRU[K, V]

// newLRU returns a cache of at most size entries; size must be at least 1.
func newLRU[K comparable, V any](size int) *lru[K, V] {
	cache, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // unreachable: Options.setDefaults and Options.check ensure a size of at least 1
	}
	return cache
}

// tokenHash is the SHA-256 hash of the complete token, so that no token can hit the cache entry of another.
type tokenHash = [sha256.Size]byte

// tokenCache holds the tokens with a verified signature and, separately, those whose check failed. A failure applies to
// the complete token, so that nobody can lock out the sender of another token. It is cached only for a short time,
// since a token may arrive shortly before its key.
type tokenCache struct {
	verified *lru[tokenHash, *verifiedToken]
	failedAt *lru[tokenHash, monotime.Micros] // monotonic time of the failure
}

// verifiedToken is a token with a verified signature. Its validity is checked again for each request.
type verifiedToken struct {
	claims Claims
	key    Key    // the key that verified the signature
	caller Caller // the caller that the token identifies, if mapped is set
	mapped bool   // caller was set by the current rules
}

func newTokenCache(size int) tokenCache {
	return tokenCache{
		verified: newLRU[tokenHash, *verifiedToken](size),
		failedAt: newLRU[tokenHash, monotime.Micros](size),
	}
}

// hasFailure reports whether the check of a token failed within the last failureTTL.
func (c *tokenCache) hasFailure(hash tokenHash, now monotime.Micros) bool {
	failedAt, ok := c.failedAt.Get(hash)
	return ok && now-failedAt < failureTTL
}

// unmapCallers causes all verified tokens to be mapped to callers again at their next use.
func (c *tokenCache) unmapCallers() {
	for _, token := range c.verified.Values() {
		token.mapped = false
	}
}

// invalidateKeys drops all failures, and those verified tokens of an issuer whose key is no longer among its keys.
func (c *tokenCache) invalidateKeys(issuer string, keys []Key) {
	c.failedAt.Purge()
	for _, hash := range c.verified.Keys() {
		token, _ := c.verified.Peek(hash)
		if token.claims.Issuer == issuer && !slices.ContainsFunc(keys, token.key.equalIgnoringTimes) {
			c.verified.Remove(hash)
		}
	}
}
