package token_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/monotime"
)

// newSet returns a set of keys. Each becomes valid a second after the previous one.
func newSet(t testing.TB, keys ...*token.PrivateKey) *token.KeySet {
	set, err := token.ParseKeySet(nil)
	require.NoError(t, err)
	for i, key := range keys {
		require.NoError(t, set.Add(key, monotime.Micros(i)*monotime.Second))
	}
	return set
}

func generate(t testing.TB, id, algorithm string) *token.PrivateKey {
	key, err := token.Generate(id, algorithm)
	require.NoError(t, err)
	return key
}

// A marshaled set parses to the same keys, its public half contains no private key, and each key verifies only its own
// signatures.
func TestKeySetsRoundTrip(t *testing.T) {
	set := newSet(t, generate(t, "a", "EdDSA"), generate(t, "b", "ES256"), generate(t, "c", "RS256"))
	require.NoError(t, set.Retire("a", 100*monotime.Second))
	private, err := set.Marshal(true)
	require.NoError(t, err)
	readBack, err := token.ParseKeySet(private)
	require.NoError(t, err)
	assert.Equal(t, set.List(), readBack.List())
	public, err := set.Marshal(false)
	require.NoError(t, err)
	assert.NotContains(t, string(public), `"d"`)
	keys, err := token.ParsePublicKeys(public)
	require.NoError(t, err)
	require.Len(t, keys, 3)
	assert.Equal(t, []any{"a", "EdDSA", 100 * monotime.Second}, []any{keys[0].ID, keys[0].Algorithm, keys[0].Expires})
	signers, err := token.ParsePrivateKeys(private)
	require.NoError(t, err)
	for i, signer := range signers {
		text, err := token.Sign(signer, identity.Claims{Issuer: "i", Subject: "s", Expires: monotime.Second})
		require.NoError(t, err)
		claims, err := token.Verifier{}.Verify(text, &keys[i])
		require.NoError(t, err)
		assert.Equal(t, identity.Claims{Issuer: "i", Subject: "s", Expires: monotime.Second}, claims)
		_, err = token.Verifier{}.Verify(text, &keys[(i+1)%3])
		assert.ErrorIs(t, err, identity.ErrSignature)
	}
	newest, err := set.Signer(50 * monotime.Second)
	require.NoError(t, err)
	assert.Equal(t, "c", newest.ID)
	assert.Equal(t, []string{"a"}, set.Prune(101*monotime.Second))
}

// Parsing a set with an unusable key fails, and the error does not contain the key.
func TestErrorsOfUnusableSetsContainNoKeys(t *testing.T) {
	set := newSet(t, generate(t, "a", "EdDSA"))
	private, _ := set.Marshal(true)
	public, _ := set.Marshal(false)
	publicText := string(public)
	onlyKey := publicText[strings.Index(publicText, "[")+1 : strings.LastIndex(publicText, "]")]
	for name, text := range map[string]string{
		"empty": "", "cut": publicText[:len(publicText)/2], "no keys": `{"keys":[]}`, "private": string(private),
		"no id":     strings.Replace(publicText, `"kid": "a"`, `"kid": ""`, 1),
		"odd alg":   strings.Replace(publicText, `"EdDSA"`, `"RS256"`, 1),
		"symmetric": `{"keys":[{"kty":"oct","kid":"a","k":"c2VjcmV0LXNlY3JldC1zZWNyZXQ"}]}`,
		"short rsa": `{"keys":[{"kty":"RSA","kid":"a","n":"` + strings.Repeat("A", 80) + `w","e":"AQAB"}]}`,
		"twice":     strings.Replace(publicText, `"keys": [`, `"keys": [`+onlyKey+",", 1),
		"no time":   strings.Replace(publicText, `"kid"`, `"nbf": 9, "exp": 5, "kid"`, 1),
	} {
		_, err := token.ParsePublicKeys([]byte(text))
		if assert.Error(t, err, name) {
			assert.NotContains(t, err.Error(), "c2VjcmV0")
		}
	}
}

// A token is invalid if its header names another algorithm than the key's, or requires an extension.
func TestHeadersChooseNeitherAlgorithmNorExtensions(t *testing.T) {
	key := &identity.Key{Algorithm: "EdDSA", Public: generate(t, "a", "EdDSA").Signer.Public()}
	for _, header := range []string{
		"eyJhbGciOiJub25lIiwia2lkIjoiYSJ9",         // {"alg":"none","kid":"a"}
		"eyJhbGciOiJIUzI1NiIsImtpZCI6ImEifQ",       // {"alg":"HS256","kid":"a"}
		"eyJhbGciOiJFZERTQSIsImNyaXQiOlsiYjY0Il19", // {"alg":"EdDSA","crit":["b64"]}
	} {
		text := header + ".eyJpc3MiOiJpIn0.AAAA"
		_, _, parseErr := token.Verifier{}.ParseUnverified(text)
		_, err := token.Verifier{}.Verify(text, key)
		assert.True(t, parseErr != nil || err != nil, header)
	}
}

// A text that passes verification has exactly the claims that were signed.
func FuzzToken(f *testing.F) {
	private := generate(f, "a", "EdDSA")
	key := &identity.Key{ID: "a", Algorithm: "EdDSA", Public: private.Signer.Public()}
	good, err := token.Sign(private, identity.Claims{Issuer: "i", Expires: monotime.Second})
	require.NoError(f, err)
	f.Add(good)
	f.Add("..")
	f.Add("e30.e30.")
	f.Add("bnVsbA.bnVsbA.")
	f.Fuzz(func(t *testing.T, text string) {
		_, _, _ = token.Verifier{}.ParseUnverified(text)
		if _, err := (token.Verifier{}).Verify(text, key); err == nil {
			assert.Equal(t, strings.Split(good, ".")[1], strings.Split(text, ".")[1], "claims that were not signed")
		}
	})
}

// ParsePublicKeys returns either an error or a set of usable keys. No input makes it or ParseKeySet panic.
func FuzzSet(f *testing.F) {
	public, err := newSet(f, generate(f, "a", "EdDSA"), generate(f, "b", "ES256")).Marshal(false)
	require.NoError(f, err)
	f.Add(public)
	f.Add([]byte(`{"keys":[{"kty":"EC","crv":"P-256","kid":"a","x":"","y":""}]}`))
	f.Add([]byte(`{"keys":[null]}`))
	f.Add([]byte(`{"keys":[{"kty":"OKP","crv":"Ed25519","kid":"a","x":"AA"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		keys, err := token.ParsePublicKeys(text)
		for _, key := range keys {
			assert.NoError(t, err)
			_, _ = token.Verifier{}.Verify("e30.e30.AAAA", &key)
		}
		_, _ = token.ParseKeySet(text)
	})
}
