package identity_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/monotime"
)

const (
	second = monotime.Second
	hour   = 3600 * second
	noon   = 1_796_126_400 * second // of a day in December 2026
)

var classes = []string{"lookup", "report", "load"}

// options returns valid options with two callers and rights of both effects.
func options() identity.Options {
	return identity.Options{
		Issuers: []identity.Issuer{{Name: "legon", Audiences: []string{"chutechute"}}},
		Callers: []identity.CallerRule{
			{
				Name: "booking", Tenant: "volta",
				Issuer: "legon", Subject: "booking-office",
				SANs: []string{"spiffe://legon/booking"},
			},
			{
				Name: "desk", Tenant: "coast",
				Issuer: "legon", Subject: "desk-*",
				SANs: []string{"*.desks.legon", "spiffe://legon/desk/*"},
			},
		},
		Rights: []identity.Right{
			{Callers: []string{"*"}, Classes: []string{"lookup", "report"}},
			{Callers: []string{"booking"}, Classes: []string{"load"}},
			{Deny: true, Callers: []string{"desk"}, Groups: []identity.Range{{From: 100, To: 199}}},
		},
	}
}

// testIssuer signs tokens with keys that are made for a test.
type testIssuer struct {
	t    testing.TB
	keys map[string]*token.PrivateKey // by id
}

// newKey makes a key and returns its public half.
func (i *testIssuer) newKey(id, algorithm string) identity.Key {
	key, err := token.Generate(id, algorithm)
	require.NoError(i.t, err)
	i.keys[id] = key
	return identity.Key{ID: id, Algorithm: algorithm, Public: key.Signer.Public()}
}

// sign returns a token for a subject, with the changes made to its claims. It expires an hour after noon.
func (i *testIssuer) sign(keyID, subject string, changes ...func(*identity.Claims)) string {
	claims := identity.Claims{
		Issuer: "legon", Subject: subject, Audiences: []string{"chutechute"}, Expires: noon + hour,
	}
	for _, change := range changes {
		change(&claims)
	}
	text, err := token.Sign(i.keys[keyID], claims)
	require.NoError(i.t, err)
	return text
}

// expiresAt changes the expiry of a token.
func expiresAt(wall monotime.Micros) func(*identity.Claims) {
	return func(claims *identity.Claims) { claims.Expires = wall }
}

// withID gives a token an id.
func withID(id string) func(*identity.Claims) {
	return func(claims *identity.Claims) { claims.ID = id }
}

// newGuard returns a guard that has the key "a" of the issuer.
func newGuard(t testing.TB, o identity.Options) (*identity.Guard, *testIssuer) {
	guard, err := identity.New(o, classes, token.Verifier{})
	require.NoError(t, err)
	issuer := &testIssuer{t, map[string]*token.PrivateKey{}}
	guard.SetKeys("legon", []identity.Key{issuer.newKey("a", "EdDSA")})
	return guard, issuer
}

// reasonOf returns the reason of a *Denied; empty for any other error.
func reasonOf(err error) identity.Reason {
	var denied *identity.Denied
	if errors.As(err, &denied) {
		return denied.Reason
	}
	return ""
}
