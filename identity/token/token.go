// Package token reads and writes JSON Web Tokens (RFC 7519) and key sets (RFC 7517) for package identity, using
// go-jose. It accepts only EdDSA, ES256 and RS256, and always checks a signature with the algorithm of the key, never
// with one that the token names.
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
	maxHeaderBytes = 1024 // maximum length of a token's header in base64url
	tokenParts     = 3    // header, claims and signature
)

// Verifier implements identity.Verifier for JSON Web Tokens.
type Verifier struct{}

// header holds the members of a token's header that are read before its signature is checked. Keys that a header names
// (jwk, jku, x5c) are never used, and a header with extensions (crit) makes the token invalid.
type header struct {
	KeyID    string          `json:"kid"`
	Critical json.RawMessage `json:"crit"`
}

// unverifiedClaims holds the claims of a token that are read before its signature is checked.
type unverifiedClaims struct {
	Issuer string `json:"iss"`
}

// ParseUnverified returns the issuer and the key ID that a token names, without checking its signature. It returns an
// error for a malformed token.
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

// decodePart decodes a part of a token into a struct. The error does not contain the text of the part.
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

// Verify checks a token's signature with a key, using the algorithm of the key, and returns the claims. The error is
// always identity.ErrSignature.
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

// Sign returns a token with these claims, signed with a key. It returns an error if the key cannot be used.
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

// fromNumericDate returns the time of a claim in microseconds since 1970, or 0 if the token does not have the claim.
// Times up to 1970 become 1, so that they are not taken for a missing claim.
func fromNumericDate(date *jwt.NumericDate) monotime.Micros {
	if date == nil {
		return 0
	}
	return max(1, monotime.Micros(*date)*monotime.Second)
}

// toNumericDate returns the claim for a time in microseconds since 1970, or nil for 0.
func toNumericDate(at monotime.Micros) *jwt.NumericDate {
	if at == 0 {
		return nil
	}
	return jwt.NewNumericDate(time.UnixMicro(at))
}
