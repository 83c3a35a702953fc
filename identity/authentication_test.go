package identity_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/identity"
	"chutechute/internal/monotime"
)

// Valid tokens are accepted and invalid ones denied with the right reason, both when the signature is checked and when
// the result comes from a cache.
func TestTokensGetTheSameResultFromSignatureAndCache(t *testing.T) {
	guard, issuer := newGuard(t, options())
	keyA := identity.Key{ID: "a", Algorithm: "EdDSA", Public: issuer.keys["a"].Signer.Public()}
	keyB, keyC := issuer.newKey("b", "ES256"), issuer.newKey("c", "RS256")
	otherKey := issuer.newKey("x", "EdDSA")
	guard.SetKeys("legon", []identity.Key{keyA, keyB, keyC})
	notBefore := func(wall monotime.Micros) func(*identity.Claims) {
		return func(claims *identity.Claims) { claims.NotBefore = wall }
	}
	otherAudience := func(claims *identity.Claims) { claims.Audiences = []string{"x"} }
	otherIssuer := func(claims *identity.Claims) { claims.Issuer = "elsewhere" }
	good := issuer.sign("a", "desk-4")
	for name, test := range map[string]struct {
		token string
		want  identity.Reason
	}{
		"EdDSA":            {good, ""},
		"ES256":            {issuer.sign("b", "desk-4"), ""},
		"RS256":            {issuer.sign("c", "desk-4"), ""},
		"none at all":      {"", identity.NoCredentials},
		"no token":         {"x", identity.InvalidToken},
		"three parts":      {"a.b.c", identity.InvalidToken},
		"cut short":        {good[:len(good)-4], identity.InvalidToken},
		"of an unknown":    {issuer.sign("x", "desk-4"), identity.InvalidToken},
		"no algorithm":     {"eyJhbGciOiJub25lIiwia2lkIjoiYSJ9.eyJpc3MiOiJsZWdvbiJ9.", identity.InvalidToken},
		"too long":         {good + string(make([]byte, 5000)), identity.InvalidToken},
		"expired":          {issuer.sign("a", "desk-4", expiresAt(noon-31*second)), identity.NotValidNow},
		"within leeway":    {issuer.sign("a", "desk-4", expiresAt(noon-29*second)), ""},
		"never expires":    {issuer.sign("a", "desk-4", expiresAt(0)), identity.NotValidNow},
		"not yet":          {issuer.sign("a", "desk-4", notBefore(noon+31*second)), identity.NotValidNow},
		"other audience":   {issuer.sign("a", "desk-4", otherAudience), identity.NotValidNow},
		"other issuer":     {issuer.sign("a", "desk-4", otherIssuer), identity.InvalidToken},
		"unknown subject":  {issuer.sign("a", "kiosk"), identity.UnknownCaller},
		"subject of a dir": {issuer.sign("a", "desk-4/x"), identity.UnknownCaller},
	} {
		for range 2 { // first by signature check, then from a cache
			_, err := guard.Authenticate(test.token, nil, 1, 0, noon)
			assert.Equal(t, test.want, reasonOf(err), "%s: %v", name, err)
		}
	}
	// A token is invalid once its key has been replaced by another one with the same ID.
	otherKey.ID = "a"
	guard.SetKeys("legon", []identity.Key{otherKey})
	_, err := guard.Authenticate(good, nil, 1, 0, noon)
	assert.Equal(t, identity.InvalidToken, reasonOf(err))
}

// A certificate identifies the caller of the first rule that its names match. A token sent with it must identify the
// same caller.
func TestCertificatesAreMappedToCallers(t *testing.T) {
	guard, issuer := newGuard(t, options())
	for _, test := range []struct {
		certificate identity.Certificate
		want        string
	}{
		{identity.Certificate{URIs: []string{"spiffe://legon/desk/4"}}, "desk"},
		{identity.Certificate{URIs: []string{"spiffe://legon/desk/4/x"}}, ""},
		{identity.Certificate{URIs: []string{"spiffe://evil/desk/4"}}, ""},
		{identity.Certificate{DNSNames: []string{"A4.desks.legon"}}, "desk"},
		{identity.Certificate{DNSNames: []string{"x.a4.desks.legon"}}, ""},
		{identity.Certificate{DNSNames: []string{"*.desks.legon"}}, ""},
		{identity.Certificate{DNSNames: []string{"spiffe://legon/booking"}}, ""},
		{identity.Certificate{URIs: []string{"spiffe://legon/booking"}}, "booking"},
		{identity.Certificate{Subject: "CN=booking-office"}, ""},
	} {
		caller, err := guard.Authenticate("", &test.certificate, 1, 0, noon)
		assert.Equal(t, test.want, caller.Name, "%v", test.certificate)
		assert.Equal(t, test.want == "", reasonOf(err) == identity.UnknownCaller)
	}
	desk := &identity.Certificate{URIs: []string{"spiffe://legon/desk/4"}}
	_, err := guard.Authenticate(issuer.sign("a", "booking-office"), desk, 1, 0, noon)
	assert.Equal(t, identity.CallerMismatch, reasonOf(err))
	caller, err := guard.Authenticate(issuer.sign("a", "desk-9"), desk, 1, 0, noon)
	assert.NoError(t, err)
	assert.Equal(t, identity.Caller{Name: "desk", Tenant: "coast"}, caller)
}

// When the wall clock steps forward and back by an hour, a cached token is accepted again as soon as the clock is back
// within its validity.
func TestTokenValidityFollowsTheWallClock(t *testing.T) {
	guard, issuer := newGuard(t, options())
	short := issuer.sign("a", "desk-1", func(claims *identity.Claims) {
		claims.NotBefore = noon - second
		claims.Expires = noon + 60*second
	})
	for i, step := range []struct {
		wall monotime.Micros
		want identity.Reason
	}{
		{noon, ""},
		{noon + hour, identity.NotValidNow},
		{noon, ""},
		{noon - hour, identity.NotValidNow},
		{noon + second, ""},
	} {
		_, err := guard.Authenticate(short, nil, 1, monotime.Micros(i)*second, step.wall)
		assert.Equal(t, step.want, reasonOf(err), "step %d", i)
	}
	assert.Equal(t, 1, guard.Counts().SignaturesChecked)
}

// For a certificate with arbitrary names, Authenticate returns either a caller or an error.
func FuzzCertificate(f *testing.F) {
	f.Add("spiffe://legon/desk/4", "a.desks.legon", "CN=x")
	f.Add("", "*.desks.legon", "")
	f.Add("[", "\x00.desks.legon", "\\")
	guard, _ := newGuard(f, options())
	f.Fuzz(func(t *testing.T, uri, dns, subject string) {
		certificate := &identity.Certificate{URIs: []string{uri}, DNSNames: []string{dns}, Subject: subject}
		caller, err := guard.Authenticate("", certificate, 1, 0, noon)
		assert.Equal(t, err == nil, caller.Name != "")
	})
}

// BenchmarkCached measures authentication, authorization and the ceiling check of a request whose token is cached.
func BenchmarkCached(b *testing.B) {
	guard, issuer := newGuard(b, options())
	text := issuer.sign("a", "desk-1")
	b.ReportAllocs()
	for b.Loop() {
		caller, err := guard.Authenticate(text, nil, 1, 0, noon)
		if err == nil {
			_, err = guard.Authorize(caller, "", "lookup", 1)
		}
		if err == nil {
			err = guard.Acquire(caller, 0)
		}
		if err != nil {
			b.Fatal(err)
		}
		guard.Release(caller)
	}
}
