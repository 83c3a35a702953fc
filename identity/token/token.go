// Package token reads JSON Web Tokens (RFC 7519) and key sets (RFC 7517) for package identity, by go-jose. It holds the
// rules on algorithms: EdDSA, ES256 and RS256 only, always that of the key and never one that the token names.
package token

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"chutechute/identity"
	"chutechute/internal/monotime"
)

// Algorithms are those that are taken.
var Algorithms = []jose.SignatureAlgorithm{jose.EdDSA, jose.ES256, jose.RS256}

// mostHeader bounds a token's header, in bytes as it is sent.
const mostHeader = 1024

// Verifier is the identity.Verifier of JSON Web Tokens.
type Verifier struct{}

// header is what is read of a token's header before its signature is checked. A header may name keys of its own (jwk, jku,
// x5c) and extensions (crit): the former are never used, and with the latter the token is refused.
type header struct {
	KeyID    string          `json:"kid"`
	Critical json.RawMessage `json:"crit"`
}

// Peek reads the issuer and the key's id that a token names.
func (Verifier) Peek(token string) (issuer, keyID string, err error) {
	parts := strings.Split(token, ".")
	if len(parts) != 3 || len(parts[0]) > mostHeader {
		return "", "", fmt.Errorf("not a token in three parts")
	}
	var h header
	var claims struct {
		Issuer string `json:"iss"`
	}
	if err := part(parts[0], &h); err != nil {
		return "", "", fmt.Errorf("header: %w", err)
	}
	if h.Critical != nil {
		return "", "", fmt.Errorf("header: crit is not understood")
	}
	if err := part(parts[1], &claims); err != nil {
		return "", "", fmt.Errorf("claims: %w", err)
	}
	return claims.Issuer, h.KeyID, nil
}

func part(text string, into any) error {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("no base64url")
	}
	if err := json.Unmarshal(b, into); err != nil {
		return fmt.Errorf("no JSON object of the right types")
	}
	return nil
}

// Verify checks a token's signature with a key, by the key's algorithm, and reads its claims.
func (Verifier) Verify(token string, key *identity.Key) (identity.Claims, error) {
	signed, err := jwt.ParseSigned(token, []jose.SignatureAlgorithm{jose.SignatureAlgorithm(key.Algorithm)})
	if err != nil {
		return identity.Claims{}, identity.ErrSignature
	}
	var c jwt.Claims
	if err := signed.Claims(key.Public, &c); err != nil {
		return identity.Claims{}, identity.ErrSignature
	}
	return identity.Claims{Issuer: c.Issuer, Subject: c.Subject, ID: c.ID, Audiences: c.Audience,
		NotBefore: micros(c.NotBefore), Expires: micros(c.Expiry)}, nil
}

// micros is a NumericDate; one left out is 0, and one before 1970 as good as 1970.
func micros(d *jwt.NumericDate) monotime.Micros {
	if d == nil {
		return 0
	}
	return max(1, monotime.Micros(*d)*monotime.Second)
}

// Sign writes a token.
func Sign(key *Private, c identity.Claims) (string, error) {
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(key.Algorithm),
		Key: jose.JSONWebKey{Key: key.Secret, KeyID: key.ID}}, (&jose.SignerOptions{}).WithType("JWT"))
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	claims := jwt.Claims{Issuer: c.Issuer, Subject: c.Subject, ID: c.ID, Audience: c.Audiences}
	claims.NotBefore, claims.Expiry = date(c.NotBefore), date(c.Expires)
	text, err := jwt.Signed(signer).Claims(claims).Serialize()
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	return text, nil
}

// date is a time as a NumericDate; nothing for 0.
func date(at monotime.Micros) *jwt.NumericDate {
	if at == 0 {
		return nil
	}
	return jwt.NewNumericDate(time.UnixMicro(at))
}
