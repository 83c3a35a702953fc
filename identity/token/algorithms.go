package token

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"fmt"

	"github.com/go-jose/go-jose/v4"
)

// minRSABits is the minimum length of an RSA key.
const minRSABits = 2048

// algorithmOf returns the only algorithm that a public key is used with, or an empty text if the key cannot be used.
func algorithmOf(public any) jose.SignatureAlgorithm {
	switch key := public.(type) {
	case ed25519.PublicKey:
		return jose.EdDSA
	case *ecdsa.PublicKey:
		if key.Curve == elliptic.P256() {
			return jose.ES256
		}
	case *rsa.PublicKey:
		if key.N.BitLen() >= minRSABits {
			return jose.RS256
		}
	}
	return ""
}

// PrivateKey is a private key that signs tokens.
type PrivateKey struct {
	ID        string // the "kid" header of tokens signed with the key
	Algorithm string // EdDSA, ES256 or RS256
	Signer    crypto.Signer
}

// Generate returns a new private key for the algorithm EdDSA, ES256 or RS256. It returns an error for any other one.
func Generate(id, algorithm string) (*PrivateKey, error) {
	var signer crypto.Signer
	var err error
	switch jose.SignatureAlgorithm(algorithm) {
	case jose.EdDSA:
		_, signer, err = ed25519.GenerateKey(rand.Reader)
	case jose.ES256:
		signer, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	case jose.RS256:
		signer, err = rsa.GenerateKey(rand.Reader, minRSABits)
	default:
		return nil, fmt.Errorf("algorithm %q is not supported: use EdDSA, ES256 or RS256", algorithm)
	}
	if err != nil {
		return nil, fmt.Errorf("token: %w", err)
	}
	return &PrivateKey{ID: id, Algorithm: algorithm, Signer: signer}, nil
}
