package identity

import (
	"crypto"
	"slices"

	"chutechute/internal/monotime"
)

// Key is a public key for checking the signatures of tokens. Its times are wall-clock times in microseconds since 1970.
type Key struct {
	ID        string          // the "kid" header of tokens signed with the key
	Algorithm string          // the only algorithm that the key is used with
	NotBefore monotime.Micros // when the key becomes valid; 0: no lower limit
	Expires   monotime.Micros // when the key expires; 0: never
	Public    any             // of a type that the Verifier accepts
}

// validAt reports whether the key is valid at a wall-clock time. The leeway applies only to NotBefore.
func (k *Key) validAt(wall, leeway monotime.Micros) bool {
	if k.NotBefore != 0 && wall < k.NotBefore-leeway {
		return false
	}
	return k.Expires == 0 || wall < k.Expires
}

// equalIgnoringTimes reports whether two keys are the same apart from NotBefore and Expires.
func (k *Key) equalIgnoringTimes(other Key) bool {
	type equaler interface{ Equal(x crypto.PublicKey) bool }
	if k.ID != other.ID || k.Algorithm != other.Algorithm {
		return false
	}
	public, ok := k.Public.(equaler)
	return ok && public.Equal(other.Public)
}

// SetKeys replaces the keys of an issuer. It drops from the cache the verified tokens whose key was removed or changed,
// and all failures.
func (g *Guard) SetKeys(issuer string, keys []Key) {
	g.keys[issuer] = keys
	g.cache.invalidateKeys(issuer, keys)
}

// currentKey returns the issuer's current version of a key, whose times may differ from the given ones. It returns nil
// if the issuer no longer has the key.
func (g *Guard) currentKey(issuer string, key *Key) *Key {
	keys := g.keys[issuer]
	i := slices.IndexFunc(keys, func(candidate Key) bool { return key.equalIgnoringTimes(candidate) })
	if i < 0 {
		return nil
	}
	return &keys[i]
}

// validKeys returns the issuer's keys that have the ID and are valid at a wall-clock time. An empty ID matches any key.
func (g *Guard) validKeys(issuer, id string, wall monotime.Micros) (valid []*Key) {
	keys := g.keys[issuer]
	for i := range keys {
		key := &keys[i]
		if key.validAt(wall, g.options.Leeway) && (id == "" || key.ID == id) {
			valid = append(valid, key)
		}
	}
	return valid
}
