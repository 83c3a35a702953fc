package identity

import (
	"errors"

	"chutechute/internal/monotime"
)

// ErrSignature is returned by a Verifier if the signature was not made with the key or the token is malformed.
var ErrSignature = errors.New("not signed by the key")

// Claims are the claims of a token. Times are wall-clock times in microseconds since 1970, and 0 if the token does not
// have the claim.
type Claims struct {
	Issuer, Subject, ID string
	Audiences           []string
	NotBefore, Expires  monotime.Micros
}

// Verifier parses tokens and checks their signatures. It has neither keys nor state of its own.
type Verifier interface {
	// ParseUnverified returns the issuer and the key ID that a token names, without checking its signature. The key ID
	// is empty if the token names none. It returns an error for a malformed token.
	ParseUnverified(token string) (issuer, keyID string, err error)
	// Verify checks the signature with a key, using the algorithm of the key, and returns the claims. The error is
	// always ErrSignature.
	Verify(token string, key *Key) (Claims, error)
}
