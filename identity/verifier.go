package identity

import (
	"errors"

	"chutechute/internal/monotime"
)

// ErrSignature is returned by a Verifier where a signature is not of the key, or a token can't be read.
var ErrSignature = errors.New("not signed by the key")

// Claims are what a token states. Its times are of the wall clock, in microseconds since 1970, and 0 where the
// token has none.
type Claims struct {
	Issuer, Subject, ID string
	Audiences           []string
	NotBefore, Expires  monotime.Micros
}

// Verifier reads tokens and checks their signatures. It has neither keys nor state.
type Verifier interface {
	// ParseUnverified returns the issuer and the key's id that a token names, without a check of its signature. The
	// id is empty where the token names none. It returns an error for a token that can't be read.
	ParseUnverified(token string) (issuer, keyID string, err error)
	// Verify checks the signature with a key, by the key's own algorithm, and returns the claims. The error is
	// ErrSignature.
	Verify(token string, key *Key) (Claims, error)
}
