// Package token reads and writes JSON Web Tokens (RFC 7519) and key sets (RFC 7517) for package identity, by
// go-jose. It has the rules on algorithms: only EdDSA, ES256 and RS256 are accepted, and a signature is always
// checked by the algorithm of the key and never by one that the token names.
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

const (
	// maxHeaderBytes is the maximum length of a token's header as it is sent.
	maxHeaderBytes = 1024
	// tokenParts is the number of parts of a token: header, claims and signature.
	tokenParts = 3
)

// Verifier implements identity.Verifier for JSON Web Tokens.
type Verifier struct{}

// header is what is read of a token's header before its signature is checked. A header may name keys of its own (jwk,
// jku, x5c), which are never used, and extensions (crit), with which the token is denied.
type header struct {
	KeyID    string          `json:"kid"`
	Critical json.RawMessage `json:"crit"`
}

// unverifiedClaims are what is read of a token's claims before its signature is checked.
type unverifiedClaims struct {
	Issuer string `json:"iss"`
}

// ParseUnverified returns the issuer and the key's id that a token names. It returns an error for a token that
// can't be read.
func (Verifier) ParseUnverified(token string) (issuer, keyID string, err error) {
	parts := strings.Split(token, ".")
	if len(parts) != tokenParts || len(parts[0]) > maxHeaderBytes {
		return "", "", fmt.Errorf("not a token in three parts")
	}
	var h header
	if err := decodePart(parts[0], &h); err != nil {
		return "", "", fmt.Errorf("header: %w", err)
	}
	if h.Critical != nil {
		return "", "", fmt.Errorf("header: crit is not understood")
	}
	var claims unverifiedClaims
	if err := decodePart(parts[1], &claims); err != nil {
		return "", "", fmt.Errorf("claims: %w", err)
	}
	return claims.Issuer, h.KeyID, nil
}

// decodePart decodes a part of a token into a struct. The part's text stays out of the error.
func decodePart(part string, into any) error {
	text, err := base64.RawURLEncoding.DecodeString(part)
	if err != nil {
		return fmt.Errorf("no base64url")
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("no JSON object of the right types")
	}
	return nil
}

// Verify checks a token's signature with a key, by the key's algorithm, and returns its claims. The error is
// identity.ErrSignature.
func (Verifier) Verify(token string, key *identity.Key) (identity.Claims, error) {
	signed, err := jwt.ParseSigned(token, []jose.SignatureAlgorithm{jose.SignatureAlgorithm(key.Algorithm)})
	if err != nil {
		return identity.Claims{}, identity.ErrSignature
	}
	var claims jwt.Claims
	if err := signed.Claims(key.Public, &claims); err != nil {
		return identity.Claims{}, identity.ErrSignature
	}
	return identity.Claims{
		Issuer:    claims.Issuer,
		Subject:   claims.Subject,
		ID:        claims.ID,
		Audiences: claims.Audience,
		NotBefore: fromNumericDate(claims.NotBefore),
		Expires:   fromNumericDate(claims.Expiry),
	}, nil
}

// Sign returns a token with these claims, signed with a key. It returns an error if the key can't be used.
func Sign(key *PrivateKey, c identity.Claims) (string, error) {
	signingKey := jose.SigningKey{
		Algorithm: jose.SignatureAlgorithm(key.Algorithm),
		Key:       jose.JSONWebKey{Key: key.Signer, KeyID: key.ID},
	}
	signer, err := jose.NewSigner(signingKey, (&jose.SignerOptions{}).WithType("JWT"))
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	claims := jwt.Claims{
		Issuer:    c.Issuer,
		Subject:   c.Subject,
		ID:        c.ID,
		Audience:  c.Audiences,
		NotBefore: toNumericDate(c.NotBefore),
		Expiry:    toNumericDate(c.Expires),
	}
	text, err := jwt.Signed(signer).Claims(claims).Serialize()
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	return text, nil
}

// fromNumericDate returns the time of a claim, in microseconds since 1970. It is 0 only where the token has no such
// claim; times up to 1970 become 1.
func fromNumericDate(date *jwt.NumericDate) monotime.Micros {
	if date == nil {
		return 0
	}
	return max(1, monotime.Micros(*date)*monotime.Second)
}

// toNumericDate returns the claim of a time in microseconds since 1970; none for 0.
func toNumericDate(at monotime.Micros) *jwt.NumericDate {
	if at == 0 {
		return nil
	}
	return jwt.NewNumericDate(time.UnixMicro(at))
}
