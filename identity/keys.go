package identity

import (
	"crypto"
	"slices"

	"chutechute/internal/monotime"
)

// Key is a public key by which signatures of tokens are checked. Its times are of the wall clock, in microseconds since
// 1970.
type Key struct {
	ID        string          // as in the header "kid" of a token
	Algorithm string          // the only one that the key is used with
	NotBefore monotime.Micros // when the key becomes valid; 0: it always was
	Expires   monotime.Micros // when the key expires; 0: never
	Public    any             // in the form that the Verifier takes
}

// validAt reports whether the key is valid at a time of the wall clock. Leeway is granted only for its beginning.
func (k *Key) validAt(wall, leeway monotime.Micros) bool {
	if k.NotBefore != 0 && wall < k.NotBefore-leeway {
		return false
	}
	return k.Expires == 0 || wall < k.Expires
}

// same reports whether another key is this one, whatever their times.
func (k *Key) same(other Key) bool {
	type equaler interface{ Equal(x crypto.PublicKey) bool }
	if k.ID != other.ID || k.Algorithm != other.Algorithm {
		return false
	}
	public, ok := k.Public.(equaler)
	return ok && public.Equal(other.Public)
}

// SetKeys replaces the keys of an issuer. Verified tokens of keys that are removed or changed leave the cache, and
// so do all failures.
func (g *Guard) SetKeys(issuer string, keys []Key) {
	g.keys[issuer] = keys
	g.cache.keysChanged(issuer, keys)
}

// currentKey returns the issuer's key that is the same as the given one, with its present times; nil if there is none.
func (g *Guard) currentKey(issuer string, key *Key) *Key {
	keys := g.keys[issuer]
	i := slices.IndexFunc(keys, func(candidate Key) bool { return key.same(candidate) })
	if i < 0 {
		return nil
	}
	return &keys[i]
}

// validKeys returns the issuer's keys that are valid at a time of the wall clock and have the id; an empty id
// stands for any.
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
