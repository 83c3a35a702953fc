package identity_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/identity"
	"chutechute/identity/token"
)

// The error for an invalid option contains its key.
func TestErrorsNameTheInvalidOption(t *testing.T) {
	for key, change := range map[string]func(*identity.Options){
		"issuers[0].audiences": func(o *identity.Options) { o.Issuers[0].Audiences = nil },
		"issuers[1].name":      func(o *identity.Options) { o.Issuers = append(o.Issuers, o.Issuers[0]) },
		"leeway_s":             func(o *identity.Options) { o.Leeway = 301 * second },
		"callers: missing":     func(o *identity.Options) { o.Callers = nil },
		"callers[0].issuer":    func(o *identity.Options) { o.Callers[0].Issuer = "x" },
		"callers[0].subject":   func(o *identity.Options) { o.Callers[0].Subject = "[" },
		"callers[1].sans[0]":   func(o *identity.Options) { o.Callers[1].SANs[0] = "[" },
		"rights[0].callers[0]": func(o *identity.Options) { o.Rights[0].Callers = []string{"nobody"} },
		"rights[0].classes[0]": func(o *identity.Options) { o.Rights[0].Classes = []string{"x"} },
		"rights[2].groups[0]":  func(o *identity.Options) { o.Rights[2].Groups[0].To = 3 },
		"limits.token_bytes":   func(o *identity.Options) { o.Limits.TokenBytes = 1 << 20 },
		"ceilings[0].callers":  func(o *identity.Options) { o.Ceilings = []identity.Ceiling{{Rate: 1}} },
		"ceilings[0].rate, bur": func(o *identity.Options) {
			o.Ceilings = []identity.Ceiling{{Callers: []string{"desk"}, Rate: -1}}
		},
	} {
		o := options()
		change(&o)
		_, err := identity.New(o, classes, token.Verifier{})
		assert.ErrorContains(t, err, key)
	}
}

// Apply maps verified tokens to callers by the new rules, without checking their signatures again.
func TestApplyKeepsVerifiedTokens(t *testing.T) {
	guard, issuer := newGuard(t, options())
	text := issuer.sign("a", "desk-1")
	_, err := guard.Authenticate(text, nil, 1, 0, noon)
	require.NoError(t, err)
	o := options()
	o.Callers[1].Name, o.Rights = "counter", nil
	require.NoError(t, guard.Apply(o, classes))
	caller, err := guard.Authenticate(text, nil, 1, 0, noon)
	require.NoError(t, err)
	assert.Equal(t, "counter", caller.Name)
	assert.Equal(t, 1, guard.Counts().SignaturesChecked)
}
