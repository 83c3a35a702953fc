package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/budget/account"
	"chutechute/internal/settings"
	"chutechute/internal/standin"
)

func budgetsOf(t *testing.T, list string) (*Peers, error) {
	t.Helper()
	s, err := settings.Parse([]byte(standin.Settings))
	require.NoError(t, err)
	file, err := ParseInstallation([]byte(`{"fleet": {"enabled": true, "site": "x", "members": [{"name": "n1", "address": "127.0.0.1:1"},
		{"name": "n2", "address": "127.0.0.1:2"}, {"name": "n3", "address": "127.0.0.1:3"}], "budgets": ` + list + `}}`))
	if err != nil {
		return nil, err
	}
	return file.Fleet.Options("n1", s, 192)
}

// Each budget that can't be used is refused with the key that is at fault.
func TestBudgetsNameTheFaultyKey(t *testing.T) {
	for _, c := range []struct{ list, want string }{
		{`{"list": []}`, "fleet.budgets.version"},
		{`{"version": 1, "lease_ms": 100}`, "fleet.budgets.lease_ms"},
		{`{"version": 1, "most": 2}`, "fleet.budgets.most"},
		{`{"version": 1, "list": [{"rate": 5, "burst": 10}]}`, "list[0].name"},
		{`{"version": 1, "list": [{"name": "a"}]}`, "list[0].rate: one of"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 10, "places": 3}]}`, "list[0].rate: one of"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 2}]}`, "list[0].burst"},
		{`{"version": 1, "list": [{"name": "a", "rate": -5, "burst": 9}]}`, "list[0].rate"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "tenant": "nobody"}]}`, "list[0].tenant"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "class": "nothing"}]}`, "list[0].class"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "engine": "s-1"}]}`, "list[0].engine"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "cold": true}]}`, "list[0].engine"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "over": "drop"}]}`, "list[0].over"},
		{`{"version": 1, "list": [{"name": "a", "places": 5, "over": "last", "tenant": "t"}]}`, "list[0].over"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "unit": "cups"}]}`, "list[0].unit"},
		{`{"version": 1, "list": [{"name": "a", "places": 5, "life_s": 3}]}`, "list[0].life_s"},
		{`{"version": 1, "list": [{"name": "a", "total": 5}]}`, "list[0].window_ms"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "window_ms": 500}]}`, "list[0].window_ms"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 99, "reserve": 0.8, "floor": 0.1}]}`, "list[0].reserve"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "weights": {"n7": 2}}]}`, "list[0].weights"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "without": "all"}]}`, "list[0].without"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9}, {"name": "a", "places": 3}]}`, `"a" stands twice`},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "quota": 1}]}`, "quota"},
	} {
		_, err := budgetsOf(t, c.list)
		if assert.Error(t, err, c.list) {
			assert.Contains(t, err.Error(), c.want)
		}
	}
}

// What is set comes out in the division's terms, and budgets are no part of what front ends have to agree on before they talk.
func TestBudgetsAreTaken(t *testing.T) {
	without, err := budgetsOf(t, `null`)
	require.NoError(t, err)
	assert.Nil(t, without.Budgets)
	p, err := budgetsOf(t, `{"version": 3, "list": [{"name": "cold", "engine": "*", "cold": true, "total": 9000, "window_ms": 1000, "unit": "work"},
		{"name": "quota", "tenant": "*", "rate": 50, "burst": 25, "weights": {"n2": 2}}]}`)
	require.NoError(t, err)
	assert.Equal(t, without.Digest, p.Digest)
	require.Len(t, p.Budgets.Specs, 2)
	cold, quota := p.Budgets.Specs[0], p.Budgets.Specs[1]
	assert.Equal(t, account.Window, cold.Kind)
	assert.EqualValues(t, 9_000_000, cold.Total.Capacity) // milliseconds of work in thousandths
	assert.Equal(t, account.Amount{Capacity: 25_000, Rate: 50_000}, quota.Total)
	var scope map[string]any
	require.NoError(t, json.Unmarshal(quota.Scope, &scope))
	assert.Equal(t, "refuse", scope["over"])
	assert.True(t, strings.HasPrefix(string(cold.Scope), "{"))
}
