package main

import (
	"context"
	"encoding/json"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// attachedSection is a section with one member that any other front end may attach to.
func attachedSection() map[string]any {
	return map[string]any{"enabled": true, "site": "test", "zone": "room-c", "attached": map[string]any{"enabled": true},
		"members": []any{map[string]any{"name": "n1", "address": "127.0.0.1:7400", "zone": "room-a"}}}
}

// asFrontEnd runs the program as a front end of that name with a fleet's section, and gives what it says and whether that was
// an error.
func asFrontEnd(t *testing.T, name string, section map[string]any, args ...string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "installation.json")
	text, err := json.Marshal(map[string]any{"fleet": section})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	ctx, cancel := context.WithTimeout(t.Context(), testharness.WaitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, program, append(args, "--installation", path)...)
	cmd.Env = []string{"NODE_CONFIG=../../deploy/example.json", "NODE_NAME=" + name, "NODE_LISTEN=127.0.0.1:0"}
	out, err := cmd.CombinedOutput()
	require.NoError(t, ctx.Err(), "it goes on: %s", out)
	return string(out), err
}

// One front end, with settings that it can't go by. No load. What must show: it does not start, and names the key.
func TestBadAttachedSettings(t *testing.T) {
	t.Parallel()
	out, err := asFrontEnd(t, "x1", attachedSection(), "config", "check")
	require.NoError(t, err, out)
	short := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(short, []byte("too short"), 0o600))
	on := func(key string, value any) map[string]any {
		return map[string]any{"attached": map[string]any{"enabled": true, key: value}}
	}
	for _, c := range []struct {
		about, name string
		change      map[string]any
		key         string
	}{
		{"a name that is no member's, and none may attach", "x1", map[string]any{"attached": map[string]any{}}, "fleet.members"},
		{"the same with the section left out", "x1", map[string]any{"attached": nil, "zone": ""}, "fleet.members"},
		{"budgets", "x1", map[string]any{"budgets": map[string]any{"version": 1}}, "fleet.budgets"},
		{"budgets at a member", "n1", map[string]any{"zone": "", "budgets": map[string]any{"version": 1}}, "fleet.budgets"},
		{"orphans, which an attached one does not look after", "x1", map[string]any{"orphan_s": 5}, "fleet.orphan_s"},
		{"a zone that is too long", "x1", map[string]any{"zone": strings.Repeat("z", 65)}, "fleet.zone"},
		{"a zone that is a number", "x1", map[string]any{"zone": 7}, "zone"},
		{"another zone than the members say", "n1", map[string]any{"zone": "room-b"}, "fleet.zone"},
		{"a zone where none may attach", "n1", map[string]any{"attached": map[string]any{}}, "fleet.zone"},
		{"no room for one beside the members", "x1", on("most", 1), "fleet.attached.most"},
		{"more than a view may have", "x1", on("most", 1<<20), "fleet.attached.most"},
		{"fewer than none", "n1", on("most", -1), "fleet.attached.most"},
		{"heartbeats that cost too much", "x1", on("heartbeat_ms", 1), "fleet.attached.heartbeat_ms"},
		{"a suspicion after less than two heartbeats", "x1", on("suspect_ms", 1500), "fleet.attached.suspect_ms"},
		{"death before suspicion", "x1", on("dead_ms", 2000), "fleet.attached.dead_ms"},
		{"an unknown key", "x1", on("lease_ms", 2000), "lease_ms"},
		{"a name that is no word", "x 1", nil, "fleet.attached"},
		{"a secret that is too short", "x1", map[string]any{"secret_file": short}, "fleet.secret_file"},
	} {
		section := attachedSection()
		maps.Copy(section, c.change)
		out, err := asFrontEnd(t, c.name, section, "serve")
		assert.Error(t, err, "%s: %s", c.about, out)
		assert.Contains(t, out, c.key, "%s", c.about)
		assert.NotContains(t, out, "msg=serving", "%s", c.about)
	}
}

// A control member and three front ends that want to attach: one with its secret, one with another, and one with another lease.
// What must show: the first is linked and seen; the others are refused at the link, whose logs say why, serve on without a
// home, and are in no view.
func TestStrangersAreNotAttached(t *testing.T) {
	t.Parallel()
	secret := func(text string) string {
		path := filepath.Join(t.TempDir(), "secret")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	f := testharness.NewFleet(t, program, 1, testharness.WithAttachedFrontEnds("a", "a", "a"), func(f *testharness.Fleet) {
		f.FleetSettings["secret_file"] = secret("the secret of this very fleet")
		f.FrontEnds[2].FleetSettings = map[string]any{"secret_file": secret("the secret of another fleet")}
		f.FrontEnds[3].FleetSettings = map[string]any{"attached": map[string]any{"enabled": true, "dead_ms": 9000}}
	})
	control, friend := f.FrontEnds[0], f.FrontEnds[1]
	f.WaitForLeader(1)
	f.WaitUntilAllSee([]*testharness.FrontEnd{control, friend}, friend.Name, "alive")
	control.WaitForLog(`transport: authentication failed`)
	f.FrontEnds[3].WaitForLog(`transport: settings differ|ended the link`)
	control.WaitForLog(`transport: settings differ`)
	for _, n := range f.FrontEnds[2:] {
		assert.Empty(t, n.Status().Attached.Home, n.Name)
		assert.Equal(t, "answer", n.SendLookup())
		for _, by := range []*testharness.FrontEnd{control, friend} {
			assert.Empty(t, by.Status().Member(n.Name), "%s sees %s", by.Name, n.Name)
		}
	}
}
