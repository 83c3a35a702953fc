package token

import (
	"crypto"
	"encoding/json"
	"fmt"

	"github.com/go-jose/go-jose/v4"

	"chutechute/identity"
	"chutechute/internal/monotime"
)

// MaxSetBytes is the maximum length of a key set, in bytes.
const MaxSetBytes = 256 << 10

// maxKeys is the maximum number of keys in a set.
const maxKeys = 64

// useSignature is the member "use" of a JWK that is for signatures.
const useSignature = "sig"

// encodedSet is the JSON form of a key set (RFC 7517), with each key as it is encoded.
type encodedSet struct {
	Keys []json.RawMessage `json:"keys"`
}

// setKey is a key of a set, with the times of its validity.
type setKey struct {
	jwk jose.JSONWebKey
	validity
}

// validity is the time for which a key is valid, as two members that a JWK has beside its own; RFC 7517 allows them and
// other readers ignore them.
type validity struct {
	From  int64 `json:"nbf,omitempty"` // Unix seconds; 0: it always was
	Until int64 `json:"exp,omitempty"` // Unix seconds; 0: for ever
}

// isEmpty reports whether there is no time at which the key is valid.
func (v validity) isEmpty() bool {
	return v.From < 0 || v.Until < 0 || v.Until > 0 && v.Until <= v.From
}

// hasBegun reports whether the validity has begun at a time of the wall clock.
func (v validity) hasBegun(wall monotime.Micros) bool { return v.From*monotime.Second <= wall }

// hasExpired reports whether the validity has ended at a time of the wall clock.
func (v validity) hasExpired(wall monotime.Micros) bool {
	return v.Until > 0 && v.Until*monotime.Second <= wall
}

// ParsePublicKeys reads a set of public keys. It returns an error for a set that has a private or unusable key, or
// two keys of one id: half a set in force would have valid tokens denied.
func ParsePublicKeys(text []byte) ([]identity.Key, error) {
	parsed, err := parseKeys(text)
	if err != nil {
		return nil, err
	}
	var keys []identity.Key
	for _, key := range parsed {
		public, err := key.public()
		if err != nil {
			return nil, err
		}
		keys = append(keys, public)
	}
	return keys, nil
}

// ParsePrivateKeys reads a set of private keys, in their order. It returns an error for a set that has a public or
// unusable key, or two keys of one id.
func ParsePrivateKeys(text []byte) ([]*PrivateKey, error) {
	parsed, err := parseKeys(text)
	if err != nil {
		return nil, err
	}
	var keys []*PrivateKey
	for _, key := range parsed {
		private, err := key.private()
		if err != nil {
			return nil, err
		}
		keys = append(keys, private)
	}
	return keys, nil
}

func parseKeys(text []byte) ([]setKey, error) {
	if len(text) > MaxSetBytes {
		return nil, fmt.Errorf("longer than %d bytes", MaxSetBytes)
	}
	var set encodedSet
	if err := json.Unmarshal(text, &set); err != nil {
		return nil, fmt.Errorf("no key set: %w", err)
	}
	if len(set.Keys) == 0 || len(set.Keys) > maxKeys {
		return nil, fmt.Errorf("%d keys, not 1 to %d", len(set.Keys), maxKeys)
	}
	seen := map[string]bool{}
	var keys []setKey
	for i, raw := range set.Keys {
		key, err := parseKey(i, raw)
		if err != nil {
			return nil, err
		}
		id := key.jwk.KeyID
		if id == "" || seen[id] {
			return nil, fmt.Errorf("keys[%d].kid: %q is empty or there twice", i, id)
		}
		seen[id] = true
		if err := key.setAlgorithm(); err != nil {
			return nil, fmt.Errorf("key %q: %w", id, err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// parseKey reads the key at an index of its set. The text stays out of the error, as it may be a private key.
func parseKey(index int, text []byte) (setKey, error) {
	var key setKey
	if err := json.Unmarshal(text, &key.jwk); err != nil {
		return setKey{}, fmt.Errorf("keys[%d]: unreadable", index)
	}
	if err := json.Unmarshal(text, &key.validity); err != nil {
		return setKey{}, fmt.Errorf("keys[%d]: nbf or exp is no number", index)
	}
	return key, nil
}

// setAlgorithm checks that the key can be used and sets the only algorithm that it is used with.
func (k *setKey) setAlgorithm() error {
	algorithm := string(algorithmOf(k.jwk.Public().Key))
	switch {
	case algorithm == "":
		return fmt.Errorf("not a key for EdDSA, ES256 or RS256 of %d bits", minRSABits)
	case k.jwk.Algorithm != "" && k.jwk.Algorithm != algorithm:
		return fmt.Errorf("alg %q is not %q, its key's", k.jwk.Algorithm, algorithm)
	case k.jwk.Use != "" && k.jwk.Use != useSignature:
		return fmt.Errorf("use %q is not %s", k.jwk.Use, useSignature)
	case k.isEmpty():
		return fmt.Errorf("nbf and exp leave no time")
	}
	k.jwk.Algorithm = algorithm
	return nil
}

// public returns the key as the Verifier takes it, or an error for a private one.
func (k *setKey) public() (identity.Key, error) {
	if !k.jwk.IsPublic() {
		return identity.Key{}, fmt.Errorf("key %q: a private key has no place here", k.jwk.KeyID)
	}
	return identity.Key{
		ID:        k.jwk.KeyID,
		Algorithm: k.jwk.Algorithm,
		NotBefore: k.From * monotime.Second,
		Expires:   k.Until * monotime.Second,
		Public:    k.jwk.Key,
	}, nil
}

// private returns the key as Sign takes it, or an error for a public one.
func (k *setKey) private() (*PrivateKey, error) {
	secret, ok := k.jwk.Key.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("key %q: not a private key", k.jwk.KeyID)
	}
	return &PrivateKey{ID: k.jwk.KeyID, Algorithm: k.jwk.Algorithm, Signer: secret}, nil
}

// marshal returns the private key, or only its public half, as a JWK with the members of its validity.
func (k *setKey) marshal(private bool) (json.RawMessage, error) {
	jwk := k.jwk
	if !private {
		jwk = jwk.Public()
	}
	text, err := jwk.MarshalJSON()
	if err != nil {
		return nil, err
	}
	members := map[string]any{}
	if err := json.Unmarshal(text, &members); err != nil {
		return nil, err
	}
	if k.From > 0 {
		members["nbf"] = k.From
	}
	if k.Until > 0 {
		members["exp"] = k.Until
	}
	return json.Marshal(members)
}
