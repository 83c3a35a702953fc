package token

import (
	"crypto"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/go-jose/go-jose/v4"

	"chutechute/internal/monotime"
)

// Set is a key set that is being kept: the private half, from which the public one is written.
type Set struct{ entries []entry }

// Listed is what may be shown of a key. Times are Unix seconds.
type Listed struct {
	ID        string `json:"kid"`
	Algorithm string `json:"alg"`
	From      int64  `json:"nbf,omitempty"`
	Until     int64  `json:"exp,omitempty"`
}

// ReadSet reads a set of private keys; an empty text is an empty set.
func ReadSet(text []byte) (*Set, error) {
	if len(text) == 0 {
		return &Set{}, nil
	}
	if _, err := ParsePrivate(text); err != nil {
		return nil, err
	}
	entries, err := parse(text)
	return &Set{entries}, err
}

// Add adds a key that holds from a time on.
func (s *Set) Add(k *Private, from monotime.Micros) error {
	if slices.ContainsFunc(s.entries, func(e entry) bool { return e.key.KeyID == k.ID }) {
		return fmt.Errorf("key %q is there already", k.ID)
	}
	if len(s.entries) >= mostKeys {
		return fmt.Errorf("there are %d keys: retire some first", len(s.entries))
	}
	s.entries = append(s.entries, entry{key: jose.JSONWebKey{Key: k.Secret, KeyID: k.ID, Algorithm: k.Algorithm, Use: "sig"},
		from: from / monotime.Second})
	return nil
}

// Retire sets the end of a key that has none, or an earlier one than it had. A key that would end before it holds is
// dropped at once, unless it is the only one.
func (s *Set) Retire(id string, until monotime.Micros) error {
	i := slices.IndexFunc(s.entries, func(e entry) bool { return e.key.KeyID == id })
	if i < 0 {
		return fmt.Errorf("no key %q", id)
	}
	e, at := &s.entries[i], until/monotime.Second
	switch {
	case at <= e.from && len(s.entries) == 1:
		return fmt.Errorf("key %q is the only one: add another first", id)
	case at <= e.from:
		s.entries = slices.Delete(s.entries, i, i+1)
	case e.until == 0 || at < e.until:
		e.until = at
	}
	return nil
}

// Prune drops keys whose end has passed, and says which.
func (s *Set) Prune(wall monotime.Micros) (ids []string) {
	s.entries = slices.DeleteFunc(s.entries, func(e entry) bool {
		over := e.until > 0 && e.until*monotime.Second <= wall
		if over {
			ids = append(ids, e.key.KeyID)
		}
		return over
	})
	return ids
}

// List is what may be shown of the keys, in their order.
func (s *Set) List() (list []Listed) {
	for _, e := range s.entries {
		list = append(list, Listed{e.key.KeyID, e.key.Algorithm, e.from, e.until})
	}
	return list
}

// Signer is the key that signs: of those that hold the one that began last.
func (s *Set) Signer(wall monotime.Micros) (*Private, error) {
	var best *entry
	for i := range s.entries {
		e := &s.entries[i]
		holds := e.from*monotime.Second <= wall && (e.until == 0 || wall < e.until*monotime.Second)
		if holds && (best == nil || e.from >= best.from) {
			best = e
		}
	}
	if best == nil {
		return nil, fmt.Errorf("no key holds")
	}
	return &Private{best.key.KeyID, best.key.Algorithm, best.key.Key.(crypto.Signer)}, nil // ReadSet has seen to its type
}

// Write writes the set, its private half or only the public one.
func (s *Set) Write(private bool) ([]byte, error) {
	var out struct {
		Keys []json.RawMessage `json:"keys"`
	}
	for _, e := range s.entries {
		k := e.key
		if !private {
			k = k.Public()
		}
		raw, err := k.MarshalJSON()
		if err != nil {
			return nil, fmt.Errorf("key %q: %w", k.KeyID, err)
		}
		members := map[string]any{}
		if err := json.Unmarshal(raw, &members); err != nil {
			return nil, fmt.Errorf("key %q: %w", k.KeyID, err)
		}
		if e.from > 0 {
			members["nbf"] = e.from
		}
		if e.until > 0 {
			members["exp"] = e.until
		}
		if raw, err = json.Marshal(members); err != nil {
			return nil, fmt.Errorf("key %q: %w", k.KeyID, err)
		}
		out.Keys = append(out.Keys, raw)
	}
	return json.MarshalIndent(out, "", " ")
}
