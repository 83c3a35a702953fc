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

// attachedSection returns a fleet section with one control member, n1, to which any other front end may attach.
func attachedSection() map[string]any {
	return map[string]any{"enabled": true, "site": "test", "zone": "room-c", "attached": map[string]any{"enabled": true},
		"members": []any{map[string]any{"name": "n1", "address": "127.0.0.1:7400", "zone": "room-a"}}}
}

// runWithFleetSection runs the program under the name of a front end with a fleet section. It returns the output,
// and the error if the exit status was not 0.
func runWithFleetSection(t *testing.T, name string, section map[string]any, args ...string) (string, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "installation.json")
	text, err := json.Marshal(map[string]any{"fleet": section})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	ctx, cancel := context.WithTimeout(t.Context(), testharness.WaitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, program, append(args, "--installation", path)...)
	cmd.Env = []string{"NODE_CONFIG=../../deploy/example.json", "NODE_NAME=" + name, "NODE_LISTEN=127.0.0.1:0"}
	output, err := cmd.CombinedOutput()
	require.NoError(t, ctx.Err(), "the program did not end: %s", output)
	return string(output), err
}

// A front end with invalid settings for attaching must not start, and must name the invalid key.
func TestInvalidAttachedSettings(t *testing.T) {
	t.Parallel()
	output, err := runWithFleetSection(t, "x1", attachedSection(), "config", "check")
	require.NoError(t, err, output)
	shortSecret := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(shortSecret, []byte("too short"), 0o600))
	attachedWith := func(key string, value any) map[string]any {
		return map[string]any{"attached": map[string]any{"enabled": true, key: value}}
	}
	for _, c := range []struct {
		description, name string
		change            map[string]any
		key               string
	}{
		{"a name that is not listed, while front ends may not attach", "x1",
			map[string]any{"attached": map[string]any{}}, "fleet.members"},
		{"a name that is not listed, without the attached section", "x1",
			map[string]any{"attached": nil, "zone": ""}, "fleet.members"},
		{"budgets", "x1", map[string]any{"budgets": map[string]any{"version": 1}}, "fleet.budgets"},
		{"budgets at a control member", "n1",
			map[string]any{"zone": "", "budgets": map[string]any{"version": 1}}, "fleet.budgets"},
		{"orphan retention, which does not apply to an attached front end", "x1",
			map[string]any{"orphan_s": 5}, "fleet.orphan_s"},
		{"a zone that is too long", "x1", map[string]any{"zone": strings.Repeat("z", 65)}, "fleet.zone"},
		{"a zone that is a number", "x1", map[string]any{"zone": 7}, "zone"},
		{"a zone that differs from the list of members", "n1", map[string]any{"zone": "room-b"}, "fleet.zone"},
		{"a zone while front ends may not attach", "n1", map[string]any{"attached": map[string]any{}}, "fleet.zone"},
		{"a limit that leaves no capacity beside the control members", "x1",
			attachedWith("most", 1), "fleet.attached.most"},
		{"a limit above the maximum size of a view", "x1", attachedWith("most", 1<<20), "fleet.attached.most"},
		{"a negative limit", "n1", attachedWith("most", -1), "fleet.attached.most"},
		{"heartbeats that are too frequent", "x1", attachedWith("heartbeat_ms", 1), "fleet.attached.heartbeat_ms"},
		{"a suspicion timeout of less than two heartbeats", "x1",
			attachedWith("suspect_ms", 1500), "fleet.attached.suspect_ms"},
		{"a death timeout below the suspicion timeout", "x1",
			attachedWith("dead_ms", 2000), "fleet.attached.dead_ms"},
		{"an unknown key", "x1", attachedWith("lease_ms", 2000), "lease_ms"},
		{"a name with a space", "x 1", nil, "fleet.attached"},
		{"a secret that is too short", "x1", map[string]any{"secret_file": shortSecret}, "fleet.secret_file"},
	} {
		section := attachedSection()
		maps.Copy(section, c.change)
		output, err := runWithFleetSection(t, c.name, section, "serve")
		assert.Error(t, err, "%s: %s", c.description, output)
		assert.Contains(t, output, c.key, "%s", c.description)
		assert.NotContains(t, output, "msg=serving", "%s", c.description)
	}
}

// A front end whose secret or settings differ from the fleet's must not become a member. Of three front ends that
// attach to a control member, one has its settings, one has another secret and one has another death timeout. The
// first is connected and seen alive. The links of the others are rejected with the reason in the log; they continue
// to serve without a home, and no view has them.
func TestMismatchedFrontEndsAreNotAttached(t *testing.T) {
	t.Parallel()
	writeSecret := func(text string) string {
		path := filepath.Join(t.TempDir(), "secret")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	f := testharness.NewFleet(t, program, 1, testharness.WithAttachedFrontEnds("a", "a", "a"), func(f *testharness.Fleet) {
		f.FleetSettings["secret_file"] = writeSecret("the secret of this fleet")
		f.FrontEnds[2].FleetSettings = map[string]any{"secret_file": writeSecret("the secret of another fleet")}
		f.FrontEnds[3].FleetSettings = map[string]any{"attached": map[string]any{"enabled": true, "dead_ms": 9000}}
	})
	controlMember, attached := f.FrontEnds[0], f.FrontEnds[1]
	f.WaitForLeader(1)
	f.WaitUntilAllSee([]*testharness.FrontEnd{controlMember, attached}, attached.Name, "alive")
	controlMember.WaitForLog(`transport: authentication failed`)
	f.FrontEnds[3].WaitForLog(`transport: settings differ|remote side closed the link`)
	controlMember.WaitForLog(`transport: settings differ`)
	for _, n := range f.FrontEnds[2:] {
		assert.Empty(t, n.Status().Attached.Home, n.Name)
		assert.Equal(t, "answer", n.SendLookup())
		for _, observer := range []*testharness.FrontEnd{controlMember, attached} {
			assert.Empty(t, observer.Status().Member(n.Name), "%s sees %s", observer.Name, n.Name)
		}
	}
}
