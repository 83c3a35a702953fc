package config

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/internal/testharness"
)

// fleetPeers returns the options of the named front end for a section with three members and further keys.
func fleetPeers(t *testing.T, name, further string) (*Peers, error) {
	t.Helper()
	file, err := ParseInstallation([]byte(`{"fleet": {"enabled": true, "site": "x", ` + threeMembers + further + `}}`))
	if err != nil {
		return nil, err
	}
	return file.Fleet.Options(name, parsedSettings(t, testharness.Settings), testMemoryMB)
}

func TestAttachedErrorsNameTheKey(t *testing.T) {
	const on = `, "attached": {"enabled": true}`
	for _, c := range []struct{ name, further, want string }{
		{"x1", ``, `fleet.members: this front end, "x1", is not among them`},
		{"x1", `, "attached": {"enabled": false}`, `fleet.members: this front end, "x1", is not among them`},
		{"n1", `, "zone": "a"`, "fleet.zone: stands without"},
		{"n1", `, "zone": "b"` + on, "fleet.zone"},
		{"x1", on + `, "zone": "` + strings.Repeat("z", 65) + `"`, "fleet.zone"},
		{"x1", `, "attached": {"enabled": true, "heartbeat_ms": 100}`, "fleet.attached.heartbeat_ms"},
		{"x1", `, "attached": {"enabled": true, "heartbeat_ms": -1}`, "fleet.attached.heartbeat_ms"},
		{"x1", `, "attached": {"enabled": true, "heartbeat_ms": 1e9}`, "fleet.attached.heartbeat_ms"},
		{"x1", `, "attached": {"enabled": true, "suspect_ms": 1999}`, "fleet.attached.suspect_ms"},
		{"x1", `, "attached": {"enabled": true, "dead_ms": 3000}`, "fleet.attached.dead_ms"},
		{"x1", `, "attached": {"enabled": true, "dead_ms": 1e9}`, "fleet.attached.dead_ms"},
		{"n1", `, "attached": {"enabled": true, "most": 3}`, "fleet.attached.most"},
		{"n1", `, "attached": {"enabled": true, "most": 16385}`, "fleet.attached.most"},
		{"n1", `, "attached": {"enabled": true, "more": 1}`, "more"},
		{"n1", on + `, "budgets": {"version": 1, "list": []}`, "fleet.budgets"},
		{"x1", on + `, "budgets": {"version": 1, "list": []}`, "fleet.budgets"},
		{"x1", on + `, "orphan_s": 3`, "fleet.orphan_s"},
		{"", on, "fleet.attached: the name"},
		{"x 1", on, "fleet.attached: the name"},
		{strings.Repeat("x", 65), on, "fleet.attached: the name"},
		{"x1", on + `, "copies": 2`, "fleet.copies"},
		{"x1", on + `, "tick_ms": -1`, "fleet.tick_ms"},
	} {
		_, err := fleetPeers(t, c.name, c.further)
		if assert.Error(t, err, "%q %s", c.name, c.further) {
			assert.Contains(t, err.Error(), c.want)
		}
	}
}

func TestTooManyMembersErrorExplainsTheLimit(t *testing.T) {
	f := Fleet{Enabled: true, Site: "x"}
	for i := range maxMembers + 1 {
		f.Members = append(f.Members, FleetMember{Name: fmt.Sprintf("n%d", i), Address: "127.0.0.1:1"})
	}
	_, err := f.Options("n0", &settings.Settings{}, 192)
	require.ErrorContains(t, err, "fleet.members: 81 are above 80")
	assert.ErrorContains(t, err, "square")
	assert.ErrorContains(t, err, "fleet.attached")
}

// An attached front end stores no log and has the same digest as the members.
func TestFrontEndThatIsNotAMemberAttaches(t *testing.T) {
	const on = `, "folder": "/disk", "admin": "/{name}.sock", "attached": {"enabled": true, "dead_ms": 5000}`
	attached, err := fleetPeers(t, "x1", on+`, "zone": "b"`)
	require.NoError(t, err)
	member, err := fleetPeers(t, "n1", on+`, "orphan_s": 7`)
	require.NoError(t, err)
	assert.Equal(t, attached.Digest, member.Digest, "the zone and orphan_s may differ among front ends")
	assert.Len(t, attached.Members, 3)
	assert.Empty(t, attached.Folder)
	assert.Equal(t, "/x1.sock", attached.AdminSocket)
	require.True(t, attached.Attached.IsAttached)
	require.False(t, member.Attached.IsAttached)
	cfg := attached.Attached.Config
	assert.Equal(t, []string{"x1", "b"}, []string{cfg.Name, cfg.Zone})
	assert.Equal(t, []monotime.Micros{1_000_000, 2_500_000, 5_000_000},
		[]monotime.Micros{cfg.HeartbeatInterval, cfg.SuspectAfter, cfg.DeadAfter})
	assert.Equal(t, membership.DefaultMaxEntries, cfg.MaxEntries)
	assert.Equal(t, []membership.ControlMember{{Name: "n1", Zone: "a"}, {Name: "n2"}, {Name: "n3"}}, cfg.ControlMembers)
	assert.Equal(t, "a", member.Attached.Config.Zone)

	small, err := fleetPeers(t, "x1", on+`, "ledger_mb": 30`)
	require.NoError(t, err, "the limit of the log does not hold for a front end that stores none")
	assert.NotNil(t, small)

	explicit, err := fleetPeers(t, "n1", `, "attached": {"enabled": true, "heartbeat_ms": 1000, "suspect_ms": 2500,
		"dead_ms": 5000, "most": 8192}`)
	require.NoError(t, err)
	assert.Equal(t, member.Digest, explicit.Digest, "the digest has defaults filled in")
	other, err := fleetPeers(t, "n1", `, "attached": {"enabled": true}`)
	require.NoError(t, err)
	assert.NotEqual(t, member.Digest, other.Digest)
}

// If no front ends may attach, the digest is the same as in versions of the program without the section "attached".
func TestDigestWithoutAttachedIsAsBefore(t *testing.T) {
	for further, want := range map[string]string{
		``: "05f242dad7f1ae55",
		`, "orphan_s": 5, "copies": 1, "ledger_mb": 2`: "d7b683c41457f849",
	} {
		for _, off := range []string{``, `, "attached": {"enabled": false, "most": 5}`} {
			p, err := fleetPeers(t, "n1", further+off)
			require.NoError(t, err)
			assert.Equal(t, want, hex.EncodeToString(p.Digest))
			assert.Nil(t, p.Attached)
		}
	}
}
