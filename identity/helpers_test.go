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
	noon   = 1_796_126_400 * second // wall-clock time of noon on a day in December 2026
)

var classes = []string{"lookup", "report", "load"}

// options returns valid options with two callers and with rights that allow and that deny.
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

// testIssuer generates keys and signs tokens with them.
type testIssuer struct {
	t    testing.TB
	keys map[string]*token.PrivateKey // by ID
}

// newKey generates a key and returns its public half.
func (i *testIssuer) newKey(id, algorithm string) identity.Key {
	key, err := token.Generate(id, algorithm)
	require.NoError(i.t, err)
	i.keys[id] = key
	return identity.Key{ID: id, Algorithm: algorithm, Public: key.Signer.Public()}
}

// sign returns a token for a subject. Its claims are valid until an hour after noon unless the changes modify them.
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

// expiresAt sets the expiry of a token.
func expiresAt(wall monotime.Micros) func(*identity.Claims) {
	return func(claims *identity.Claims) { claims.Expires = wall }
}

// withID sets the ID of a token.
func withID(id string) func(*identity.Claims) {
	return func(claims *identity.Claims) { claims.ID = id }
}

// newGuard returns a guard and the issuer "legon", whose key "a" the guard has.
func newGuard(t testing.TB, o identity.Options) (*identity.Guard, *testIssuer) {
	guard, err := identity.New(o, classes, token.Verifier{})
	require.NoError(t, err)
	issuer := &testIssuer{t, map[string]*token.PrivateKey{}}
	guard.SetKeys("legon", []identity.Key{issuer.newKey("a", "EdDSA")})
	return guard, issuer
}

// reasonOf returns the reason of a *Denied, or an empty reason for any other error and for nil.
func reasonOf(err error) identity.Reason {
	var denied *identity.Denied
	if errors.As(err, &denied) {
		return denied.Reason
	}
	return ""
}
