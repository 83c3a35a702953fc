package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/golden"
	"chutechute/internal/testharness"
)

// fleetOfThree is the beginning of a section with three members. THREE is replaced by threeMembers.
const fleetOfThree = `{"enabled": true, "site": "x", THREE`

// fleetSections are sections, each with the name of the front end that reads it.
var fleetSections = []struct{ name, section string }{
	{"n1", `{}`},
	{"n1", fleetOfThree + `}`},
	{"n2", fleetOfThree + `, "folder": "/disk/{name}", "admin": "/{name}.sock", "copies": 1, "ledger_mb": 2,
		"keep_s": 200, "orphan_s": 5, "tick_ms": 100, "beat_ms": 200, "suspect_ms": 700,
		"dead_ms": 2000, "replace_s": 20}`},
	{"x1", fleetOfThree + `, "zone": "b", "attached": {"enabled": true}}`},
	{"n1", fleetOfThree + `, "zone": "a", "attached": {"enabled": true, "heartbeat_ms": 500, "suspect_ms": 1500,
		"dead_ms": 5000, "most": 16384}}`},
	{"n1", `{"enabled": true, THREE}`},
	{"n1", `{"enabled": true, "site": "x"}`},
	{"x1", `{"enabled": true, "site": "x", "attached": {"enabled": true, "most": 5}}`},
	{"n1", `{"enabled": true, "site": "x", "members": [{"address": "127.0.0.1:1"}]}`},
	{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "127.0.0.1:1"},
		{"name": "n1", "address": "127.0.0.1:2"}]}`},
	{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "somewhere"}]}`},
	{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "127.0.0.1:0"}]}`},
	{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "[::1]:1"}]}`},
	{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "10.0.0.1:1"}]}`},
	{"n1", `{"enabled": true, "site": "x", "members": [{"name": "n1", "address": "127.0.0.1:1"},
		{"name": "n2", "address": "127.0.0.1:2"}]}`},
	{"n9", fleetOfThree + `}`},
	{"n1", fleetOfThree + `, "copies": 2}`},
	{"n1", fleetOfThree + `, "copies": -1}`},
	{"n1", fleetOfThree + `, "copies": 5}`},
	{"n1", fleetOfThree + `, "secret_file": "/does/not/exist"}`},
	{"n1", fleetOfThree + `, "ledger_mb": 0.5}`},
	{"n1", fleetOfThree + `, "ledger_mb": 30}`},
	{"x1", fleetOfThree + `, "ledger_mb": 30, "attached": {"enabled": true}}`},
	{"n1", fleetOfThree + `, "tick_ms": -1, "beat_ms": -1}`},
	{"n1", fleetOfThree + `, "tick_ms": 0.5}`},
	{"n1", fleetOfThree + `, "beat_ms": -2}`},
	{"n1", fleetOfThree + `, "suspect_ms": -3}`},
	{"n1", fleetOfThree + `, "dead_ms": -4}`},
	{"n1", fleetOfThree + `, "replace_s": -5}`},
	{"n1", fleetOfThree + `, "orphan_s": -6}`},
	{"n1", fleetOfThree + `, "keep_s": -7}`},
	{"n1", fleetOfThree + `, "tick_ms": 1001}`},
	{"n1", fleetOfThree + `, "beat_ms": 400}`},
	{"n1", fleetOfThree + `, "dead_ms": 1000}`},
	{"n1", fleetOfThree + `, "replace_s": 2}`},
	{"n1", fleetOfThree + `, "keep_s": 89}`},
	{"n1", fleetOfThree + `, "more": 1}`},
	{"n1", fleetOfThree + `, "copies": "three"}`},
	{"n1", fleetOfThree + `, "attached": {"enabled": true, "more": 1}}`},
	{"n1", fleetOfThree + `, "zone": "a"}`},
	{"n1", fleetOfThree + `, "zone": "b", "attached": {"enabled": true}}`},
	{"x1", fleetOfThree + `, "zone": "` + strings.Repeat("z", 65) + `", "attached": {"enabled": true}}`},
	{"x 1", fleetOfThree + `, "attached": {"enabled": true}}`},
	{"x1", fleetOfThree + `, "orphan_s": 3, "attached": {"enabled": true}}`},
	{"x1", fleetOfThree + `, "budgets": {"version": 1}, "attached": {"enabled": true}}`},
	{"x1", fleetOfThree + `, "attached": {"enabled": true, "heartbeat_ms": 100}}`},
	{"x1", fleetOfThree + `, "attached": {"enabled": true, "heartbeat_ms": 10001}}`},
	{"x1", fleetOfThree + `, "attached": {"enabled": true, "suspect_ms": 1999}}`},
	{"x1", fleetOfThree + `, "attached": {"enabled": true, "dead_ms": 3000}}`},
	{"x1", fleetOfThree + `, "attached": {"enabled": true, "dead_ms": 120001}}`},
	{"x1", fleetOfThree + `, "attached": {"enabled": true, "most": 3}}`},
	{"x1", fleetOfThree + `, "attached": {"enabled": true, "most": 16385}}`},
	{"n1", `{"enabled": true, "site": "x", "attached": {"enabled": true},
		"members": [{"name": "n1", "address": "127.0.0.1:1", "zone": "` + strings.Repeat("z", 65) + `"}]}`},
}

// fleetLine returns the line of a golden file for a section that the named front end reads.
func fleetLine(t *testing.T, name, section string) string {
	t.Helper()
	input := name + " " + section
	file, err := ParseInstallation([]byte(`{"fleet": ` + strings.ReplaceAll(section, "THREE", threeMembers) + `}`))
	if err != nil {
		return resultLine(input, nil, err)
	}
	peers, err := file.Fleet.Options(name, parsedSettings(t, keyedSettings), testMemoryMB)
	return resultLine(input, peersWithoutPointers(peers), err)
}

// peersWithoutPointers returns the options followed by the values that they point to, so that a golden file has no
// addresses of memory; nil if there are no options.
func peersWithoutPointers(peers *Peers) any {
	if peers == nil {
		return nil
	}
	others := *peers
	others.Budgets, others.Attached = nil, nil
	values := []any{others}
	if peers.Budgets != nil {
		values = append(values, *peers.Budgets)
	}
	if peers.Attached != nil {
		values = append(values, *peers.Attached)
	}
	return values
}

func TestFleetSectionGivesRecordedResults(t *testing.T) {
	var recorded []string
	for _, c := range fleetSections {
		recorded = append(recorded, fleetLine(t, c.name, c.section))
	}
	golden.Lines(t, "testdata/fleet.golden", recorded)
}

// fleetOfOne returns a section with one member, n1.
func fleetOfOne() *Fleet {
	return &Fleet{Enabled: true, Site: "x", Members: []FleetMember{{Name: "n1", Address: "127.0.0.1:1"}}}
}

func TestSecretFileHasAtLeast16Bytes(t *testing.T) {
	site := parsedSettings(t, testharness.Settings)
	for text, want := range map[string]string{
		" 0123456789abcdef\n": "",
		"0123456789abcde\n\n": "has fewer than 16 bytes",
	} {
		secret := filepath.Join(t.TempDir(), "secret")
		require.NoError(t, os.WriteFile(secret, []byte(text), 0o600))
		f := fleetOfOne()
		f.SecretFile = secret
		peers, err := f.Options("n1", site, testMemoryMB)
		if want != "" {
			assert.EqualError(t, err, "installation: fleet.secret_file: "+secret+" "+want)
			continue
		}
		require.NoError(t, err)
		assert.Equal(t, strings.TrimSpace(text), string(peers.Secret))
	}
}
