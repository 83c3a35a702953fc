package config

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/settings"
)

func TestErrorsOfKeysAreKeyErrors(t *testing.T) {
	getenv := writeNodeConfig(t)
	for installation, key := range map[string]string{
		`{"fleet": {"enabled": true}}`:                                              "fleet.site",
		`{"fleet": {"enabled": true, "site": "x", "members": [{"address": "x"}]}}`:  "fleet.members[0].name",
		`{"statement": {"enabled": true, "max_depth": -1}}`:                         "statement.max_depth",
		`{"statement": {"enabled": true, "rules": [{"class": "none"}]}}`:            "statement.rules[0].class",
		`{"identity": {"enabled": true}}`:                                           "identity.callers",
		`{"identity": {"enabled": true, "rights": [{"effect": "ask"}]}}`:            "identity.rights[0].effect",
		`{"identity": {"enabled": true, "watch_s": -1}}`:                            "identity.watch_s",
		`{"tls": {"enabled": true, "certificates": [{"certificate": "/c"}]}}`:       "tls.certificates[0]",
		`{"fleet": {"enabled": true, "site": "x", "attached": {"enabled": false}}}`: "fleet.members",
	} {
		_, err := Load(getenv, writeInstallation(t, installation))
		var keyError *KeyError
		if assert.ErrorAs(t, err, &keyError, installation) {
			assert.Equal(t, key, keyError.Key)
		}
	}
}

func TestBudgetErrorsAreKeyErrors(t *testing.T) {
	for list, key := range map[string]string{
		`{"version": 0}`: "fleet.budgets.version",
		`{"version": 1,
			"list": [{"name": "a"}]}`: "fleet.budgets.list[0].rate",
		`{"version": 1, "list": [{"name": "a", "rate": 5, "burst": 9,
			"unit": "cups"}]}`: "fleet.budgets.list[0].unit",
		`{"version": 1, "list": [{"name": "a", "places": 5}, {"name": "a", "places": 5}]}`: "fleet.budgets.list",
	} {
		_, err := budgetPeers(t, list)
		var keyError *KeyError
		if assert.ErrorAs(t, err, &keyError, list) {
			assert.Equal(t, key, keyError.Key)
		}
	}
}

func TestNodeErrorsAreKeyErrors(t *testing.T) {
	const whole = `"listen": "10.0.0.4:1", "journal": "10.0.0.5:2", "seed": "1"`
	for text, key := range map[string]string{
		`{"listen": "x"}`:                 "listen",
		`{` + whole + `}`:                 "settings",
		`{` + whole + `, "settings": {}}`: "settings.balancers",
		`{` + whole + `, "settings": {"classes": [{"repeat": "x"}]}}`: "settings",
	} {
		_, err := Parse([]byte(text), "", "")
		var keyError *KeyError
		if assert.ErrorAs(t, err, &keyError, text) {
			assert.Equal(t, nodeFile, keyError.File)
			assert.Equal(t, key, keyError.Key)
		}
	}
}

func TestKeyErrorsWrapTheirCause(t *testing.T) {
	f := fleetOfOne()
	f.SecretFile = "/does/not/exist"
	_, err := f.Options("n1", &settings.Settings{}, testMemoryMB)
	require.ErrorIs(t, err, fs.ErrNotExist)

	cause := errors.New("key: reason")
	err = section{file: "file", path: "section"}.addKey(cause)
	require.ErrorIs(t, err, cause)
	assert.EqualError(t, err, "file: section.key: reason")
	withoutKey := errors.New("reason")
	err = section{file: "file", path: "section"}.addKey(withoutKey)
	require.ErrorIs(t, err, withoutKey)
	assert.EqualError(t, err, "file: section.reason")
}
