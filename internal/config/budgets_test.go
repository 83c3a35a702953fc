package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/budget/account"
	"chutechute/internal/golden"
	"chutechute/internal/testharness"
)

// budgetPeers returns the options of a front end for a section "fleet.budgets" in a fleet of three.
func budgetPeers(t *testing.T, list string) (*Peers, error) {
	t.Helper()
	file, err := ParseInstallation([]byte(`{"fleet": {"enabled": true, "site": "x", "members": [
		{"name": "n1", "address": "127.0.0.1:1"}, {"name": "n2", "address": "127.0.0.1:2"},
		{"name": "n3", "address": "127.0.0.1:3"}], "budgets": ` + list + `}}`))
	if err != nil {
		return nil, err
	}
	return file.Fleet.Options("n1", parsedSettings(t, testharness.Settings), testMemoryMB)
}

func TestBudgetErrorsNameTheKey(t *testing.T) {
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
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 99, "reserve": 0.8, "floor": 0.1}]}`,
			"list[0].reserve"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "weights": {"n7": 2}}]}`, "list[0].weights"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "without": "all"}]}`, "list[0].without"},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9}, {"name": "a", "places": 3}]}`,
			`"a" stands twice`},
		{`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9, "quota": 1}]}`, "quota"},
	} {
		_, err := budgetPeers(t, c.list)
		if assert.Error(t, err, c.list) {
			assert.Contains(t, err.Error(), c.want)
		}
	}
}

// Front ends with different budgets can establish links, because budgets are not in the digest.
func TestBudgetsBecomeSpecsAndDoNotChangeTheDigest(t *testing.T) {
	without, err := budgetPeers(t, `null`)
	require.NoError(t, err)
	assert.Nil(t, without.Budgets)
	p, err := budgetPeers(t, `{"version": 3, "list": [{"name": "cold", "engine": "*", "cold": true, "total": 9000,
			"window_ms": 1000, "unit": "work"},
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

var budgetsSections = []string{
	`null`,
	`{"version": 1}`,
	`{"version": 2, "lease_ms": 3000, "most": 6}`,
	`{}`,
	`{"version": 1, "lease_ms": 299}`,
	`{"version": 1, "lease_ms": 60001}`,
	`{"version": 1, "lease_ms": 350}`,
	`{"version": 1, "most": 2}`,
	`{"version": 1, "most": 801}`,
	`{"version": 1, "list": [` + strings.Repeat(`{"name": "a"},`, 256) + `{"name": "a"}]}`,
	`{"version": 1, "more": 1}`,
	`{"version": 1, "list": [{"name": "a", "places": 5}, {"name": "a", "total": 5, "window_ms": 100}]}`,
	`{"version": 1, "list": [{"name": "z", "rate": 5, "burst": 9, "weights": {"n2": 2, "n1": 0.5}},
		{"name": "b", "places": 5}]}`,
}

// budgets are the keys of one budget each. The test adds a name unless there is one.
var budgets = []string{
	`"rate": 50, "burst": 25, "tenant": "t"`,
	`"rate": 50, "burst": 25, "tenant": "*", "unit": "threads", "class": "read"`,
	`"rate": 50, "burst": 25, "tenant": "*", "unit": "threads", "class": "load"`,
	`"rate": 50, "burst": 25, "further": true, "share": 0.1, "without": "none"`,
	`"rate": 50, "burst": 25, "probes": true, "without": "reserve", "reserve": 0, "newcomers": 0, "floor": 0.1`,
	`"rate": 50, "burst": 25, "tenant": "t", "over": "last"`,
	`"places": 5`,
	`"places": 5, "class": "read"`,
	`"places": 5, "life_s": 90`,
	`"places": 5, "life_s": 59`,
	`"total": 9000, "window_ms": 1000, "unit": "work", "engine": "*", "cold": true`,
	`"rate": -1`, `"burst": -1`, `"places": -1`, `"total": -1`, `"window_ms": -1`, `"life_s": -1`, `"rate": 1e10`,
	`"rate": 5, "burst": 9, "weights": {"n7": 2}`,
	`"rate": 5, "burst": 9, "weights": {"n1": 0}`,
	`"rate": 5, "burst": 9, "weights": {"n1": 1001}`,
	`"rate": 5, "burst": 9, "name": ""`,
	`"rate": 5, "burst": 9, "name": "` + strings.Repeat("n", 65) + `"`,
	``,
	`"rate": 5, "places": 3, "total": 3`,
	`"total": 5`, `"total": 5, "window_ms": 99`, `"total": 5, "window_ms": 3600001`,
	`"rate": 5, "burst": 9, "window_ms": 500`,
	`"rate": 5, "burst": 2`,
	`"places": 5, "over": "last"`,
	`"rate": 5, "burst": 9, "without": "all"`,
	`"rate": 5, "burst": 99, "reserve": 0.8, "floor": 0.1`,
	`"places": 5, "reserve": -0.1`, `"places": 5, "newcomers": -0.1`, `"places": 5, "floor": -0.1`,
	`"rate": 5, "burst": 9, "tenant": "nobody"`, `"rate": 5, "burst": 9, "class": "nothing"`,
	`"rate": 5, "burst": 9, "engine": "s-1"`, `"rate": 5, "burst": 9, "engine_kind": "z"`,
	`"rate": 5, "burst": 9, "engine_kind": "a"`, `"rate": 5, "burst": 9, "cold": true`,
	`"rate": 5, "burst": 9, "over": "drop"`, `"rate": 5, "burst": 9, "unit": "cups"`,
	`"rate": 5, "burst": 9, "share": 0.1`, `"rate": 5, "burst": 9, "probes": true, "class": "read"`,
	`"rate": 5, "burst": 9, "engine": "*", "tenant": "*"`, `"rate": 5, "burst": 9, "quota": 1`,
}

func TestBudgetsSectionGivesRecordedResults(t *testing.T) {
	var recorded []string
	for _, section := range budgetsSections {
		recorded = append(recorded, budgetsLine(t, section))
	}
	for _, budget := range budgets {
		otherKey := `"name": "a"`
		if strings.Contains(budget, `"name"`) {
			otherKey = `"floor": 0`
		}
		keys := strings.TrimSuffix(otherKey+", "+budget, ", ")
		recorded = append(recorded, budgetsLine(t, `{"version": 1, "list": [{`+keys+`}]}`))
	}
	golden.Lines(t, "testdata/budgets.golden", recorded)
}

// budgetsLine returns the line of a golden file for a section "fleet.budgets".
func budgetsLine(t *testing.T, section string) string {
	t.Helper()
	return fleetLine(t, "n1", fleetOfThree+`, "budgets": `+section+`}`)
}
