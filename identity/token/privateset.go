package token

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/go-jose/go-jose/v4"

	"chutechute/internal/monotime"
)

// KeySet is a set of private keys that is maintained: keys are added, retired and pruned. The set of their public
// halves is written from it.
type KeySet struct{ keys []setKey }

// KeyInfo is what of a key is no secret. Its times are Unix seconds, and 0 where the key has none.
type KeyInfo struct {
	ID        string `json:"kid"`
	Algorithm string `json:"alg"`
	From      int64  `json:"nbf,omitempty"`
	Until     int64  `json:"exp,omitempty"`
}

// ParseKeySet reads a set of private keys; an empty text is an empty set. It returns an error for a set that has a
// public or unusable key, or two keys of one id.
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

// Add adds a key that is valid from a time of the wall clock on, in microseconds since 1970. It returns an error if the
// set is full or has a key of that id.
func (s *KeySet) Add(key *PrivateKey, from monotime.Micros) error {
	if s.indexOf(key.ID) >= 0 {
		return fmt.Errorf("key %q is there already", key.ID)
	}
	if len(s.keys) >= maxKeys {
		return fmt.Errorf("there are %d keys: retire some first", len(s.keys))
	}
	s.keys = append(s.keys, setKey{
		jwk:      jose.JSONWebKey{Key: key.Signer, KeyID: key.ID, Algorithm: key.Algorithm, Use: useSignature},
		validity: validity{From: from / monotime.Second},
	})
	return nil
}

// indexOf returns the index of the key with an id; -1 if there is none.
func (s *KeySet) indexOf(id string) int {
	return slices.IndexFunc(s.keys, func(key setKey) bool { return key.jwk.KeyID == id })
}

// Retire has a key expire at a time of the wall clock, in microseconds since 1970, unless it expires earlier. A key
// that would expire before it is valid is removed at once. It returns an error if that is the only key, or if there
// is no key of that id.
func (s *KeySet) Retire(id string, until monotime.Micros) error {
	i := s.indexOf(id)
	if i < 0 {
		return fmt.Errorf("no key %q", id)
	}
	key, expiry := &s.keys[i], until/monotime.Second
	switch {
	case expiry <= key.From && len(s.keys) == 1:
		return fmt.Errorf("key %q is the only one: add another first", id)
	case expiry <= key.From:
		s.keys = slices.Delete(s.keys, i, i+1)
	case key.Until == 0 || expiry < key.Until:
		key.Until = expiry
	}
	return nil
}

// Prune removes the keys that have expired at a time of the wall clock, in microseconds since 1970, and returns their
// ids.
func (s *KeySet) Prune(wall monotime.Micros) (ids []string) {
	s.keys = slices.DeleteFunc(s.keys, func(key setKey) bool {
		if !key.hasExpired(wall) {
			return false
		}
		ids = append(ids, key.jwk.KeyID)
		return true
	})
	return ids
}

// List returns what of the keys is no secret, in their order.
func (s *KeySet) List() (list []KeyInfo) {
	for _, key := range s.keys {
		list = append(list, KeyInfo{ID: key.jwk.KeyID, Algorithm: key.jwk.Algorithm, From: key.From, Until: key.Until})
	}
	return list
}

// Signer returns the key to sign with at a time of the wall clock, in microseconds since 1970: of the valid ones
// the one that became valid last. It returns an error if no key is valid.
func (s *KeySet) Signer(wall monotime.Micros) (*PrivateKey, error) {
	var newest *setKey
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
		return nil, fmt.Errorf("no key holds")
	}
	return newest.private()
}

// Marshal returns the set as JSON, with the private keys or only with their public halves.
func (s *KeySet) Marshal(private bool) ([]byte, error) {
	var set encodedSet
	for _, key := range s.keys {
		text, err := key.marshal(private)
		if err != nil {
			return nil, fmt.Errorf("key %q: %w", key.jwk.KeyID, err)
		}
		set.Keys = append(set.Keys, text)
	}
	return json.MarshalIndent(set, "", " ")
}
