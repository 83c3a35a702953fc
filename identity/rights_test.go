package identity_test

import (
	"path"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chutechute/identity"
	"chutechute/identity/token"
)

// randomRight draws a right with one pattern, with or without classes, and with or without a range of table groups.
func randomRight(t *rapid.T) identity.Right {
	from := rapid.IntRange(0, 5).Draw(t, "from")
	deny := rapid.Bool().Draw(t, "deny")
	pattern := rapid.SampledFrom([]string{"*", "booking", "d*", "kiosk", "[bk]*"}).Draw(t, "pattern")
	right := identity.Right{Deny: deny, Callers: []string{pattern}}
	if rapid.Bool().Draw(t, "by class") {
		right.Classes = rapid.SliceOfN(rapid.SampledFrom(classes), 1, 2).Draw(t, "classes")
	}
	if rapid.Bool().Draw(t, "by group") {
		right.Groups = []identity.Range{{From: from, To: from + rapid.IntRange(0, 3).Draw(t, "more")}}
	}
	return right
}

// modelAllows is a model of Authorize for rights drawn by randomRight.
func modelAllows(rights []identity.Right, name, class string, group int) bool {
	allowed, denied := false, false
	for _, right := range rights {
		matchesCaller, _ := path.Match(right.Callers[0], name)
		matchesClass := right.Classes == nil || slices.Contains(right.Classes, class)
		matchesGroup := len(right.Groups) == 0 || group >= right.Groups[0].From && group <= right.Groups[0].To
		if matchesCaller && matchesClass && matchesGroup {
			allowed = allowed || !right.Deny
			denied = denied || right.Deny
		}
	}
	return allowed && !denied
}

// Authorize agrees with a model that consists only of the rule in the test's name.
func TestAllowedExactlyWhenARightAllowsAndNoneDenies(t *testing.T) {
	names := []string{"booking", "desk", "kiosk"}
	rapid.Check(t, func(t *rapid.T) {
		o := options()
		o.Callers = append(o.Callers, identity.CallerRule{Name: "kiosk", SANs: []string{"k"}})
		o.Rights = rapid.SliceOfN(rapid.Custom(randomRight), 0, 6).Draw(t, "rights")
		guard, err := identity.New(o, classes, token.Verifier{})
		require.NoError(t, err)
		for _, name := range names {
			for _, class := range classes {
				for group := range 9 {
					want := modelAllows(o.Rights, name, class, group)
					_, err := guard.Authorize(identity.Caller{Name: name}, "", class, group)
					require.Equal(t, want, err == nil, "%s %s %d", name, class, group)
				}
			}
		}
	})
}

// A query on behalf of another tenant is denied, and so is one that no right allows or that a right denies.
func TestOtherTenantsAndCallsWithoutRightAreDenied(t *testing.T) {
	guard, _ := newGuard(t, options())
	desk := identity.Caller{Name: "desk", Tenant: "coast"}
	tenant, err := guard.Authorize(desk, "", "lookup", 1)
	assert.NoError(t, err)
	assert.Equal(t, "coast", tenant)
	_, err = guard.Authorize(desk, "volta", "lookup", 1)
	assert.Equal(t, identity.TenantMismatch, reasonOf(err))
	_, err = guard.Authorize(desk, "coast", "load", 1)
	assert.Equal(t, identity.PermissionDenied, reasonOf(err))
	_, err = guard.Authorize(desk, "coast", "lookup", 150)
	assert.Equal(t, identity.PermissionDenied, reasonOf(err), "a right that denies outweighs those that allow")
}
