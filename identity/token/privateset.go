package token

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/go-jose/go-jose/v4"

	"chutechute/internal/monotime"
)

// KeySet is an issuer's set of private keys, to which keys can be added and in which they can be retired and pruned.
// Marshal also writes the matching set of public keys.
type KeySet struct{ keys []keyEntry }

// KeyInfo describes a key without its secret parts. Times are Unix seconds, and 0 if the key has no such limit.
type KeyInfo struct {
	ID        string `json:"kid"`
	Algorithm string `json:"alg"`
	From      int64  `json:"nbf,omitempty"`
	Until     int64  `json:"exp,omitempty"`
}

// ParseKeySet reads a set of private keys; an empty text is an empty set. It returns an error if the set has a public
// or unusable key, or two keys with the same ID.
func ParseKeySet(text []byte) (*KeySet, error) {
	if len(text) == 0 {
		return &KeySet{}, nil
	}
	keys, err := parseKeys(text)
	if err != nil {
		return nil, err
	}
	for _, key := range keys {
		if _, err := key.private(); err != nil {
			return nil, err
		}
	}
	return &KeySet{keys}, nil
}

// Add adds a key that becomes valid at a wall-clock time, in microseconds since 1970. It returns an error if the set is
// full or already has a key with that ID.
func (s *KeySet) Add(key *PrivateKey, from monotime.Micros) error {
	if s.indexOf(key.ID) >= 0 {
		return fmt.Errorf("key %q already exists", key.ID)
	}
	if len(s.keys) >= maxKeys {
		return fmt.Errorf("the set already has %d keys: retire some first", len(s.keys))
	}
	s.keys = append(s.keys, keyEntry{
		jwk:      jose.JSONWebKey{Key: key.Signer, KeyID: key.ID, Algorithm: key.Algorithm, Use: useSignature},
		validity: validity{From: from / monotime.Second},
	})
	return nil
}

// indexOf returns the index of the key with an ID, or -1 if there is none.
func (s *KeySet) indexOf(id string) int {
	return slices.IndexFunc(s.keys, func(key keyEntry) bool { return key.jwk.KeyID == id })
}

// Retire sets the wall-clock time at which a key expires, in microseconds since 1970, unless the key expires earlier
// anyway. A key that would expire before it becomes valid is removed immediately. It returns an error if that key is
// the only one, or if no key has that ID.
func (s *KeySet) Retire(id string, until monotime.Micros) error {
	i := s.indexOf(id)
	if i < 0 {
		return fmt.Errorf("key %q does not exist", id)
	}
	key, expiry := &s.keys[i], until/monotime.Second
	switch {
	case expiry <= key.From && len(s.keys) == 1:
		return fmt.Errorf("key %q is the only key: add another one first", id)
	case expiry <= key.From:
		s.keys = slices.Delete(s.keys, i, i+1)
	case key.Until == 0 || expiry < key.Until:
		key.Until = expiry
	}
	return nil
}

// Prune removes the keys that have expired at a wall-clock time, in microseconds since 1970, and returns their IDs.
func (s *KeySet) Prune(wall monotime.Micros) (ids []string) {
	s.keys = slices.DeleteFunc(s.keys, func(key keyEntry) bool {
		if !key.hasExpired(wall) {
			return false
		}
		ids = append(ids, key.jwk.KeyID)
		return true
	})
	return ids
}

// List describes the keys of the set, in order and without their secret parts.
func (s *KeySet) List() (list []KeyInfo) {
	for _, key := range s.keys {
		list = append(list, KeyInfo{ID: key.jwk.KeyID, Algorithm: key.jwk.Algorithm, From: key.From, Until: key.Until})
	}
	return list
}

// Signer returns the key to sign with at a wall-clock time, in microseconds since 1970. It is the valid key that became
// valid last. It returns an error if no key is valid.
func (s *KeySet) Signer(wall monotime.Micros) (*PrivateKey, error) {
	var newest *keyEntry
	for i := range s.keys {
		key := &s.keys[i]
		if !key.hasBegun(wall) || key.hasExpired(wall) {
			continue
		}
		if newest == nil || key.From >= newest.From {
			newest = key
		}
	}
	if newest == nil {
		return nil, fmt.Errorf("no key is valid at this time")
	}
	return newest.private()
}

// Marshal returns the set as JSON, either with the private keys or with only their public halves.
func (s *KeySet) Marshal(private bool) ([]byte, error) {
	var set encodedKeySet
	for _, key := range s.keys {
		text, err := key.marshal(private)
		if err != nil {
			return nil, fmt.Errorf("key %q: %w", key.jwk.KeyID, err)
		}
		set.Keys = append(set.Keys, text)
	}
	return json.MarshalIndent(set, "", " ")
}
