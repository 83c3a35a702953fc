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

// useSignature is the value of the member "use" of a JWK for signatures.
const useSignature = "sig"

// encodedKeySet is a key set (RFC 7517) with its keys as undecoded JSON.
type encodedKeySet struct {
	Keys []json.RawMessage `json:"keys"`
}

// keyEntry is a key in a set and the period in which it is valid.
type keyEntry struct {
	jwk jose.JSONWebKey
	validity
}

// validity is the period in which a key is valid. It is stored in two additional members of the JWK, which RFC 7517
// allows and other readers ignore.
type validity struct {
	From  int64 `json:"nbf,omitempty"` // Unix seconds; 0: no lower limit
	Until int64 `json:"exp,omitempty"` // Unix seconds; 0: no upper limit
}

// isEmpty reports whether the period contains no time or has a negative limit.
func (v validity) isEmpty() bool {
	return v.From < 0 || v.Until < 0 || v.Until > 0 && v.Until <= v.From
}

// hasBegun reports whether the period has begun at a wall-clock time.
func (v validity) hasBegun(wall monotime.Micros) bool { return v.From*monotime.Second <= wall }

// hasExpired reports whether the period has ended at a wall-clock time.
func (v validity) hasExpired(wall monotime.Micros) bool {
	return v.Until > 0 && v.Until*monotime.Second <= wall
}

// ParsePublicKeys reads a set of public keys. It returns an error if the set has a private or unusable key, or two keys
// with the same ID. It does not skip such keys, because with only a part of the set valid tokens would be denied.
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

// ParsePrivateKeys reads a set of private keys and keeps their order. It returns an error if the set has a public or
// unusable key, or two keys with the same ID.
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

func parseKeys(text []byte) ([]keyEntry, error) {
	if len(text) > MaxSetBytes {
		return nil, fmt.Errorf("longer than %d bytes", MaxSetBytes)
	}
	var set encodedKeySet
	if err := json.Unmarshal(text, &set); err != nil {
		return nil, fmt.Errorf("not a JSON key set: %w", err)
	}
	if len(set.Keys) == 0 || len(set.Keys) > maxKeys {
		return nil, fmt.Errorf("%d keys in the set, must be 1 to %d", len(set.Keys), maxKeys)
	}
	seen := map[string]bool{}
	var keys []keyEntry
	for i, raw := range set.Keys {
		key, err := parseKey(i, raw)
		if err != nil {
			return nil, err
		}
		id := key.jwk.KeyID
		if id == "" || seen[id] {
			return nil, fmt.Errorf("keys[%d].kid: %q is empty or used twice", i, id)
		}
		seen[id] = true
		if err := key.setAlgorithm(); err != nil {
			return nil, fmt.Errorf("key %q: %w", id, err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// parseKey reads the key at an index of its set. The error does not contain the text, which may be a private key.
func parseKey(index int, text []byte) (keyEntry, error) {
	var key keyEntry
	if err := json.Unmarshal(text, &key.jwk); err != nil {
		return keyEntry{}, fmt.Errorf("keys[%d]: not a valid JWK", index)
	}
	if err := json.Unmarshal(text, &key.validity); err != nil {
		return keyEntry{}, fmt.Errorf("keys[%d]: nbf or exp is not an integer", index)
	}
	return key, nil
}

// setAlgorithm checks that the key can be used, and sets the only algorithm that it is used with.
func (k *keyEntry) setAlgorithm() error {
	algorithm := string(algorithmOf(k.jwk.Public().Key))
	switch {
	case algorithm == "":
		return fmt.Errorf("not a key for EdDSA, ES256, or RS256 with at least %d bits", minRSABits)
	case k.jwk.Algorithm != "" && k.jwk.Algorithm != algorithm:
		return fmt.Errorf("alg is %q, but the key is for %q", k.jwk.Algorithm, algorithm)
	case k.jwk.Use != "" && k.jwk.Use != useSignature:
		return fmt.Errorf("use is %q, must be %s", k.jwk.Use, useSignature)
	case k.isEmpty():
		return fmt.Errorf("nbf or exp is negative, or exp is not after nbf")
	}
	k.jwk.Algorithm = algorithm
	return nil
}

// public returns the key in the form that Verifier accepts, or an error if it is a private key.
func (k *keyEntry) public() (identity.Key, error) {
	if !k.jwk.IsPublic() {
		return identity.Key{}, fmt.Errorf("key %q: private key in a set of public keys", k.jwk.KeyID)
	}
	return identity.Key{
		ID:        k.jwk.KeyID,
		Algorithm: k.jwk.Algorithm,
		NotBefore: k.From * monotime.Second,
		Expires:   k.Until * monotime.Second,
		Public:    k.jwk.Key,
	}, nil
}

// private returns the key in the form that Sign accepts, or an error if it is a public key.
func (k *keyEntry) private() (*PrivateKey, error) {
	signer, ok := k.jwk.Key.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("key %q: not a private key", k.jwk.KeyID)
	}
	return &PrivateKey{ID: k.jwk.KeyID, Algorithm: k.jwk.Algorithm, Signer: signer}, nil
}

// marshal returns the private key, or only its public half, as a JWK with the members for its validity.
func (k *keyEntry) marshal(private bool) (json.RawMessage, error) {
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
