package token

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"encoding/json"
	"fmt"

	"github.com/go-jose/go-jose/v4"

	"chutechute/identity"
	"chutechute/internal/monotime"
)

const (
	leastRSA = 2048 // bits
	mostKeys = 64   // of one set
	// MostSet bounds a key set's file, in bytes.
	MostSet = 256 << 10
)

// Private is a key that signs.
type Private struct {
	ID        string
	Algorithm string
	Secret    crypto.Signer
}

// entry is a key of a set: a JWK with two members of ours, which RFC 7517 allows and other readers ignore.
type entry struct {
	key   jose.JSONWebKey
	from  int64 // Unix seconds from which it holds
	until int64
}

type times struct {
	From  int64 `json:"nbf,omitempty"`
	Until int64 `json:"exp,omitempty"`
}

// ParseSet reads the keys of a set that may check signatures. A set that holds a key which can't be used, or two of one
// id, is refused whole: half a set in force would refuse good callers.
func ParseSet(text []byte) ([]identity.Key, error) {
	entries, err := parse(text)
	if err != nil {
		return nil, err
	}
	var keys []identity.Key
	for _, e := range entries {
		if !e.key.IsPublic() {
			return nil, fmt.Errorf("key %q: a private key has no place here", e.key.KeyID)
		}
		keys = append(keys, identity.Key{ID: e.key.KeyID, Algorithm: e.key.Algorithm, Public: e.key.Key,
			From: e.from * monotime.Second, Until: e.until * monotime.Second})
	}
	return keys, nil
}

// ParsePrivate reads the keys of a set that sign, the newest last.
func ParsePrivate(text []byte) ([]*Private, error) {
	entries, err := parse(text)
	if err != nil {
		return nil, err
	}
	var keys []*Private
	for _, e := range entries {
		secret, ok := e.key.Key.(crypto.Signer)
		if !ok {
			return nil, fmt.Errorf("key %q: not a private key", e.key.KeyID)
		}
		keys = append(keys, &Private{ID: e.key.KeyID, Algorithm: e.key.Algorithm, Secret: secret})
	}
	return keys, nil
}

func parse(text []byte) ([]entry, error) {
	if len(text) > MostSet {
		return nil, fmt.Errorf("longer than %d bytes", MostSet)
	}
	var set struct {
		Keys []json.RawMessage `json:"keys"`
	}
	if err := json.Unmarshal(text, &set); err != nil {
		return nil, fmt.Errorf("no key set: %w", err)
	}
	if len(set.Keys) == 0 || len(set.Keys) > mostKeys {
		return nil, fmt.Errorf("%d keys, not 1 to %d", len(set.Keys), mostKeys)
	}
	seen := map[string]bool{}
	var entries []entry
	for i, raw := range set.Keys {
		var e entry
		var t times
		if err := json.Unmarshal(raw, &e.key); err != nil {
			return nil, fmt.Errorf("keys[%d]: unreadable", i) // its text could be a private key's
		}
		if err := json.Unmarshal(raw, &t); err != nil {
			return nil, fmt.Errorf("keys[%d]: nbf or exp is no number", i)
		}
		e.from, e.until = t.From, t.Until
		if e.key.KeyID == "" || seen[e.key.KeyID] {
			return nil, fmt.Errorf("keys[%d].kid: %q is empty or there twice", i, e.key.KeyID)
		}
		seen[e.key.KeyID] = true
		if err := e.settle(); err != nil {
			return nil, fmt.Errorf("key %q: %w", e.key.KeyID, err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// settle checks a key's type and gives it the one algorithm that it is for.
func (e *entry) settle() error {
	algorithm := ""
	switch k := e.key.Key.(type) {
	case ed25519.PublicKey, ed25519.PrivateKey:
		algorithm = string(jose.EdDSA)
	case *ecdsa.PublicKey:
		if k.Curve == elliptic.P256() {
			algorithm = string(jose.ES256)
		}
	case *ecdsa.PrivateKey:
		if k.Curve == elliptic.P256() {
			algorithm = string(jose.ES256)
		}
	case *rsa.PublicKey:
		algorithm = ofRSA(k)
	case *rsa.PrivateKey:
		algorithm = ofRSA(&k.PublicKey)
	}
	switch {
	case algorithm == "":
		return fmt.Errorf("not a key for EdDSA, ES256 or RS256 of %d bits", leastRSA)
	case e.key.Algorithm != "" && e.key.Algorithm != algorithm:
		return fmt.Errorf("alg %q is not %q, its key's", e.key.Algorithm, algorithm)
	case e.key.Use != "" && e.key.Use != "sig":
		return fmt.Errorf("use %q is not sig", e.key.Use)
	case e.from < 0 || e.until < 0 || e.until > 0 && e.until <= e.from:
		return fmt.Errorf("nbf and exp leave no time")
	}
	e.key.Algorithm = algorithm
	return nil
}

func ofRSA(k *rsa.PublicKey) string {
	if k.N.BitLen() < leastRSA {
		return ""
	}
	return string(jose.RS256)
}

// Generate makes a key for an algorithm.
func Generate(id, algorithm string) (*Private, error) {
	var secret crypto.Signer
	var err error
	switch jose.SignatureAlgorithm(algorithm) {
	case jose.EdDSA:
		_, secret, err = ed25519.GenerateKey(rand.Reader)
	case jose.ES256:
		secret, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	case jose.RS256:
		secret, err = rsa.GenerateKey(rand.Reader, leastRSA)
	default:
		return nil, fmt.Errorf("algorithm %q is none of EdDSA, ES256 and RS256", algorithm)
	}
	if err != nil {
		return nil, fmt.Errorf("token: %w", err)
	}
	return &Private{id, algorithm, secret}, nil
}
