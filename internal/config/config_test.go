package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeNodeConfig writes a node configuration and returns an environment with its path.
func writeNodeConfig(t *testing.T) (getenv func(string) string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text := `{"name": "n1", "listen": "10.0.0.4:1", "journal": "10.0.0.5:2", "seed": "1",
		"settings": ` + keyedSettings + `}`
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return func(key string) string { return map[string]string{"NODE_CONFIG": path, "NODE_NAME": "n2"}[key] }
}

func TestLoadErrorsNameTheKeyOfEachSection(t *testing.T) {
	_, err := Load(func(string) string { return "" }, "")
	assert.EqualError(t, err, "config: NODE_CONFIG is not set")
	_, err = Load(func(string) string { return "/does/not/exist" }, "")
	assert.EqualError(t, err, "config: NODE_CONFIG: open /does/not/exist: no such file or directory")
	getenv := writeNodeConfig(t)
	_, err = Load(getenv, "/does/not/exist.json")
	assert.EqualError(t, err, "installation: open /does/not/exist.json: no such file or directory")
	for installation, want := range map[string]string{
		`5`: "installation: not an object: json: cannot unmarshal number into Go value of type map[string]interface {}",
		`{"statement": {"enabled": true,
			"max_depth": -1}}`: "installation: statement.max_depth: -1 is not from 0 to 1000",
		`{"identity": {"enabled": true}}`:         "installation: identity.callers: missing",
		`{"fleet": {"enabled": true}}`:            "installation: fleet.site: missing",
		`{"tls": {"enabled": true}}`:              "installation: tls.certificates: missing",
		`{"tls": {"engines": {"enabled": true}}}`: "installation: tls.engines.cas: missing",
	} {
		_, err := Load(getenv, writeInstallation(t, installation))
		assert.EqualError(t, err, want)
	}
}

func TestReloadKeepsWhatTakesEffectAtAStartOnly(t *testing.T) {
	getenv := writeNodeConfig(t)
	first, err := Load(getenv, writeInstallation(t, `{}`))
	require.NoError(t, err)
	assert.Equal(t, "n2", first.Name)
	assert.Equal(t, &TLS{}, first.TLS())
	assert.Equal(t, &Identity{}, first.Identity())
	next, err := Load(getenv, writeInstallation(t, `{"statement": {"enabled": true}, "tls": {"warn_days": 5}}`))
	require.NoError(t, err)
	next.Name, next.Seed, next.Listen, next.MemoryMB, next.Sockets = "n3", 5, next.Discovery, 100, 200
	next.settings = nil
	_, err = first.CheckReload(next)
	require.NoError(t, err)
	assert.Equal(t, []string{"listen", "name", "seed", "settings"}, first.RestartKeys(next))
	merged := first.Reloaded(next)
	assert.Empty(t, first.RestartKeys(merged))
	assert.Equal(t, 100, merged.MemoryMB)
	assert.Equal(t, 200, merged.Sockets)
	assert.NotNil(t, merged.Statements)
	assert.InDelta(t, 5, merged.TLS().WarnDays, 0)
}
